//! Tests of requests that may end leafs, as several instances see them that share one store.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::Suspects;
use camphorhold::coordination::serving::suspects::Admission;
use camphorhold::coordination::serving::suspects::EXPIRY;
use camphorhold::coordination::serving::suspects::Record;
use camphorhold::coordination::serving::suspects::SURVIVAL_RETENTION;
use camphorhold::coordination::serving::suspects::Stored;
use camphorhold::coordination::serving::suspects::TrialEnd;
use camphorhold::coordination::serving::suspects::Write;
use camphorhold::state::id::Fingerprint;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const REQUEST: Fingerprint = Fingerprint(7);

/// The further attempts of a harmful request that may reach leafs.
const MAX_TRIALS: u32 = 3;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The store: writes under a condition, as the platform's store does.
#[derive(Default)]
struct Store {
    revision: u64,
    records: HashMap<Fingerprint, (Stored, u64)>,
}

impl Store {
    fn write(&mut self, write: &Write) -> Option<u64> {
        let stored = self.records.get(&write.fingerprint);
        if stored.map_or(0, |(_, revision)| *revision) != write.expected {
            return None;
        }
        Some(self.put(Stored::Current(write.record)))
    }

    fn put(&mut self, stored: Stored) -> u64 {
        self.revision += 1;
        self.records.insert(REQUEST, (stored, self.revision));
        self.revision
    }
}

/// Instances and their store. Instances read the store only when told to.
struct World {
    now: Instant,
    store: Store,
    instances: Vec<Suspects>,
}

impl World {
    fn new(instances: usize) -> Self {
        Self {
            now: Instant::now(),
            store: Store::default(),
            instances: (0..instances).map(|_| Suspects::new(10, 10)).collect(),
        }
    }

    /// Has an instance read the record.
    fn read(&mut self, instance: usize) {
        if let Some((stored, revision)) = self.store.records.get(&REQUEST) {
            self.instances[instance].on_record(REQUEST, *stored, *revision, self.now);
        }
    }

    fn settle(&mut self, write: &Write, instance: usize) -> bool {
        let revision = self.store.write(write);
        let now = self.now;
        if let Some(revision) = revision {
            self.instances[instance].on_written(write, revision, now);
        } else {
            self.instances[instance].on_write_failed(write);
            self.read(instance);
        }
        revision.is_some()
    }

    /// Has an instance write what it has to write.
    fn write(&mut self, instance: usize) {
        for _ in 0..5 {
            for write in self.instances[instance].begin_writes(10) {
                self.settle(&write, instance);
            }
        }
        assert!(!self.instances[instance].has_changes());
    }

    /// Has all instances write and read everything.
    fn exchange(&mut self) {
        for _ in 0..3 {
            for instance in 0..self.instances.len() {
                self.write(instance);
                self.read(instance);
            }
        }
    }

    /// Has an instance admit an attempt. Returns whether it may be sent, and whether as a trial.
    fn admit(&mut self, instance: usize) -> Option<bool> {
        match self.instances[instance].admit(REQUEST, self.now) {
            Admission::Free => Some(false),
            Admission::Trial(write) => self.settle(&write, instance).then_some(true),
            Admission::TrialInProgress | Admission::Blocked { .. } => None,
        }
    }

    fn crash(&mut self, instance: usize) -> bool {
        let now = self.now;
        self.instances[instance].on_crash(REQUEST, now, now)
    }

    fn end_trial(&mut self, instance: usize, end: TrialEnd) {
        let now = self.now;
        self.instances[instance].on_trial_end(REQUEST, end, now);
    }
}

/// Guards against instances that try a suspect request at the same moment.
#[test]
fn one_of_several_instances_tries_a_suspect_request() {
    let mut world = World::new(7);
    for instance in 0..7 {
        assert_eq!(world.admit(instance), Some(false));
        assert!(world.crash(instance));
    }
    world.exchange();
    let admissions: Vec<_> = (0..7).map(|instance| world.admit(instance)).collect();
    assert_eq!(admissions.iter().flatten().count(), 1);
    assert_eq!(admissions.iter().flatten().next(), Some(&true));
}

/// Guards against the same while instances have not read each other's records.
#[test]
fn an_instance_that_has_not_read_of_a_trial_starts_none() {
    let mut world = World::new(2);
    for instance in 0..2 {
        world.crash(instance);
        world.write(instance);
    }
    assert_eq!(world.admit(0), Some(true));
    world.end_trial(0, TrialEnd::Crashed);
    assert_eq!(world.admit(1), None);
}

/// Guards against trials without a result that are repeated for ever.
#[test]
fn trials_without_a_result_are_few() {
    let mut world = World::new(3);
    world.crash(0);
    world.exchange();
    let mut trials = 0;
    for second in 0..300 {
        let instance = second % 3;
        if world.admit(instance) == Some(true) {
            trials += 1;
            world.end_trial(instance, TrialEnd::Unclear);
        }
        world.exchange();
        world.now += secs(1);
    }
    assert_eq!(trials, MAX_TRIALS);
}

/// Guards against a second trial soon after one under which a leaf has ended.
#[test]
fn a_request_that_ends_leafs_again_is_blocked_for_a_minute() {
    let mut world = World::new(2);
    world.crash(0);
    world.exchange();
    assert_eq!(world.admit(1), Some(true));
    world.end_trial(1, TrialEnd::Crashed);
    world.exchange();
    for _ in 0..59 {
        world.now += secs(1);
        assert_eq!(world.admit(0), None);
        assert_eq!(world.admit(1), None);
    }
    world.now += secs(1);
    assert_eq!(world.admit(0), Some(true));
}

/// Guards against a trial that counts although no leaf has received it, for instance because all of
/// them start again.
#[test]
fn a_trial_that_was_not_sent_does_not_count() {
    let mut world = World::new(2);
    world.crash(0);
    world.exchange();
    for _ in 0..10 {
        assert_eq!(world.admit(1), Some(true));
        world.end_trial(1, TrialEnd::NotSent);
        world.exchange();
    }
}

/// Guards against a harmless request that stays suspect at other instances after a leaf has survived
/// it.
#[test]
fn a_survivor_ends_the_suspicion_everywhere() {
    let mut world = World::new(3);
    for instance in 0..3 {
        world.crash(instance);
    }
    world.exchange();
    assert_eq!(world.admit(2), Some(true));
    world.end_trial(2, TrialEnd::Survived);
    world.exchange();
    for instance in 0..3 {
        assert_eq!(world.admit(instance), Some(false));
        assert!(world.instances[instance].is_empty());
    }
}

/// Guards against a popular request that is refused because leafs end for other reasons, again and
/// again.
#[test]
fn a_request_that_leafs_survive_does_not_become_suspect() {
    let mut world = World::new(2);
    for _ in 0..20 {
        let now = world.now;
        world.instances[0].on_survived(REQUEST, now);
        assert!(!world.crash(0));
        assert_eq!(world.admit(0), Some(false));
        world.now += secs(1);
    }
    assert!(!world.instances[0].has_changes());
}

/// Guards against one end that counts as often as there were attempts in progress.
#[test]
fn attempts_in_progress_together_have_seen_one_event() {
    let mut world = World::new(1);
    let now = world.now;
    world.instances[0].on_survived(REQUEST, now);
    let started = now + secs(1);
    world.now = now + secs(2);
    for _ in 0..5 {
        assert!(!world.instances[0].on_crash(REQUEST, started, world.now));
    }
}

/// Guards against a request that is never suspected again because leafs have survived it once.
#[test]
fn a_request_that_turns_harmful_becomes_suspect() {
    let mut world = World::new(1);
    let now = world.now;
    world.instances[0].on_survived(REQUEST, now);
    world.now += secs(1);
    assert!(!world.crash(0));
    world.now += secs(1);
    assert!(world.crash(0));

    let mut world = World::new(1);
    let now = world.now;
    world.instances[0].on_survived(REQUEST, now);
    world.now += SURVIVAL_RETENTION;
    assert!(world.crash(0));
}

/// Guards against a suspicion of one instance that holds although leafs of another one survive the
/// request all the time.
#[test]
fn an_instance_whose_leafs_survive_a_request_clears_it() {
    let mut world = World::new(2);
    let now = world.now;
    world.instances[1].on_survived(REQUEST, now);
    world.crash(0);
    world.exchange();
    assert_eq!(world.admit(0), Some(false));
    assert_eq!(world.admit(1), Some(false));
}

/// Guards against records that are forgotten when the store ends their lease in an outage.
#[test]
fn a_record_that_the_store_has_lost_is_written_again() {
    let mut world = World::new(2);
    world.crash(0);
    world.exchange();
    assert_eq!(world.admit(0), Some(true));
    world.end_trial(0, TrialEnd::Crashed);
    world.exchange();
    world.store.records.clear();
    let now = world.now;
    for instance in &mut world.instances {
        instance.on_removed(REQUEST, now);
    }
    world.exchange();
    let stored = world.store.records.get(&REQUEST).map(|(stored, _)| *stored);
    let expected = Record {
        attempts: 2,
        trials: 1,
        survived: false,
    };
    assert_eq!(stored, Some(Stored::Current(expected)));
    assert_eq!(world.admit(1), None);
}

/// Guards against records that are written again for ever.
#[test]
fn a_record_expires() {
    let mut world = World::new(2);
    world.crash(0);
    world.exchange();
    world.now += EXPIRY;
    world.store.records.clear();
    let now = world.now;
    for instance in &mut world.instances {
        instance.on_removed(REQUEST, now);
        assert!(!instance.has_changes());
    }
    assert_eq!(world.admit(0), Some(false));
}

/// Guards against an earlier release, running beside this one, whose records say less: its counts
/// must not undo trials, and its survivals may be errors of leafs.
#[test]
fn records_of_an_earlier_release_do_not_undo_trials() {
    let mut world = World::new(2);
    world.crash(0);
    world.exchange();
    assert_eq!(world.admit(0), Some(true));
    world.end_trial(0, TrialEnd::Crashed);
    world.exchange();
    for attempts in [1, 0, 2] {
        world.store.put(Stored::Earlier { attempts });
        world.read(0);
        world.read(1);
        assert_eq!(world.admit(0), None);
        assert_eq!(world.admit(1), None);
    }
}

/// Guards against a verdict of an earlier release that this one does not know.
#[test]
fn counts_of_an_earlier_release_make_a_request_suspect() {
    let mut world = World::new(1);
    world.store.put(Stored::Earlier { attempts: 1 });
    world.read(0);
    assert_eq!(world.admit(0), Some(true));
    let mut world = World::new(1);
    world.store.put(Stored::Earlier { attempts: 2 });
    world.read(0);
    assert_eq!(world.admit(0), None);
}

/// Guards against a trial that waits for ever for a write that has failed.
#[test]
fn a_claim_that_was_not_confirmed_can_be_repeated() {
    let mut world = World::new(1);
    world.crash(0);
    world.exchange();
    for _ in 0..5 {
        let Admission::Trial(write) = world.instances[0].admit(REQUEST, world.now) else {
            panic!("no trial");
        };
        world.instances[0].on_write_failed(&write);
    }
    assert_eq!(world.admit(0), Some(true));
}

/// Guards against trials that are not counted because the store was silent when they took place.
#[test]
fn a_trial_without_the_store_is_written_later() {
    let mut world = World::new(2);
    world.crash(0);
    world.exchange();
    let now = world.now;
    let Admission::Trial(write) = world.instances[0].admit(REQUEST, now) else {
        panic!("no trial");
    };
    world.instances[0].on_unwritten_trial(&write, now);
    world.end_trial(0, TrialEnd::Crashed);
    assert_eq!(world.admit(0), None);
    world.exchange();
    assert_eq!(world.admit(1), None);
    assert_eq!(world.instances[1].record(REQUEST).trials, 1);
}

/// What one instance does in a step of the random test.
#[derive(Clone, Copy, Debug)]
enum Step {
    Attempt,
    Write,
    Read,
    Wait,
    LoseRecord,
    Restart,
}

fn step() -> impl Strategy<Value = (usize, Step)> {
    let steps = prop_oneof![
        8 => Just(Step::Attempt),
        4 => Just(Step::Write),
        4 => Just(Step::Read),
        4 => Just(Step::Wait),
        1 => Just(Step::LoseRecord),
        1 => Just(Step::Restart),
    ];
    (0..5_usize, steps)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(500),
        rng_seed: RngSeed::Fixed(0x5a5b),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against further attempts of a harmful request that reach leafs, in whatever order
    /// instances try, write, read, lose records and start again, once each has read of the first.
    #[test]
    fn a_harmful_request_has_few_trials(steps in prop::collection::vec(step(), 1..200)) {
        let mut world = World::new(5);
        world.crash(0);
        world.exchange();
        let begin = world.now;
        let mut trials = 0;
        for (instance, step) in steps {
            match step {
                Step::Attempt => match world.admit(instance) {
                    Some(true) => {
                        trials += 1;
                        let end = if trials % 2 == 0 { TrialEnd::Crashed } else { TrialEnd::Unclear };
                        world.end_trial(instance, end);
                    }
                    Some(false) => prop_assert!(false, "sent as if it were not suspect"),
                    None => {}
                },
                Step::Write => world.write(instance),
                Step::Read => world.read(instance),
                Step::Wait => world.now += secs(2),
                Step::LoseRecord => {
                    world.store.records.clear();
                    let now = world.now;
                    for instance in &mut world.instances {
                        instance.on_removed(REQUEST, now);
                    }
                    world.exchange();
                }
                Step::Restart => {
                    // A process writes what it knows before it is stopped, and reads before it serves.
                    world.write(instance);
                    world.instances[instance] = Suspects::new(10, 10);
                    world.read(instance);
                }
            }
        }
        prop_assert!(world.now < begin + EXPIRY);
        prop_assert!(trials <= MAX_TRIALS, "{trials} trials");
    }
}
