//! Deliberately worse decisions that experiments compare the daemon with.

use std::sync::OnceLock;

use clap::ValueEnum;

static CHOSEN: OnceLock<Vec<Baseline>> = OnceLock::new();

/// A part of the daemon that is replaced by a simpler one. Never used in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Baseline {
    /// Replicas are chosen at random.
    RandomReplica,
    /// No second requests are sent.
    NoHedging,
    /// Every request is admitted at once.
    NoLimits,
    /// Each instance calls all leafs itself instead of through their owners. The protection of
    /// cold servers does not hold.
    EveryInstanceConnects,
}

impl Baseline {
    /// Tells whether this baseline is chosen.
    pub fn is_chosen(self) -> bool {
        CHOSEN.get().is_some_and(|chosen| chosen.contains(&self))
    }
}

/// Chooses baselines for the life of the process.
pub fn choose(baselines: Vec<Baseline>) {
    if !baselines.is_empty() {
        log::warn!("runs with baselines for experiments: {baselines:?}");
    }
    // Chosen once, before anything else starts.
    let _ = CHOSEN.set(baselines);
}
