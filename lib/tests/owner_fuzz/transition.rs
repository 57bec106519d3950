//! The steps of a run.

use camphorhold::coordination::drain::Source;
use camphorhold::coordination::warmth::Health;
use proptest::prelude::*;

use super::server::Mode;
use super::world::INSTANCES;

/// How the server ends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Ok,
    Failed,
    Incomplete,
    WrongSnapshot,
    /// The same answer arrives twice.
    Doubled,
    /// The answer names another call.
    Crossed,
}

/// One step.
#[derive(Clone, Copy, Debug)]
pub enum Transition {
    /// Normal service for a number of rounds of 100 ms.
    Serve {
        rounds: u8,
    },
    /// Calls arrive at an instance, owner or not.
    Submit {
        instance: usize,
        count: u8,
        deadline_ms: u64,
        idempotent: bool,
    },
    /// Time passes.
    Advance {
        ms: u64,
    },
    /// Messages of an instance reach the server.
    Deliver {
        instance: usize,
        count: u8,
    },
    /// Messages of the server reach an instance, in any order between connections.
    Receive {
        instance: usize,
        count: u8,
        pick: usize,
    },
    /// The server ends one request.
    Answer {
        pick: usize,
        kind: Kind,
    },
    /// The server process ends and another one starts. Without resets, the old connections are
    /// silent. A server that lies claims to be warm.
    Restart {
        lies: bool,
        resets: bool,
    },
    /// The server loses its caches without a restart.
    TurnCold,
    /// One connection is reset; the server goes on. One with a request is preferred.
    Reset {
        pick: usize,
    },
    Mode(Mode),
    Silent(bool),
    RefuseConnections(bool),
    Health {
        instance: usize,
        health: Health,
    },
    Pause {
        instance: usize,
    },
    Resume {
        instance: usize,
    },
    /// The owner is paused between a decision and the write, and resumes close to the end of its
    /// ownership.
    LateWrite {
        ms: u64,
    },
    /// The instance gets no evidence of currency.
    Cut {
        instance: usize,
    },
    Heal {
        instance: usize,
    },
    /// The record makes another instance the owner.
    Handover {
        to: usize,
    },
    /// Operators or the platform take the leaf out, or return it.
    Leave {
        source: Source,
        leaving: bool,
    },
    CallerCancels {
        pick: usize,
    },
    /// The file changes the slots.
    Slots {
        slots: u32,
    },
}

pub fn strategy() -> BoxedStrategy<Transition> {
    prop_oneof![
        3 => traffic(),
        2 => server(),
        1 => instance(),
    ]
    .boxed()
}

fn traffic() -> BoxedStrategy<Transition> {
    // Numbers above the instances stand for the owner.
    let instance = 0..2 * INSTANCES;
    prop_oneof![
        2 => (1_u8..50).prop_map(|rounds| Transition::Serve { rounds }),
        4 => (instance.clone(), 1_u8..8, 1_u64..900, any::<bool>()).prop_map(
            |(instance, count, deadline_ms, idempotent)| Transition::Submit {
                instance,
                count,
                deadline_ms,
                idempotent,
            }
        ),
        4 => (1_u64..400).prop_map(|ms| Transition::Advance { ms }),
        1 => (400_u64..5_000).prop_map(|ms| Transition::Advance { ms }),
        4 => (instance.clone(), 1_u8..12)
            .prop_map(|(instance, count)| Transition::Deliver { instance, count }),
        4 => (instance, 1_u8..12, any::<usize>()).prop_map(|(instance, count, pick)| {
            Transition::Receive {
                instance,
                count,
                pick,
            }
        }),
        1 => any::<usize>().prop_map(|pick| Transition::CallerCancels { pick }),
    ]
    .boxed()
}

fn server() -> BoxedStrategy<Transition> {
    let kind = prop_oneof![
        6 => Just(Kind::Ok),
        1 => Just(Kind::Failed),
        1 => Just(Kind::Incomplete),
        1 => Just(Kind::WrongSnapshot),
        1 => Just(Kind::Doubled),
        1 => Just(Kind::Crossed),
    ];
    let mode = prop_oneof![
        4 => Just(Mode::Serving),
        2 => Just(Mode::Shedding),
        1 => Just(Mode::Draining),
    ];
    let health = prop_oneof![
        Just(Health::Healthy),
        Just(Health::Loaded),
        Just(Health::Unhealthy)
    ];
    prop_oneof![
        8 => (any::<usize>(), kind).prop_map(|(pick, kind)| Transition::Answer { pick, kind }),
        2 => (any::<bool>(), prop::bool::weighted(0.7))
            .prop_map(|(lies, resets)| Transition::Restart { lies, resets }),
        1 => Just(Transition::TurnCold),
        3 => any::<usize>().prop_map(|pick| Transition::Reset { pick }),
        2 => mode.prop_map(Transition::Mode),
        1 => prop::bool::weighted(0.3).prop_map(Transition::Silent),
        1 => prop::bool::weighted(0.3).prop_map(Transition::RefuseConnections),
        1 => (0..INSTANCES, health)
            .prop_map(|(instance, health)| Transition::Health { instance, health }),
    ]
    .boxed()
}

fn instance() -> BoxedStrategy<Transition> {
    let instance = 0..INSTANCES;
    let source = prop_oneof![Just(Source::File), Just(Source::InstanceList)];
    prop_oneof![
        2 => instance.clone().prop_map(|instance| Transition::Pause { instance }),
        2 => instance.clone().prop_map(|instance| Transition::Resume { instance }),
        1 => instance.clone().prop_map(|instance| Transition::Cut { instance }),
        2 => instance.clone().prop_map(|instance| Transition::Heal { instance }),
        3 => instance.prop_map(|to| Transition::Handover { to }),
        2 => (2_700_u64..3_300).prop_map(|ms| Transition::LateWrite { ms }),
        1 => (source, prop::bool::weighted(0.3))
            .prop_map(|(source, leaving)| Transition::Leave { source, leaving }),
        1 => (1_u32..6).prop_map(|slots| Transition::Slots { slots }),
    ]
    .boxed()
}
