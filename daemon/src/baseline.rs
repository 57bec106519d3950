//! Simpler mechanisms that replace those of the daemon, so that experiments can compare both.

use std::sync::OnceLock;

use clap::ValueEnum;

static CHOSEN: OnceLock<Vec<Baseline>> = OnceLock::new();

/// A mechanism of the daemon that is replaced by a simpler one. Not for production.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Baseline {
    /// Chooses replicas at random.
    RandomReplica,
    /// Sends no hedged calls.
    NoHedging,
    /// Admits every request at once.
    NoLimits,
    /// Each instance connects to all leafs instead of forwarding calls to their owners. Cold
    /// servers are then not protected from overload.
    EveryInstanceConnects,
}

impl Baseline {
    /// Returns whether this process uses the baseline.
    pub fn is_chosen(self) -> bool {
        CHOSEN.get().is_some_and(|chosen| chosen.contains(&self))
    }
}

/// Sets the baselines for the lifetime of the process. Later calls have no effect.
pub fn choose(baselines: Vec<Baseline>) {
    if !baselines.is_empty() {
        log::warn!("not for production: running with the experimental baselines {baselines:?}");
    }
    // Fails only if they were set before; the main function sets them once.
    let _ = CHOSEN.set(baselines);
}
