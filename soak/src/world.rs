//! The environment of the instances, with the store, the leafs and the links, and the faults that
//! the soak injects into it.

use std::cell::Cell;
use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::evacuation_key;
use camphorhold_testutils::platform::leaf::Behaviour;
use camphorhold_testutils::platform::leaf::Leaf;
use camphorhold_testutils::platform::process::ProcessConfig;
use camphorhold_testutils::platform::store::Fault as StoreFault;
use camphorhold_testutils::platform::store::Store;
use nix::sys::signal::Signal;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::JoinSet;

use crate::Error;
use crate::Options;
use crate::Report;
use crate::caller;
use crate::caller::Outcome;
use crate::caller::Records;
use crate::check;
use crate::check::Configured;
use crate::check::Drained;
use crate::check::Evacuated;
use crate::check::Evidence;
use crate::check::Limited;
use crate::check::Span;
use crate::check::Violation;
use crate::client;
use crate::instances::Instances;
use crate::instances::POLL_INTERVAL;
use crate::instances::now;
use crate::schedule;
use crate::schedule::Event;
use crate::schedule::Fault;
use crate::schedule::TargetCounts;
use camphorhold_testutils::proxy::LinkFault;
use camphorhold_testutils::proxy::Proxy;

/// The failure domains. Each shard has leafs in two of them.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// The shards, each of which is a service of its own.
const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];

/// How many leafs each shard has.
const LEAFS_PER_SHARD: usize = 2;

/// How many callers send requests at the same time.
const CALLERS: usize = 8;

/// How long a draining leaf still serves before its entry is removed and its address refuses
/// connections. Longer than the 3 s within which instances stop sending requests to it.
const DRAIN_DURATION: Duration = Duration::from_millis(3_500);

/// After a restore of the store, the time until the operators and the leafs have written everything
/// again, and the time until the entries of leafs that have left lapse after that.
const REWRITE_DELAY: Duration = Duration::from_millis(400);
const LAPSE_DELAY: Duration = Duration::from_secs(2);

/// How old reads of the store are that may be old, while watches miss changes and for as long
/// afterwards. Longer than the settling time.
const OLD_READ_AGE: Duration = Duration::from_millis(5_500);

/// How much longer than other faults an evacuation lasts, so that it exceeds its bound of 5 s.
const EXTRA_EVACUATION_DURATION: Duration = Duration::from_secs(6);

/// The time after the last fault within which requests must be served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// How many of the latest requests the check of the recovery looks at, and how many of them must
/// have been served.
const RECOVERY_SAMPLE: usize = 60;
const MIN_SERVED: usize = 57;

struct LeafSite {
    leaf: Leaf,
    link: Proxy,
    incarnation: Cell<u64>,
    draining: Cell<bool>,
    // The state that its entry shows; `None` while it has none.
    state: Cell<Option<&'static str>>,
    writes: Cell<u64>,
}

/// Everything that runs except the callers, and the evidence recorded so far.
struct World {
    store: Store,
    instances: Rc<Instances>,
    leafs: Vec<LeafSite>,
    version: Cell<u64>,
    foreign: Cell<u64>,
    evacuating: [Cell<bool>; DOMAINS.len()],
    evidence: Rc<RefCell<Evidence>>,
}

/// Runs the schedule of one seed, waits for the recovery, and checks the promises.
pub(crate) async fn run(options: &Options) -> Result<Report, Error> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let counts = TargetCounts {
        instances: options.instances,
        leafs: SHARDS.len() * LEAFS_PER_SHARD,
        domains: DOMAINS.len(),
    };
    let mut events = schedule::draw(&mut random, counts, options.length);
    if options.additional {
        let additional = schedule::draw_additional(options.seed, counts, options.length);
        events.extend(additional);
    }
    if options.previous.is_some() {
        events.extend(schedule::replacements(counts, options.length));
    } else if options.additional {
        events.extend(schedule::draw_deaf_watches(options.seed, options.length));
    }
    let world = Rc::new(World::start(options).await?);
    let records = Records::default();
    let addresses = world.instances.addresses();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let name = format!("{}-{number}", options.seed);
        let run = caller::run(
            name,
            random.random(),
            Rc::clone(&addresses),
            Rc::clone(&records),
        );
        callers.spawn_local(run);
    }
    if options.additional {
        callers.spawn_local(client::run(options.seed, Rc::clone(&addresses)));
    }
    let restarting =
        tokio::task::spawn_local(Rc::clone(&world.instances).restart_unexpected_exits());
    let mut faults = JoinSet::new();
    for event in &events {
        let world = Rc::clone(&world);
        let event = *event;
        faults.spawn_local(async move {
            tokio::time::sleep(event.at).await;
            world.apply(event).await
        });
    }
    while let Some(result) = faults.join_next().await {
        result.map_err(std::io::Error::other)??;
    }
    world.end_faults();
    world.wait_for_recovery(&records).await;
    callers.shutdown().await;
    restarting.abort();
    world.instances.stop().await?;
    let leafs: Vec<Leaf> = world.leafs.iter().map(|site| site.leaf.clone()).collect();
    let evidence = world.evidence.take();
    let violations = check::check(&records.borrow(), &leafs, &evidence);
    Ok(Report {
        events: events
            .iter()
            .map(|event| format!("{:?} {:?} for {:?}", event.at, event.fault, event.length))
            .collect(),
        requests: records.borrow().len(),
        served: records
            .borrow()
            .iter()
            .filter(|r| check::is_served(r))
            .count(),
        violations,
    })
}

impl World {
    async fn start(options: &Options) -> Result<Self, Error> {
        let store = Store::start().await?;
        let mut leafs = Vec::new();
        for number in 0..SHARDS.len() * LEAFS_PER_SHARD {
            let shard = number / LEAFS_PER_SHARD;
            let domain = DOMAINS[number % DOMAINS.len()];
            let leaf = Leaf::start(&format!("i-{number}"), SHARDS[shard], domain).await?;
            leafs.push(LeafSite {
                link: Proxy::start(leaf.address())?,
                leaf,
                incarnation: Cell::new(1),
                draining: Cell::new(false),
                state: Cell::new(None),
                writes: Cell::new(0),
            });
        }
        let place = |number: usize| {
            let name = format!("instance-{number}");
            let log = |folder: &PathBuf| folder.join(format!("{}-{name}.log", options.seed));
            ProcessConfig {
                program: options.program.clone(),
                domain: DOMAINS[number % DOMAINS.len()].into(),
                store: store.address(),
                log: options.logs.as_ref().map(log),
                name,
            }
        };
        let places = (0..options.instances).map(place).collect();
        let evidence = Rc::new(RefCell::new(Evidence::new(options.instances)));
        let instances = Rc::new(Instances::start(
            places,
            options.previous.as_deref(),
            Rc::clone(&evidence),
        )?);
        let world = Self {
            store,
            instances,
            leafs,
            version: Cell::new(0),
            foreign: Cell::new(0),
            evacuating: Default::default(),
            evidence,
        };
        for leaf in 0..world.leafs.len() {
            world.register(leaf, "ready");
        }
        world.configure();
        Ok(world)
    }

    fn register(&self, leaf: usize, state: &'static str) {
        let site = &self.leafs[leaf];
        site.state.set(Some(state));
        site.writes.set(site.writes.get() + 1);
        let mut entry = site.leaf.entry(state);
        entry["sequence"] = json!(site.writes.get());
        entry["address"] = json!(site.link.address().to_string());
        entry["born"] = json!(site.incarnation.get());
        self.store.put(&site.leaf.key(), &entry);
    }

    fn configure(&self) {
        self.version.set(self.version.get() + 1);
        let first = self.write_configuration();
        self.evidence
            .borrow_mut()
            .configured
            .push(Configured { at: now(), first });
    }

    /// Writes the current version of the configuration and returns the first of its services.
    fn write_configuration(&self) -> &'static str {
        let version = self.version.get();
        let mut services = SHARDS;
        let first = usize::try_from(version).unwrap_or(0) % services.len();
        services.rotate_left(first);
        self.store
            .put(CONFIGURATION_KEY, &configuration(version, &services));
        services[0]
    }

    /// Writes again what the operators and the leafs have written since the copy was made. Entries of
    /// leafs that have left lapse a little later.
    async fn rewrite(&self) {
        tokio::time::sleep(REWRITE_DELAY).await;
        self.write_configuration();
        for (number, site) in self.leafs.iter().enumerate() {
            if let Some(state) = site.state.get() {
                self.register(number, state);
            }
        }
        for (domain, evacuating) in DOMAINS.iter().zip(&self.evacuating) {
            let key = evacuation_key(domain);
            if evacuating.get() {
                self.store.put(&key, &json!({}));
            } else {
                self.store.remove(&key);
            }
        }
        tokio::time::sleep(LAPSE_DELAY).await;
        for site in &self.leafs {
            if site.state.get().is_none() {
                self.store.remove(&site.leaf.key());
            }
        }
    }

    async fn apply(&self, event: Event) -> std::io::Result<()> {
        let length = event.length;
        match event.fault {
            Fault::Kill(instance) => self.instances.kill(instance).await?,
            Fault::Pause(instance) => self.instances.pause(instance, length).await?,
            Fault::Terminate(instance) => self.instances.terminate(instance).await?,
            Fault::Hangup(instance) => {
                self.instances.disturb(instance, Duration::ZERO);
                self.instances.signal(instance, Signal::SIGHUP)?;
            }
            Fault::StoreLink(instance, fault) => {
                self.instances.disturb(instance, length);
                self.instances.set_store_link(instance, fault);
                tokio::time::sleep(length).await;
                self.instances.set_store_link(instance, LinkFault::None);
            }
            Fault::Store(fault) => {
                self.instances.disturb_all(length);
                self.store.set_fault(fault);
                tokio::time::sleep(length).await;
                self.store.set_fault(StoreFault::None);
            }
            Fault::DeafWatches => {
                self.instances.disturb_all(length);
                self.store.set_read_age(OLD_READ_AGE);
                self.store.set_fault(StoreFault::DeafWatches);
                self.configure();
                tokio::time::sleep(length).await;
                self.store.set_fault(StoreFault::None);
                tokio::time::sleep(OLD_READ_AGE).await;
                self.store.set_read_age(Duration::ZERO);
            }
            Fault::Compact => {
                self.instances.disturb_all(Duration::ZERO);
                self.store.compact();
            }
            Fault::Restore => {
                let copy = self.store.copy();
                tokio::time::sleep(length).await;
                self.instances.disturb_all(REWRITE_DELAY);
                self.store.restore(copy);
                self.rewrite().await;
            }
            Fault::Limit(number, limit) => {
                let leaf = &self.leafs[number].leaf;
                leaf.set_limit(Some(limit.into()));
                let from = now();
                tokio::time::sleep(length).await;
                leaf.set_limit(None);
                self.evidence.borrow_mut().limited.push(Limited {
                    leaf: number,
                    limit,
                    span: Span { from, to: now() },
                });
            }
            Fault::LeafLink(leaf, fault) => {
                let link = &self.leafs[leaf].link;
                link.set(fault);
                tokio::time::sleep(length).await;
                link.set(LinkFault::None);
            }
            Fault::Leaf(leaf, behaviour) => {
                let leaf = &self.leafs[leaf].leaf;
                leaf.set_behaviour(behaviour);
                tokio::time::sleep(length).await;
                leaf.set_behaviour(Behaviour::Answer);
            }
            Fault::Drain(leaf) => self.drain(leaf, length).await,
            Fault::Configure => self.configure(),
            Fault::Evacuate(domain) => {
                // Both evacuations of a domain would use the same key, and the end of the first
                // would end the second.
                if self.evacuating[domain].replace(true) {
                    return Ok(());
                }
                let key = evacuation_key(DOMAINS[domain]);
                self.store.put(&key, &json!({}));
                let from = now();
                tokio::time::sleep(length + EXTRA_EVACUATION_DURATION).await;
                self.evidence.borrow_mut().evacuated.push(Evacuated {
                    domain: DOMAINS[domain],
                    span: Span { from, to: now() },
                });
                self.store.remove(&key);
                self.evacuating[domain].set(false);
            }
            Fault::EndLeases => self.store.end_leases(),
            Fault::ForeignEntry => {
                let number = self.foreign.replace(self.foreign.get() + 1);
                let entry = json!({"service": number, "address": "nowhere"});
                self.store.put(&format!("servers/foreign-{number}"), &entry);
            }
        }
        Ok(())
    }

    async fn drain(&self, number: usize, length: Duration) {
        let site = &self.leafs[number];
        if site.draining.replace(true) {
            return;
        }
        self.register(number, "draining");
        let from = now();
        tokio::time::sleep(DRAIN_DURATION).await;
        site.state.set(None);
        self.store.remove(&site.leaf.key());
        site.link.set(LinkFault::Refuse);
        tokio::time::sleep(length).await;
        site.link.set(LinkFault::None);
        self.evidence.borrow_mut().drained.push(Drained {
            leaf: number,
            span: Span { from, to: now() },
        });
        site.incarnation.set(site.incarnation.get() + 1);
        self.register(number, "ready");
        site.draining.set(false);
    }

    /// Ends the faults of all links, leafs and the store.
    fn end_faults(&self) {
        self.store.set_fault(StoreFault::None);
        for number in 0..self.evidence.borrow().disturbed.len() {
            self.instances.set_store_link(number, LinkFault::None);
        }
        for site in &self.leafs {
            site.link.set(LinkFault::None);
            site.leaf.set_behaviour(Behaviour::Answer);
            site.leaf.set_limit(None);
        }
    }

    async fn wait_for_recovery(&self, records: &Records) {
        let cleared = now();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let records = records.borrow();
            let sent_since = records.iter().filter(|record| record.sent >= cleared);
            let last: Vec<_> = sent_since.rev().take(RECOVERY_SAMPLE).collect();
            let served = last
                .iter()
                .filter(|record| check::is_served(record))
                .count();
            if served >= MIN_SERVED {
                return;
            }
            if now().saturating_duration_since(cleared) > RECOVERY_TIMEOUT {
                let unsent = |record: &&&caller::Record| matches!(record.outcome, Outcome::Unsent);
                let detail = format!(
                    "{served} of the last {} requests were served, {} could not be sent",
                    last.len(),
                    last.iter().filter(unsent).count()
                );
                let violation = Violation::new("recovery", detail);
                self.evidence.borrow_mut().violations.push(violation);
                return;
            }
        }
    }
}
