//! Tests of callers that are served while all instances are replaced, one after the other, by those of
//! another release. The instances run as processes behind a load balancer, which follows their
//! readiness.

mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use camphorhold::transport::http::Connection;
use futures::future::join;
use futures::future::join_all;
use futures::future::select;
use hyper::StatusCode;
use support::Instance;
use support::Platform;
use support::TCP_OPTIONS;
use support::exchange;
use support::wait_until;

const INSTANCES: usize = 7;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const CALLERS: usize = 8;

/// The pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(15);

/// How often the load balancer asks the instances whether they are ready.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);

/// The variable that names the program of another release, to roll from.
const PREVIOUS_PROGRAM: &str = "PREVIOUS_PROGRAM";

/// By how much the share of answered requests may be smaller when the releases differ.
const MAX_DIFFERENCE: f64 = 0.01;

/// Passes callers on to the instances that are ready.
#[derive(Default)]
struct Balancer {
    // The addresses for callers and for readiness checks.
    instances: RefCell<Vec<[SocketAddr; 2]>>,
    ready: RefCell<Vec<SocketAddr>>,
    next: Cell<usize>,
}

impl Balancer {
    fn add(&self, instance: &Instance) {
        let [readiness, _] = instance.other_addresses();
        self.instances
            .borrow_mut()
            .push([instance.caller_address(), readiness]);
    }

    fn remove(&self, instance: &Instance) {
        let address = instance.caller_address();
        self.instances
            .borrow_mut()
            .retain(|[caller, _]| *caller != address);
        self.ready.borrow_mut().retain(|caller| *caller != address);
    }

    /// Follows the readiness of the instances. Never returns.
    async fn run(&self) {
        loop {
            let instances = self.instances.borrow().clone();
            let checks = instances
                .iter()
                .map(|[_, readiness]| support::is_ready(*readiness));
            let checks = join_all(checks).await;
            let ready = instances.iter().zip(checks).filter(|(_, ready)| *ready);
            *self.ready.borrow_mut() = ready.map(|([caller, _], _)| *caller).collect();
            tokio::time::sleep(READINESS_INTERVAL).await;
        }
    }

    fn choose(&self) -> Option<SocketAddr> {
        self.next.set(self.next.get() + 1);
        let ready = self.ready.borrow();
        let position = self.next.get().checked_rem(ready.len())?;
        ready.get(position).copied()
    }
}

#[derive(Debug, Default)]
struct Tally {
    requests: Cell<u32>,
    answered: Cell<u32>,
    finished: Cell<bool>,
}

impl Tally {
    fn share(&self) -> f64 {
        f64::from(self.answered.get()) / f64::from(self.requests.get())
    }
}

/// Sends requests, each on a connection of its own, and does not repeat any.
async fn call(caller: usize, balancer: &Balancer, tally: &Tally) {
    while !tally.finished.get() {
        let number = tally.requests.get();
        tally.requests.set(number + 1);
        let path = ["/all/x", "/one/x"][number as usize % 2];
        if let Some(address) = balancer.choose()
            && let Ok(mut connection) = Connection::open(address, TCP_OPTIONS).await
        {
            let id = format!("r{caller}-{number}");
            let answer = exchange(&mut connection, &id, path).await;
            let is_answered = answer.is_ok_and(|answer| answer.status() == StatusCode::OK);
            tally
                .answered
                .set(tally.answered.get() + u32::from(is_answered));
        }
        tokio::time::sleep(CALLER_PAUSE).await;
    }
}

/// Starts instances of one release, and replaces them by those of another one while callers send
/// requests, which `tally` counts.
async fn roll(from: &Path, to: &Path, tally: &Tally) {
    let leafs = [("s1", "a"), ("s1", "b"), ("s2", "b"), ("s2", "c")];
    let platform = Platform::start(&leafs).await;
    let balancer = Balancer::default();
    let mut instances = Vec::new();
    for number in 0..INSTANCES {
        let domain = DOMAINS[number % DOMAINS.len()];
        let name = number.to_string();
        let instance = Instance::start_program(&platform, from, &name, domain).await;
        balancer.add(&instance);
        instances.push(instance);
    }
    let replacing = async {
        for (number, instance) in instances.iter_mut().enumerate() {
            instance.terminate();
            wait_until("the instance has ended", || {
                let code = instance.exit_code();
                async move { code.is_some() }
            })
            .await;
            assert_eq!(instance.exit_code(), Some(0));
            balancer.remove(instance);
            let domain = DOMAINS[number % DOMAINS.len()];
            let name = number.to_string();
            *instance = Instance::start_program(&platform, to, &name, domain).await;
            balancer.add(instance);
        }
        tally.finished.set(true);
    };
    let work = async {
        wait_until("all instances are in rotation", || async {
            balancer.ready.borrow().len() == INSTANCES
        })
        .await;
        let callers = join_all((0..CALLERS).map(|caller| call(caller, &balancer, tally)));
        join(replacing, callers).await;
    };
    select(std::pin::pin!(balancer.run()), std::pin::pin!(work)).await;
}

/// Guards against callers that are not served while instances are replaced. With another release in
/// `PREVIOUS_PROGRAM`, compares the roll from it, and back to it, with one of equal programs.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_all_instances_are_replaced() {
    let current = PathBuf::from(support::program());
    let equal = Tally::default();
    roll(&current, &current, &equal).await;
    println!("equal programs: {equal:?}");
    assert!(equal.requests.get() > 500, "{equal:?}");
    assert!(equal.share() >= 1.0 - MAX_DIFFERENCE, "{equal:?}");
    let Some(previous) = std::env::var_os(PREVIOUS_PROGRAM).map(PathBuf::from) else {
        return;
    };
    for (from, to) in [(&previous, &current), (&current, &previous)] {
        let mixed = Tally::default();
        roll(from, to, &mixed).await;
        println!("from {} to {}: {mixed:?}", from.display(), to.display());
        assert!(mixed.share() >= equal.share() - MAX_DIFFERENCE, "{mixed:?}");
    }
}
