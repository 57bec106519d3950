//! The leafs of one service send bytes that are no answer, without end: interim heads. Do the instances
//! still answer the requests for another service?

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::platform::Instance;
use crate::platform::Leaf;
use crate::platform::Store;
use crate::platform::Trouble;
use crate::traffic;
use crate::traffic::Clients;
use crate::traffic::Record;
use crate::traffic::Sent;

/// How long the leaf is in trouble.
const TROUBLE: Duration = Duration::from_secs(9);

/// The `timeout_ms` of the route to the other service.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long after that a final answer may come.
const SLACK: Duration = Duration::from_millis(500);

/// How long the clients wait.
const LIMIT: Duration = Duration::from_secs(6);

/// The time between two requests of each of the two kinds at one instance.
const INTERVAL: Duration = Duration::from_millis(60);

/// How many of a hundred requests the leafs in trouble fail.
const SPOILT_PERCENT: u32 = 60;

/// The leafs of each service in each zone.
const LEDGER_PER_ZONE: usize = 3;
const THANKS_PER_ZONE: usize = 1;

fn configuration() -> String {
    let route = |name: &str, kind: &str, timeout: u32, service: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"q.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"objective_ms\":600,\"priority\":2,\
             \"service\":\"{service}\",\"max_attempts\":2}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":100,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":0.0}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("check", "unsafe", 6_000, "ledger"),
        route("thanks", "safe", 1_500, "thanks"),
        service("ledger"),
        service("thanks")
    )
}

fn request(kind: &str, id: &str) -> Vec<u8> {
    format!(
        "GET /{kind}/{id} HTTP/1.1\r\nHost: q.example\r\nX-Camphorhold-Request-Id: {id}\r\n\
         X-Camphorhold-Deadline-Ms: 6000\r\n\r\n"
    )
    .into_bytes()
}

pub fn main() {
    let trouble = traffic::trouble() != "0";
    let record = Record::create();
    record.say(&format!(
        "the leafs of a service send bytes without end: {trouble}"
    ));
    let folder = traffic::folder("flood");
    let store = Store::start();
    store.put("op/config", &configuration());
    let mut leafs: Vec<Leaf> = Vec::new();
    for zone in ["a", "b", "c"] {
        for (service, count) in [("ledger", LEDGER_PER_ZONE), ("thanks", THANKS_PER_ZONE)] {
            for number in 0..count {
                let id = format!("i-{service}-{zone}{number}");
                leafs.push(Leaf::start(&id, service, zone, 80, &folder));
            }
        }
    }
    for leaf in &leafs {
        leaf.register(&store);
    }
    let ips = crate::http::free_machines(3);
    let instances: Vec<Instance> = ["a", "b", "c"]
        .iter()
        .zip(&ips)
        .map(|(zone, ip)| {
            Instance::start(
                &format!("front-{zone}-1"),
                ip,
                zone,
                store.address(),
                &folder,
            )
        })
        .collect();
    instances.iter().for_each(Instance::wait_ready);
    let instances = Arc::new(instances);
    let mut clients = Vec::new();
    for (instance, prefix) in instances
        .iter()
        .zip([["ca", "ta"], ["cb", "tb"], ["cc", "tc"]])
    {
        let [check, thanks] = prefix;
        let address = instance.address();
        clients.push(Clients::start(
            address,
            check,
            INTERVAL,
            LIMIT,
            &record,
            |id| request("check", id),
        ));
        clients.push(Clients::start(
            address,
            thanks,
            INTERVAL,
            LIMIT,
            &record,
            |id| request("thanks", id),
        ));
    }
    // The platform's question, once per second.
    let stop = Arc::new(AtomicBool::new(false));
    let balancer = {
        let (instances, stop, record) = (Arc::clone(&instances), Arc::clone(&stop), record.clone());
        std::thread::spawn(move || {
            let mut misses = 0;
            while !stop.load(Ordering::Relaxed) {
                let next = Instant::now() + Duration::from_secs(1);
                for instance in instances.iter() {
                    if !instance.is_ready() {
                        misses += 1;
                        record.line(&format!("no 200 to GET /api/ready from {}", instance.name));
                    }
                }
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            misses
        })
    };
    std::thread::sleep(Duration::from_secs(6));
    let began = Instant::now();
    let set_trouble = |percent| {
        let in_trouble = leafs.iter().filter(|leaf| leaf.service == "ledger");
        in_trouble.for_each(|leaf| leaf.set_trouble(percent));
    };
    if trouble {
        record.say("the leafs of ledger are in trouble for 9 s");
        set_trouble(Some((Trouble::Flood, SPOILT_PERCENT)));
    }
    std::thread::sleep(TROUBLE);
    if trouble {
        set_trouble(None);
        record.say("the trouble ends for new requests");
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut sent: Vec<Sent> = Vec::new();
    for clients in clients {
        sent.extend(clients.finish());
    }
    stop.store(true, Ordering::Relaxed);
    let misses = balancer.join().unwrap_or(0);
    let is_other = |sent: &&Sent| sent.id.starts_with('t');
    let others = sent.iter().filter(is_other).filter(|sent| sent.at >= began);
    let others: Vec<&Sent> = others.filter(|sent| sent.at < began + TROUBLE).collect();
    let served = others.iter().filter(|sent| sent.served).count();
    let late: Vec<&Sent> = sent
        .iter()
        .filter(is_other)
        .filter(|sent| sent.took > TIMEOUT)
        .collect();
    let unanswered = |sent: &&&Sent| !sent.answered || sent.took > TIMEOUT + SLACK;
    let unanswered = late.iter().filter(unanswered).count();
    drop(instances);
    drop(leafs);
    let _ = std::fs::remove_dir_all(&folder);
    record.say(&format!(
        "questions whether an instance is ready without a 200: {misses}"
    ));
    record.say(&format!(
        "requests to the other service during the trouble: {}, served: {served}",
        others.len()
    ));
    record.say(&format!(
        "of them and those after, unanswered at timeout_ms: {}, and 0.5 s later: {unanswered}",
        late.len()
    ));
    if sent.len() < 1_000 {
        crate::cannot_run();
    }
    let broken = unanswered >= 8 && unanswered * 2 > late.len();
    record.say(if broken {
        "CONFIG is broken"
    } else {
        "CONFIG holds"
    });
    std::process::exit(i32::from(broken));
}
