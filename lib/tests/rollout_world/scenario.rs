//! What a run consists of.

/// How the new version behaves.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    Good,
    FailsAtOnce { percent: u32 },
    FailsLater { percent: u32, after_s: u64 },
    SlowAtOnce,
    SlowLater { after_s: u64 },
    FailsAboveShare { percent: u32, share_permille: u16 },
    FailsOnOneRoute { percent: u32 },
}

/// What happens to the instances.
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
    OtherChange,
    /// The store takes no writes; the witnesses keep the instances current.
    StoreDown {
        seconds: u64,
    },
}

/// One run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub instances: usize,
    pub requests_per_second: u32,
    pub deadline_s: u64,
    pub behaviour: Behaviour,
    pub lost_percent: u32,
    pub faults: Vec<(u64, Fault)>,
}
