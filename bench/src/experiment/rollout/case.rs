//! The versions tried, and the file that lists them.

use std::fmt::Write;
use std::time::SystemTime;

use camphorhold_testutils::backend::Change;
use camphorhold_testutils::backend::Fault;
use camphorhold_testutils::backend::Lifecycle;
use camphorhold_testutils::backend::Misbehaviour;
use clap::ValueEnum;

use crate::deployment::File;
use crate::deployment::loopback;
use crate::error::Error;

/// Shards of each service.
pub const SHARDS: u16 = 2;

/// Leafs of each version: two replicas of each shard.
const LEAFS: u16 = 2 * SHARDS;

/// The version before a rollout.
const OLD: &str = "v1";

/// The version that a rollout moves to.
pub const NEW: &str = "v2";

const DOMAINS: [&str; 3] = ["north", "south", "west"];

/// How the new version behaves. Each case has a service, a version and a rollout of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Case {
    /// Like the old version.
    Good,
    /// Half of its calls fail from the start.
    FailsAtOnce,
    /// Half of its calls fail some time after the start.
    FailsLater,
    /// Its calls take 4 times as long from the start.
    SlowAtOnce,
    /// Its calls take 4 times as long some time after the start.
    SlowLater,
    /// Its calls fail when another one is in flight at the same leaf.
    FailsUnderLoad,
    /// Half of its calls on one of two routes fail.
    FailsOnRoute,
    /// Its servers reset connections and calls from the start.
    Unreachable,
    /// Its servers hold no snapshot from the start.
    NoSnapshot,
    /// Half of its calls fail from the start, and all traffic moves at once, without a rollout.
    NoGate,
}

impl Case {
    /// Returns the name of the case and its service and rollout.
    pub fn name(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::FailsAtOnce => "fails-at-once",
            Self::FailsLater => "fails-later",
            Self::SlowAtOnce => "slow-at-once",
            Self::SlowLater => "slow-later",
            Self::FailsUnderLoad => "fails-under-load",
            Self::FailsOnRoute => "fails-on-route",
            Self::Unreachable => "unreachable",
            Self::NoSnapshot => "no-snapshot",
            Self::NoGate => "no-gate",
        }
    }

    /// Tells whether each call shows the fault, which the stand-in does not count as failed.
    pub fn shows_at_call(self) -> bool {
        matches!(self, Self::SlowAtOnce | Self::SlowLater | Self::Unreachable)
    }

    /// Tells whether the fault begins some time after the start.
    pub fn is_late(self) -> bool {
        matches!(self, Self::FailsLater | Self::SlowLater)
    }

    /// Returns the fault of the new version. A late one begins at `later_unix_ms`.
    pub fn change(self, later_unix_ms: u64) -> Change {
        let mut bad = Misbehaviour::default();
        if self.is_late() {
            bad.after_unix_ms = later_unix_ms;
        }
        match self {
            Self::Good | Self::Unreachable | Self::NoSnapshot => {}
            Self::SlowAtOnce | Self::SlowLater => bad.slow_factor = 4.0,
            Self::FailsUnderLoad => {
                bad.min_in_flight = 2;
                bad.fail_probability = 1.0;
            }
            Self::FailsOnRoute => {
                bad.route = Some("detail".to_owned());
                bad.fail_probability = 0.5;
            }
            Self::FailsAtOnce | Self::FailsLater | Self::NoGate => bad.fail_probability = 0.5,
        }
        Change {
            service: Some(self.name().to_owned()),
            version: Some(NEW.to_owned()),
            fault: Some(Fault {
                lifecycle: if self == Self::Unreachable {
                    Lifecycle::Gone
                } else {
                    Lifecycle::Serving
                },
                misbehaviour: bad,
                ..Fault::default()
            }),
            snapshots: (self == Self::NoSnapshot).then(Vec::new),
            ..Change::default()
        }
    }

    fn service(self, first: u16, moves: bool) -> String {
        let serving = if moves && self == Self::NoGate {
            NEW
        } else {
            OLD
        };
        let name = self.name();
        let mut text = format!(
            "[[service]]\nname = \"{name}\"\ndeadline = \"250ms\"\nslots = 2\nconnections = 25\n\
             cold_start = {{ concurrency = 1, duration = \"1s\", answers = 5 }}\n\
             shards = {SHARDS}\nserving = \"{serving}\"\n"
        );
        for (version, first) in [(OLD, first), (NEW, first + LEAFS)] {
            let _ = writeln!(text, "[[service.version]]\nname = \"{version}\"\nleafs = [");
            for leaf in 0..LEAFS {
                let address = loopback(first + leaf);
                let shard = leaf / 2;
                let domain = DOMAINS[usize::from(leaf) % DOMAINS.len()];
                let _ = writeln!(
                    text,
                    "{{ address = \"{address}\", shard = {shard}, failure_domain = \"{domain}\" }},"
                );
            }
            text.push_str("]\n");
        }
        text
    }
}

/// Counts the ports that the leafs of the cases listen on.
pub fn ports(cases: &[Case]) -> u16 {
    let cases = u16::try_from(cases.len()).unwrap_or(u16::MAX);
    cases.saturating_mul(2 * LEAFS)
}

/// Returns the file with all services at the old version, or, given a deadline, with the moves.
pub fn file(cases: &[Case], first: u16, deadline: Option<SystemTime>) -> Result<File, Error> {
    let mut text = "system = \"rollouts\"\nobjective = \"coverage\"\n".to_owned();
    for domain in DOMAINS {
        let _ = writeln!(text, "[[failure_domain]]\nname = \"{domain}\"");
    }
    text.push_str("[[tenant]]\nname = \"callers\"\n");
    for (case, first) in cases.iter().zip((first..).step_by(usize::from(2 * LEAFS))) {
        text.push_str(&case.service(first, deadline.is_some()));
    }
    let gated = cases.iter().filter(|case| **case != Case::NoGate);
    for (case, deadline) in gated.zip(deadline.into_iter().cycle()) {
        let name = case.name();
        let deadline = humantime::format_rfc3339_seconds(deadline);
        let _ = writeln!(
            text,
            "[[rollout]]\nid = \"{name}\"\nservices = [\"{name}\"]\nfrom = \"{OLD}\"\n\
             to = \"{NEW}\"\ndeadline = \"{deadline}\""
        );
    }
    File::from_text(&text)
}
