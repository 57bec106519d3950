//! Tests of the limits and queues of shards, and of the thresholds of the queries that they admit.

mod serving_support;

use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::ShardLoads;
use camphorhold::coordination::serving::shard_load::End;
use camphorhold::coordination::serving::shard_load::Entry;
use camphorhold::coordination::serving::shard_load::Permit;
use camphorhold::coordination::serving::shard_load::Slots;
use camphorhold::coordination::serving::shard_load::Threshold;
use camphorhold::coordination::serving::shard_load::Urgency;
use camphorhold::coordination::serving::shard_load::Work;
use serving_support::ms;

const SLOTS: Slots = Slots {
    all: 2,
    preferred: 2,
};

struct World {
    now: Instant,
    loads: ShardLoads<u32>,
}

impl World {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            loads: ShardLoads::default(),
        }
    }

    fn work(&self, priority: u32, due_in: Duration) -> Work {
        Work {
            urgency: Urgency::new(priority, 0),
            route: 1,
            due: self.now + due_in,
        }
    }

    fn enter(&mut self, query: u32, priority: u32, due_in: Duration) -> Entry {
        let work = self.work(priority, due_in);
        self.loads.enter("s", SLOTS, work, self.now, || query)
    }

    fn granted(&mut self, query: u32) -> Permit {
        match self.enter(query, 0, ms(200)) {
            Entry::Granted(permit) => permit,
            entry => panic!("{entry:?}"),
        }
    }

    /// Lets the shard answer one query in 20 ms, so that its service time is known.
    fn learn(&mut self) {
        let permit = self.granted(0);
        self.now += ms(20);
        self.end(permit);
    }

    fn end(&mut self, permit: Permit) {
        self.loads.on_end("s", permit, End::Answered, self.now);
    }

    fn next(&mut self) -> Option<(u32, Option<Permit>)> {
        self.loads.next("s", self.now)
    }

    /// Overloads the shard with queries of two priorities, until it refuses some.
    fn overload(&mut self) {
        self.learn();
        let mut permits = Vec::new();
        for _ in 0..200 {
            for priority in [0, 1, 1] {
                if let Entry::Granted(permit) = self.enter(1, priority, ms(200)) {
                    permits.push(permit);
                }
            }
            self.now += ms(10);
            // The shard does one query in 10 ms, a third of what is asked.
            if !permits.is_empty() {
                let permit = permits.remove(0);
                self.end(permit);
            }
            while let Some((_, permit)) = self.next() {
                permits.extend(permit);
            }
            // Patient queries wait for long, urgent ones don't.
            let threshold = self.loads.own_threshold("s");
            assert!(threshold.admits(Urgency::new(0, u64::MAX)), "{threshold:?}");
        }
        while !permits.is_empty() || self.next().is_some() {
            for permit in std::mem::take(&mut permits) {
                self.end(permit);
            }
            while let Some((_, permit)) = self.next() {
                permits.extend(permit);
            }
        }
    }
}

/// Guards against urgent queries that wait behind patient ones.
#[test]
fn urgent_queries_go_first() {
    let mut world = World::new();
    let permit = world.granted(1);
    let _second = world.granted(2);
    for (query, priority) in [(3, 1), (4, 0), (5, 1), (6, 0)] {
        let entry = world.enter(query, priority, ms(200));
        assert!(matches!(entry, Entry::Queued), "{entry:?}");
    }
    assert!(world.next().is_none());
    world.end(permit);
    let mut order = Vec::new();
    while let Some((query, permit)) = world.next() {
        order.push(query);
        world.end(permit.expect("a permit"));
    }
    assert_eq!(order, [4, 6, 3, 5]);
}

/// Guards against queries that wait although they cannot be answered in time any more: leafs would
/// work for them in vain, and their callers would learn of it late.
#[test]
fn hopeless_queries_are_refused() {
    let mut world = World::new();
    world.learn();
    let permit = world.granted(1);
    let _second = world.granted(2);
    assert!(matches!(world.enter(3, 0, ms(25)), Entry::Refused));
    assert!(matches!(world.enter(4, 0, ms(60)), Entry::Queued));
    world.now += ms(50);
    world.end(permit);
    let (query, permit) = world.next().expect("a query that waits");
    assert_eq!(query, 4);
    assert!(permit.is_none());
}

/// Guards against memory that grows with the load.
#[test]
fn few_queries_wait() {
    let mut world = World::new();
    let entries = (0..1_000).map(|query| world.enter(query, 0, ms(200)));
    let queued = entries.filter(|entry| matches!(entry, Entry::Queued));
    assert_eq!(queued.count(), 128);
}

/// Guards against urgent queries that are refused while patient ones are admitted, and against a
/// shard that refuses queries after the load has ended.
#[test]
fn an_overloaded_shard_refuses_patient_queries_until_the_load_ends() {
    let mut world = World::new();
    world.overload();
    let threshold = world.loads.own_threshold("s");
    assert!(threshold.admits(Urgency::new(0, u64::MAX)), "{threshold:?}");
    assert!(
        !threshold.admits(Urgency::new(1, u64::MAX)),
        "{threshold:?}"
    );
    world.now += ms(1_000);
    let _permit = world.granted(2);
    assert_eq!(world.loads.own_threshold("s"), Threshold::OPEN);
}

/// Guards against owners that refuse different queries of one priority: leafs of the others would
/// have worked for each of them.
#[test]
fn equal_thresholds_refuse_the_same_queries() {
    let threshold: Threshold = "1500".parse().unwrap();
    for hash in [0, 1 << 62, 1 << 63, u64::MAX] {
        let admitted = threshold.admits(Urgency::new(1, hash));
        assert_eq!(admitted, hash < 1 << 63, "{hash:x}");
    }
    assert!(threshold.admits(Urgency::new(0, u64::MAX)));
    assert!(!threshold.admits(Urgency::new(2, 0)));
    assert!(!threshold.admits(Urgency::new(u32::MAX, 0)));
}

/// Guards against an instance that refuses queries by what it has heard long ago.
#[test]
fn a_reported_threshold_expires() {
    let mut world = World::new();
    let threshold: Threshold = "1200".parse().unwrap();
    world.loads.on_report("s", threshold, world.now);
    let (first, last) = (Urgency::new(1, 1 << 60), Urgency::new(1, u64::MAX));
    assert!(world.loads.expects("s", first, world.now));
    assert!(!world.loads.expects("s", last, world.now));
    assert!(world.loads.expects("s", last, world.now + ms(1_000)));
    world.loads.on_report("s", Threshold::OPEN, world.now);
    assert!(world.loads.expects("s", last, world.now));
}

/// Guards against a threshold of another instance that refuses every query, or is read differently
/// from how it was written.
#[test]
fn the_text_of_a_threshold_is_checked() {
    let threshold: Threshold = "1234".parse().unwrap();
    assert_eq!(threshold.to_string(), "1234");
    assert_eq!("0".parse::<Threshold>().unwrap().to_string(), "20");
    for text in ["", "-1", "1.5", "NaN", "inf", "99999999999", "1 "] {
        assert!(text.parse::<Threshold>().is_err(), "{text}");
    }
}
