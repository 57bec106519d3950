//! The input of a run.

/// How the new version behaves.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Like the old version.
    Good,
    FailsAtOnce {
        percent: u32,
    },
    FailsLater {
        percent: u32,
        after_s: u64,
    },
    /// Has four times the latency of the old version.
    SlowAtOnce,
    SlowLater {
        after_s: u64,
    },
    /// Fails while its share is `share_permille` or more.
    FailsAboveShare {
        percent: u32,
        share_permille: u16,
    },
    FailsOnOneRoute {
        percent: u32,
    },
}

/// A fault or a change from outside the rollout.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Pause {
        instance: usize,
        seconds: u64,
    },
    Restart {
        instance: usize,
    },
    MoveDriver {
        to: usize,
    },
    /// The generation of the record rises for another reason, which invalidates pending proposals.
    OtherChange,
    /// The store accepts no writes. The witnesses keep the instances current.
    StoreDown {
        seconds: u64,
    },
}

/// The input of one run. The seed determines all its random choices.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub instances: usize,
    /// The requests per second of all instances together.
    pub requests_per_second: u32,
    /// The time from the start to the deadline of the rollout.
    pub deadline_s: u64,
    pub behaviour: Behaviour,
    /// The probability that a proposal is lost, in percent.
    pub lost_percent: u32,
    /// The faults, each with its time since the start in seconds.
    pub faults: Vec<(u64, Fault)>,
}
