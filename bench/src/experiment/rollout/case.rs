//! The versions that are rolled out, and the deployment file that lists them.

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

/// The number of shards of each service.
pub const SHARDS: u16 = 2;

/// The number of leafs of each version: two replicas of each shard.
const LEAFS: u16 = 2 * SHARDS;

/// The version that serves before a rollout.
const OLD: &str = "v1";

/// The version that a rollout moves to.
pub const NEW: &str = "v2";

const DOMAINS: [&str; 3] = ["north", "south", "west"];

/// The behaviour of a new version. Each case has its own service and, except for `NoGate`, its own
/// rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Case {
    /// It behaves like the old version.
    Good,
    /// Half of its calls fail from the start.
    FailsAtOnce,
    /// Half of its calls fail some time after the start.
    FailsLater,
    /// Its calls take 4 times as long from the start.
    SlowAtOnce,
    /// Its calls take 4 times as long some time after the start.
    SlowLater,
    /// Its calls fail while another call is in flight at the same leaf.
    FailsUnderLoad,
    /// Half of its calls on one of two routes fail from the start.
    FailsOnRoute,
    /// Its servers reset all connections and calls from the start.
    Unreachable,
    /// Its servers hold no snapshot from the start.
    NoSnapshot,
    /// Half of its calls fail from the start. All traffic moves at once, without a rollout.
    NoGate,
}

impl Case {
    /// Returns the name of the case, which is also the name of its service and the id of its
    /// rollout.
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

    /// Returns whether every call is affected by the fault although the stand-in does not count it
    /// as failed.
    pub fn affects_every_call(self) -> bool {
        matches!(self, Self::SlowAtOnce | Self::SlowLater | Self::Unreachable)
    }

    /// Returns whether the fault begins some time after the start of the rollout.
    pub fn is_late(self) -> bool {
        matches!(self, Self::FailsLater | Self::SlowLater)
    }

    /// Returns the change that gives the leafs of the new version their fault. A late fault begins
    /// at `late_fault_unix_ms`.
    pub fn change(self, late_fault_unix_ms: u64) -> Change {
        let mut bad = Misbehaviour::default();
        if self.is_late() {
            bad.after_unix_ms = late_fault_unix_ms;
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

    fn service_text(self, first_port: u16, moves: bool) -> String {
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
        for (version, first_port) in [(OLD, first_port), (NEW, first_port + LEAFS)] {
            let _ = writeln!(text, "[[service.version]]\nname = \"{version}\"\nleafs = [");
            for leaf in 0..LEAFS {
                let address = loopback(first_port + leaf);
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

/// Returns the number of ports that the leafs of both versions of all cases need.
pub fn port_count(cases: &[Case]) -> u16 {
    let cases = u16::try_from(cases.len()).unwrap_or(u16::MAX);
    cases.saturating_mul(2 * LEAFS)
}

/// Returns the deployment file. Without a deadline all services are at the old version. With one,
/// the file has a rollout with that deadline for each case, and `NoGate` is at the new version. The
/// leafs take consecutive ports from `first_port`.
pub fn file(cases: &[Case], first_port: u16, deadline: Option<SystemTime>) -> Result<File, Error> {
    let mut text = "system = \"rollouts\"\nobjective = \"coverage\"\n".to_owned();
    for domain in DOMAINS {
        let _ = writeln!(text, "[[failure_domain]]\nname = \"{domain}\"");
    }
    text.push_str("[[tenant]]\nname = \"callers\"\n");
    for (case, first_port) in cases
        .iter()
        .zip((first_port..).step_by(usize::from(2 * LEAFS)))
    {
        text.push_str(&case.service_text(first_port, deadline.is_some()));
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
