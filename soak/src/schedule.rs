//! Which faults come when, drawn from a seed.

use std::time::Duration;

use camphorhold_testutils::platform::leaf::Behaviour;
use camphorhold_testutils::platform::store::Fault as StoreFault;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::proxy::Trouble;

/// Faults come from this time on; before, the instances start.
const FIRST: Duration = Duration::from_millis(500);

/// Bounds of the pause between two faults in milliseconds. Faults last up to 2.5 s, so several
/// overlap.
const PAUSE_MS: std::ops::Range<u64> = 100..900;

/// Bounds of the length of a fault in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 100..2_500;

/// The most kinds of fault in one run. Few at a time leave long stretches in which the promises
/// that hold only for undisturbed instances can be checked.
const MOST_KINDS: usize = 4;

/// One fault, at an instance or leaf by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The process is killed and starts again.
    Kill(usize),
    /// The process stands still.
    Pause(usize),
    /// The process is asked to end and starts again.
    Terminate(usize),
    /// The process is told that its settings file has changed.
    Hangup(usize),
    /// The link of an instance to the store is troubled.
    StoreLink(usize, Trouble),
    /// The store misbehaves towards all.
    Store(StoreFault),
    /// The store forgets its history.
    Compact,
    /// The link to a leaf is troubled.
    LeafLink(usize, Trouble),
    /// A leaf misbehaves.
    Leaf(usize, Behaviour),
    /// A leaf drains, leaves, and comes back as a new incarnation.
    Drain(usize),
    /// Another version of the configuration, which moves the routes to single services.
    Configure,
    /// The leafs of a failure domain are to get nothing.
    Evacuate(usize),
    /// Another writer leaves an entry that names no leaf.
    ForeignEntry,
}

/// A fault with its times since the start of the run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Event {
    pub(crate) at: Duration,
    pub(crate) length: Duration,
    pub(crate) fault: Fault,
}

/// The numbers of what faults can hit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) instances: usize,
    pub(crate) leafs: usize,
    pub(crate) domains: usize,
}

/// Draws the faults of a run, in the order of their times.
pub(crate) fn draw(random: &mut ChaCha8Rng, size: Size, length: Duration) -> Vec<Event> {
    let number = random.random_range(1..=MOST_KINDS);
    let all: Vec<usize> = (0..KINDS.len()).collect();
    let kinds: Vec<usize> = all.choose_multiple(random, number).copied().collect();
    let mut events = Vec::new();
    let mut at = FIRST;
    while at < length {
        let kind = kinds[random.random_range(0..kinds.len())];
        events.push(Event {
            at,
            length: Duration::from_millis(random.random_range(LENGTH_MS)),
            fault: KINDS[kind](random, size),
        });
        at += Duration::from_millis(random.random_range(PAUSE_MS));
    }
    events
}

type Kind = fn(&mut ChaCha8Rng, Size) -> Fault;

const KINDS: [Kind; 13] = [
    |random, size| Fault::Kill(random.random_range(0..size.instances)),
    |random, size| Fault::Pause(random.random_range(0..size.instances)),
    |random, size| Fault::Terminate(random.random_range(0..size.instances)),
    |random, size| Fault::Hangup(random.random_range(0..size.instances)),
    |random, size| Fault::StoreLink(random.random_range(0..size.instances), trouble(random)),
    |random, _| {
        Fault::Store(match random.random_range(0..3) {
            0 => StoreFault::Refuse,
            1 => StoreFault::LoseWatches,
            _ => StoreFault::Silent,
        })
    },
    |_, _| Fault::Compact,
    |random, size| Fault::LeafLink(random.random_range(0..size.leafs), trouble(random)),
    |random, size| Fault::Leaf(random.random_range(0..size.leafs), behaviour(random)),
    |random, size| Fault::Drain(random.random_range(0..size.leafs)),
    |_, _| Fault::Configure,
    |random, size| Fault::Evacuate(random.random_range(0..size.domains)),
    |_, _| Fault::ForeignEntry,
];

fn trouble(random: &mut ChaCha8Rng) -> Trouble {
    match random.random_range(0..6) {
        0 => Trouble::Delay(Duration::from_millis(random.random_range(10..300))),
        1 => Trouble::Reset,
        2 => Trouble::Refuse,
        3 => Trouble::CutToServer,
        4 => Trouble::CutToClient,
        _ => Trouble::Silence,
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
