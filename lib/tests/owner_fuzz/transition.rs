//! The steps of a fuzzing run and the probabilities with which they are generated.

use camphorhold::coordination::drain::Source;
use camphorhold::coordination::warmth::Health;
use proptest::prelude::*;

use super::server::Mode;
use super::world::INSTANCES;

/// How the server answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Ok,
    Failed,
    Incomplete,
    WrongSnapshot,
    /// The same answer arrives twice.
    Duplicated,
    /// The answer contains the id of another running call.
    Mismatched,
}

/// One step of a run. A `pick` selects one of the candidates by its remainder.
#[derive(Clone, Copy, Debug)]
pub enum Transition {
    /// Normal service for a number of rounds of 100 ms.
    Serve {
        rounds: u8,
    },
    /// Calls arrive at an instance, which need not be the owner.
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
    /// Messages of the server reach an instance. Only those of one connection stay in order.
    Receive {
        instance: usize,
        count: u8,
        pick: usize,
    },
    /// The server answers one of its running requests.
    Answer {
        pick: usize,
        kind: Kind,
    },
    /// The server process ends and another one starts.
    Restart {
        /// Whether the new process reports that it is warm.
        claims_warm: bool,
        /// Whether the old connections are reset. Otherwise nothing arrives on them.
        resets: bool,
    },
    /// The server loses its caches without a restart.
    TurnCold,
    /// One connection is reset, if possible one with a running request. The server continues.
    Reset {
        pick: usize,
    },
    Mode(Mode),
    /// Whether the server sends no answers.
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
    /// The owner is paused between the decision to send a call and the write. It resumes close to
    /// the end of its ownership.
    LateWrite {
        ms: u64,
    },
    /// The instance gets no confirmation that its record is current.
    Partition {
        instance: usize,
    },
    Heal {
        instance: usize,
    },
    /// The control record names another instance as the owner.
    Handover {
        to: usize,
    },
    /// The operators' file or the instance list takes the leaf out of service, or returns it.
    Leave {
        source: Source,
        leaving: bool,
    },
    CallerCancels {
        pick: usize,
    },
    /// The operators' file changes the number of slots.
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
    // Numbers from `INSTANCES` on stand for the current owner.
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
        1 => Just(Kind::Duplicated),
        1 => Just(Kind::Mismatched),
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
            .prop_map(|(claims_warm, resets)| Transition::Restart { claims_warm, resets }),
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
        1 => instance.clone().prop_map(|instance| Transition::Partition { instance }),
        2 => instance.clone().prop_map(|instance| Transition::Heal { instance }),
        3 => instance.prop_map(|to| Transition::Handover { to }),
        2 => (2_700_u64..3_300).prop_map(|ms| Transition::LateWrite { ms }),
        1 => (source, prop::bool::weighted(0.3))
            .prop_map(|(source, leaving)| Transition::Leave { source, leaving }),
        1 => (1_u32..6).prop_map(|slots| Transition::Slots { slots }),
    ]
    .boxed()
}
