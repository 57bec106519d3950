//! The random schedule of the faults of a run.

use std::time::Duration;

use camphorhold_testutils::platform::leaf::Behaviour;
use camphorhold_testutils::platform::store::Fault as StoreFault;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use camphorhold_testutils::proxy::LinkFault;

/// When the first fault begins, counted from the start of the run: the instances start before it.
const FIRST_FAULT: Duration = Duration::from_millis(500);

/// The range of the time between the beginnings of two faults, in milliseconds. Faults last up to
/// 2.5 s, so several overlap.
const PAUSE_MS: std::ops::Range<u64> = 100..900;

/// The range of the length of a fault, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 100..2_500;

/// How many kinds of fault one run draws at most. Some promises hold only while the instances are
/// undisturbed: few kinds leave long periods in which those can be checked.
const MAX_KINDS: usize = 4;

/// The random stream of the faults that [`draw_additional`] draws.
const ADDITIONAL_STREAM: u64 = 1;

/// The random stream of the faults that [`draw_deaf_watches`] draws, and the most of them.
const DEAF_WATCHES_STREAM: u64 = 2;
const MAX_DEAF_WATCHES: usize = 2;

/// The most restores of the store, limits of leafs and ends of all leases in one run.
const MAX_RESTORES: usize = 2;
const MAX_LIMITS: usize = 3;
const MAX_LEASE_ENDS: usize = 1;

/// The range of the time for which a leaf names a limit, in milliseconds, and of the limits, in
/// requests per second. The time exceeds that after which the bound on requests holds.
const LIMITED_MS: std::ops::Range<u64> = 6_000..12_000;
const LIMIT: std::ops::Range<u32> = 0..15;

/// A fault. The number says which instance, leaf or failure domain it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// An instance gets SIGKILL and is started again.
    Kill(usize),
    /// An instance gets SIGSTOP, and SIGCONT after the length of the fault.
    Pause(usize),
    /// An instance gets SIGTERM and is started again after it has exited.
    Terminate(usize),
    /// An instance gets SIGHUP, the signal to read its settings file again.
    Hangup(usize),
    /// The link from an instance to the store has a fault.
    StoreLink(usize, LinkFault),
    /// The store misbehaves towards all instances.
    Store(StoreFault),
    /// The configuration changes while the store leaves out all watches from changes, and reads of it
    /// that may be old are old. They stay so for a while.
    DeafWatches,
    /// The store drops its history of changes, as a compaction does.
    Compact,
    /// The link from all instances to a leaf has a fault.
    LeafLink(usize, LinkFault),
    /// A leaf misbehaves towards all instances.
    Leaf(usize, Behaviour),
    /// A leaf drains, is removed, and returns as a new incarnation.
    Drain(usize),
    /// A new version of the configuration directs the routes to a single service to another one.
    Configure,
    /// A failure domain is evacuated: its leafs must get no requests.
    Evacuate(usize),
    /// A copy of the store is made, and restored after the length of the fault. What was written
    /// meanwhile is written again soon after.
    Restore,
    /// A leaf names a limit on requests, in requests per second from all instances together.
    Limit(usize, u32),
    /// All leases of the store run out.
    EndLeases,
    /// Another writer adds an entry to the store, under the prefix of the leafs, that does not
    /// describe a leaf.
    ForeignEntry,
}

/// A fault with its beginning, counted from the start of the run, and its length.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Event {
    pub(crate) at: Duration,
    pub(crate) length: Duration,
    pub(crate) fault: Fault,
}

/// How many instances, leafs and failure domains there are for faults to affect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetCounts {
    pub(crate) instances: usize,
    pub(crate) leafs: usize,
    pub(crate) domains: usize,
}

/// Draws the faults of a run, sorted by their beginning. All of them begin before `length`.
pub(crate) fn draw(random: &mut ChaCha8Rng, counts: TargetCounts, length: Duration) -> Vec<Event> {
    let number = random.random_range(1..=MAX_KINDS);
    let all: Vec<usize> = (0..KINDS.len()).collect();
    let kinds: Vec<usize> = all.choose_multiple(random, number).copied().collect();
    let mut events = Vec::new();
    let mut at = FIRST_FAULT;
    while at < length {
        let kind = kinds[random.random_range(0..kinds.len())];
        events.push(Event {
            at,
            length: Duration::from_millis(random.random_range(LENGTH_MS)),
            fault: KINDS[kind](random, counts),
        });
        at += Duration::from_millis(random.random_range(PAUSE_MS));
    }
    events
}

/// Draws restores of the store, limits of leafs and ends of leases, in some runs none. They come on top of the
/// faults that [`draw`] returns, so that those of earlier seeds stay as they were.
pub(crate) fn draw_additional(seed: u64, counts: TargetCounts, length: Duration) -> Vec<Event> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(ADDITIONAL_STREAM);
    let latest = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    let mut events = Vec::new();
    for _ in 0..random.random_range(0..=MAX_RESTORES) {
        events.push(Event {
            at: Duration::from_millis(random.random_range(0..latest)),
            length: Duration::from_millis(random.random_range(LENGTH_MS)),
            fault: Fault::Restore,
        });
    }
    for _ in 0..random.random_range(0..=MAX_LIMITS) {
        let leaf = random.random_range(0..counts.leafs);
        events.push(Event {
            at: Duration::from_millis(random.random_range(0..latest)),
            length: Duration::from_millis(random.random_range(LIMITED_MS)),
            fault: Fault::Limit(leaf, random.random_range(LIMIT)),
        });
    }
    for _ in 0..random.random_range(0..=MAX_LEASE_ENDS) {
        events.push(Event {
            at: Duration::from_millis(random.random_range(0..latest)),
            length: Duration::ZERO,
            fault: Fault::EndLeases,
        });
    }
    events
}

/// Draws changes that all watches miss, in some runs none. Releases up to e7eb14d find them too late.
pub(crate) fn draw_deaf_watches(seed: u64, length: Duration) -> Vec<Event> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(DEAF_WATCHES_STREAM);
    let latest = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    let number = random.random_range(0..=MAX_DEAF_WATCHES);
    let events = (0..number).map(|_| Event {
        at: Duration::from_millis(random.random_range(0..latest)),
        length: Duration::from_millis(random.random_range(LENGTH_MS)),
        fault: Fault::DeafWatches,
    });
    events.collect()
}

/// Returns the planned replacement of all instances, one after the other.
pub(crate) fn replacements(counts: TargetCounts, length: Duration) -> Vec<Event> {
    let instances = u32::try_from(counts.instances).unwrap_or(u32::MAX);
    (0..counts.instances)
        .zip(1..)
        .map(|(instance, turn)| Event {
            at: length * turn / instances.saturating_add(1),
            length: Duration::ZERO,
            fault: Fault::Terminate(instance),
        })
        .collect()
}

type DrawFault = fn(&mut ChaCha8Rng, TargetCounts) -> Fault;

const KINDS: [DrawFault; 13] = [
    |random, counts| Fault::Kill(random.random_range(0..counts.instances)),
    |random, counts| Fault::Pause(random.random_range(0..counts.instances)),
    |random, counts| Fault::Terminate(random.random_range(0..counts.instances)),
    |random, counts| Fault::Hangup(random.random_range(0..counts.instances)),
    |random, counts| Fault::StoreLink(random.random_range(0..counts.instances), link_fault(random)),
    |random, _| {
        Fault::Store(match random.random_range(0..3) {
            0 => StoreFault::Refuse,
            1 => StoreFault::LoseWatches,
            _ => StoreFault::Silent,
        })
    },
    |_, _| Fault::Compact,
    |random, counts| Fault::LeafLink(random.random_range(0..counts.leafs), link_fault(random)),
    |random, counts| Fault::Leaf(random.random_range(0..counts.leafs), behaviour(random)),
    |random, counts| Fault::Drain(random.random_range(0..counts.leafs)),
    |_, _| Fault::Configure,
    |random, counts| Fault::Evacuate(random.random_range(0..counts.domains)),
    |_, _| Fault::ForeignEntry,
];

fn link_fault(random: &mut ChaCha8Rng) -> LinkFault {
    match random.random_range(0..6) {
        0 => LinkFault::Delay(Duration::from_millis(random.random_range(10..300))),
        1 => LinkFault::Reset,
        2 => LinkFault::Refuse,
        3 => LinkFault::CutToServer,
        4 => LinkFault::CutToClient,
        _ => LinkFault::Silence,
    }
}

fn behaviour(random: &mut ChaCha8Rng) -> Behaviour {
    match random.random_range(0..7) {
        0 => Behaviour::Slow(Duration::from_millis(random.random_range(20..600))),
        1 => Behaviour::Hang,
        2 => Behaviour::Lose,
        3 => Behaviour::Repeat,
        4 => Behaviour::Truncate,
        5 => Behaviour::Refuse,
        _ => Behaviour::Misdirect,
    }
}
