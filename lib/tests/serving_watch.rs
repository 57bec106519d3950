//! Tests of how instances find lost watches of the store, over a model of a group of instances that
//! share current reads. While nothing changes, old reads and current ones show the same, so cheap
//! reads are left out: they may only find a lost watch earlier.

use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::watch::Monitor;
use camphorhold::coordination::serving::watch::Read;
use camphorhold::coordination::serving::watch::Sighting;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SETTLING_TIME: Duration = Duration::from_secs(4);

/// The latest time at which a watch counts as lost. The rest of the settling time is for the calls.
const FOUND_WITHIN: Duration = Duration::from_millis(3_600);

/// How long a current read takes, and after that a confirmation.
const READ_TIME: Duration = Duration::from_millis(5);
const TRANSIT: Duration = Duration::from_millis(2);

const STEP: Duration = Duration::from_millis(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Member {
    monitor: Monitor,
    rank: usize,
    // It neither reads nor hears of other reads.
    is_silent: bool,
    // What it will have seen, and when.
    arriving: Vec<(Instant, Sighting)>,
    is_reading_until: Instant,
    // When its watch counted as lost, each time.
    lost: Vec<Instant>,
}

/// A group of instances whose watches return nothing.
struct Group {
    now: Instant,
    revision: u64,
    members: Vec<Member>,
    reads: usize,
    // The share of confirmations that are lost.
    loss: f64,
    random: SmallRng,
}

impl Group {
    /// Creates a group whose members have read revision 1 and begin to watch within a while.
    fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut random = SmallRng::seed_from_u64(seed);
        let members = (0..count).map(|rank| {
            let mut monitor = Monitor::default();
            monitor.on_changes_read(1);
            monitor.on_watch_sent(SETTLING_TIME, now + ms(random.random_range(0..300)));
            Member {
                monitor,
                rank,
                is_silent: false,
                arriving: Vec::new(),
                is_reading_until: now,
                lost: Vec::new(),
            }
        });
        Self {
            now,
            revision: 1,
            members: members.collect(),
            reads: 0,
            loss: 0.0,
            random,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let mut sightings = Vec::new();
            for (index, member) in self.members.iter_mut().enumerate() {
                if member.is_silent {
                    continue;
                }
                let arrived: Vec<_> = member
                    .arriving
                    .extract_if(.., |(at, _)| *at <= now)
                    .collect();
                for (_, sighting) in arrived {
                    member.monitor.on_sighting(sighting, SETTLING_TIME, now);
                }
                if member
                    .monitor
                    .overdue()
                    .is_some_and(|overdue| overdue.lost_at <= now)
                {
                    member.lost.push(now);
                    member.monitor.on_watch_sent(SETTLING_TIME, now);
                }
                let due = member.monitor.confirmation_due(SETTLING_TIME, member.rank);
                if due.is_some_and(|due| due <= now) && member.is_reading_until <= now {
                    member.is_reading_until = now + READ_TIME;
                    let sighting = Sighting {
                        read: Read::Current,
                        revision: self.revision,
                        sent: now,
                    };
                    sightings.push((index, sighting));
                }
            }
            for (reader, sighting) in sightings {
                self.reads += 1;
                for (index, member) in self.members.iter_mut().enumerate() {
                    if index == reader {
                        member.arriving.push((now + READ_TIME, sighting));
                    } else if !self.random.random_bool(self.loss) {
                        member.arriving.push((now + READ_TIME + TRANSIT, sighting));
                    }
                }
            }
        }
    }

    /// Changes the store without a word from any watch. Returns after how long the last member that
    /// is not silent has found its watch lost.
    fn lose_change(&mut self) -> Duration {
        let changed_at = self.now;
        self.revision += 1;
        for member in &mut self.members {
            member.lost.clear();
        }
        self.run(2 * SETTLING_TIME);
        let listening = self.members.iter().filter(|member| !member.is_silent);
        let found = listening.map(|member| {
            let first = member.lost.first().expect("a lost watch is found");
            first.saturating_duration_since(changed_at)
        });
        found.max().expect("the group has members")
    }
}

/// Guards against a lost watch that is found later than the settling time because nothing has shown
/// how old cheap reads are. The change comes at each moment between two current reads.
#[test]
fn a_lost_watch_is_found_in_time_without_an_earlier_observation() {
    for count in [1, 2, 7, 64] {
        for calm in (0..4_000).step_by(200) {
            let mut group = Group::new(count, calm);
            group.run(ms(5_000 + calm));
            let found_after = group.lose_change();
            assert!(
                found_after <= FOUND_WITHIN,
                "{count} instances, changed {calm} ms later: found after {found_after:?}"
            );
        }
    }
}

/// Guards against an instance that relies on others that are frozen, or cut off, or whose
/// confirmations are lost.
#[test]
fn a_lost_watch_is_found_in_time_although_others_are_silent() {
    for seed in 0..20 {
        let mut group = Group::new(64, seed);
        group.loss = f64::from(u32::try_from(seed % 4).unwrap_or(0)) / 3.0;
        group.run(ms(4_000));
        let silent = usize::try_from(7 * seed).unwrap_or(0) % 64;
        for member in &mut group.members[..silent] {
            member.is_silent = true;
        }
        group.run(ms(37 * seed));
        let found_after = group.lose_change();
        assert!(
            found_after <= FOUND_WITHIN,
            "the first {silent} are silent, {} of the confirmations lost: found after {found_after:?}",
            group.loss
        );
    }
}

/// Guards against one confirmation that claims to be newer than it is, from an instance that was
/// suspended before it was sent.
#[test]
fn a_lost_watch_is_found_in_time_although_one_confirmation_is_old() {
    for lie_after in (0..1_200).step_by(50) {
        let mut group = Group::new(1, lie_after);
        group.run(ms(5_000));
        let now = group.now + ms(lie_after);
        let lie = Sighting {
            read: Read::Current,
            revision: 1,
            sent: now,
        };
        group.members[0].arriving.push((now, lie));
        let found_after = group.lose_change();
        assert!(
            found_after <= FOUND_WITHIN,
            "{lie_after} ms: {found_after:?}"
        );
    }
}

/// Guards against a replacement of a lost watch that hears nothing, either: what was seen of the
/// store must not be forgotten.
#[test]
fn a_watch_that_replaces_a_lost_one_is_found_lost_soon() {
    let mut group = Group::new(3, 1);
    group.run(ms(5_000));
    group.lose_change();
    for member in &group.members {
        let pauses = member.lost.windows(2).map(|lost| lost[1] - lost[0]);
        assert!(pauses.clone().count() > 3, "lost at {:?}", member.lost);
        for pause in pauses {
            assert!(pause <= SETTLING_TIME / 4, "lost again after {pause:?}");
        }
    }
}

/// Guards against current reads by every instance, each of which costs as much as ten cheap ones.
#[test]
fn a_group_shares_its_current_reads() {
    let time = Duration::from_mins(2);
    let alone = {
        let mut group = Group::new(1, 1);
        group.run(time);
        group.reads
    };
    for (count, loss, share) in [(7, 0.0, 1), (64, 0.0, 1), (64, 0.01, 2), (64, 0.1, 8)] {
        let mut group = Group::new(count, 7);
        group.loss = loss;
        group.run(time);
        assert!(
            group.reads <= alone * share + count,
            "{count} instances, {loss} of the confirmations lost: {} reads, one alone {alone}",
            group.reads
        );
    }
    // Without any confirmation from others, none reads more often than one alone.
    let mut group = Group::new(64, 7);
    group.loss = 1.0;
    group.run(time);
    assert!(group.reads <= 64 * (alone + 1), "{} reads", group.reads);
}

/// Guards against a watch that is sent again although its answer is on its way, or has arrived.
#[test]
fn a_watch_that_answers_in_time_is_not_lost() {
    let start = Instant::now();
    let mut monitor = Monitor::default();
    monitor.on_changes_read(1);
    monitor.on_watch_sent(SETTLING_TIME, start);
    let sighting = |revision, at| Sighting {
        read: Read::Cheap,
        revision,
        sent: at,
    };
    monitor.on_sighting(sighting(2, start), SETTLING_TIME, start);
    let overdue = monitor.overdue().unwrap();
    assert_eq!((overdue.revision, overdue.lost_at), (2, start + ms(500)));
    // A later sighting of the same changes is no reason to wait longer.
    monitor.on_sighting(sighting(2, start), SETTLING_TIME, start + ms(400));
    assert_eq!(monitor.overdue(), Some(overdue));
    monitor.on_changes_read(2);
    assert_eq!(monitor.overdue(), None);
    // Nor is an earlier revision, as cheap reads show it, a reason to count the watch as lost.
    monitor.on_sighting(sighting(1, start), SETTLING_TIME, start + ms(600));
    assert_eq!(monitor.overdue(), None);
}

/// Guards against sightings from before a restore of the store, whose revisions are given out again.
#[test]
fn sightings_from_before_a_restore_are_forgotten() {
    let start = Instant::now();
    let mut monitor = Monitor::default();
    monitor.on_changes_read(1);
    let sighting = Sighting {
        read: Read::Current,
        revision: 9,
        sent: start,
    };
    monitor.on_sighting(sighting, SETTLING_TIME, start);
    monitor.on_restored();
    monitor.on_changes_read(4);
    assert_eq!(monitor.overdue(), None);
    assert_eq!(monitor.confirmation_age(start), None);
}

/// Guards against an instance that reads all entries again and again because another one has told
/// it of a revision that the store has never reached.
#[test]
fn a_listing_refutes_earlier_sightings_but_not_later_ones() {
    let start = Instant::now();
    let mut monitor = Monitor::default();
    monitor.on_changes_read(1);
    let sighting = |sent| Sighting {
        read: Read::Current,
        revision: 9,
        sent,
    };
    monitor.on_sighting(sighting(start), SETTLING_TIME, start);
    monitor.on_listed(4, start + ms(1));
    assert_eq!(monitor.overdue(), None);
    // The listing was sent before this one was heard of.
    monitor.on_sighting(sighting(start + ms(2)), SETTLING_TIME, start + ms(3));
    monitor.on_listed(4, start + ms(2));
    assert_eq!(monitor.overdue().map(|overdue| overdue.revision), Some(9));
}
