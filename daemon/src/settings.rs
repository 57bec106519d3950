//! The daemon's settings: flags and environment variables. All of them are checked before the
//! daemon opens a socket or starts a thread.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use camphorhold::state::id::FailureDomain;
use clap::Parser;
use miette::Diagnostic;
use thiserror::Error;

use crate::baseline::Baseline;

/// One instance of the camphorhold query tier.
///
/// Every flag can also be given as the environment variable named beside it; the flag wins.
/// A bad value stops the daemon with exit code 2 before it listens on any address.
#[derive(Debug, Parser)]
#[command(name = "camphorholdd", version, max_term_width = 100)]
struct Flags {
    /// Address to listen on for requests of callers, for instance 10.0.0.5:7100.
    #[arg(long, env = "CAMPHORHOLD_CALLER_ADDRESS", value_name = "IP:PORT")]
    caller_address: String,

    /// Address to listen on for leaf calls that other instances forward.
    #[arg(long, env = "CAMPHORHOLD_PEER_ADDRESS", value_name = "IP:PORT")]
    peer_address: String,

    /// Address to listen on for control messages of other instances and of the command-line
    /// program.
    #[arg(long, env = "CAMPHORHOLD_CONTROL_ADDRESS", value_name = "IP:PORT")]
    control_address: String,

    /// Address to listen on for liveness probes, readiness probes and metrics.
    #[arg(long, env = "CAMPHORHOLD_ADMIN_ADDRESS", value_name = "IP:PORT")]
    admin_address: String,

    /// Failure domain that this instance runs in.
    #[arg(long, env = "CAMPHORHOLD_FAILURE_DOMAIN", value_name = "NAME")]
    failure_domain: String,

    /// Address of the platform's key-value service (etcd v3 JSON over HTTP).
    #[arg(long, env = "CAMPHORHOLD_STORE", value_name = "IP:PORT")]
    store: String,

    /// Prefix of all keys of this system in the key-value service (1 to 200 characters).
    #[arg(
        long,
        env = "CAMPHORHOLD_STORE_PREFIX",
        value_name = "PREFIX",
        default_value = "camphorhold/"
    )]
    store_prefix: String,

    /// Address of the platform's list of live and leaving instances and backend servers.
    #[arg(long, env = "CAMPHORHOLD_INSTANCE_LIST", value_name = "IP:PORT")]
    instance_list: String,

    /// How long this instance acts on its configuration without new evidence that it is in force
    /// (500ms to 60s).
    #[arg(
        long,
        env = "CAMPHORHOLD_CURRENCY_BOUND",
        value_name = "DURATION",
        default_value = "3s"
    )]
    currency_bound: String,

    /// Time between two gossip exchanges (20ms to 10s).
    #[arg(
        long,
        env = "CAMPHORHOLD_GOSSIP_INTERVAL",
        value_name = "DURATION",
        default_value = "200ms"
    )]
    gossip_interval: String,

    /// How long this instance still accepts requests after it reports that it is not ready, so that
    /// the platform's load balancer has time to notice (0s to 20s).
    #[arg(
        long,
        env = "CAMPHORHOLD_BALANCER_WAIT",
        value_name = "DURATION",
        default_value = "2s"
    )]
    balancer_wait: String,

    /// Number of threads for requests of callers and leaf calls (1 to 256).
    #[arg(
        long,
        env = "CAMPHORHOLD_TRAFFIC_THREADS",
        value_name = "COUNT",
        default_value = "2"
    )]
    traffic_threads: String,

    /// Number of recent events kept for the timeline (100 to 1000000).
    #[arg(
        long,
        env = "CAMPHORHOLD_EVENTS_KEPT",
        value_name = "COUNT",
        default_value = "20000"
    )]
    events_kept: String,

    /// Log level, or levels per module, for instance `info,camphorhold=debug`.
    #[arg(
        long,
        env = "CAMPHORHOLD_LOG",
        value_name = "SPECIFICATION",
        default_value = "info"
    )]
    log: String,

    /// Mechanisms to replace by simpler ones, for experiments only.
    #[arg(
        long,
        env = "CAMPHORHOLD_BASELINE",
        value_delimiter = ',',
        value_enum,
        hide = true
    )]
    baseline: Vec<Baseline>,
}

/// Settings whose values are all permitted.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The listener for requests of callers.
    pub caller_address: SocketAddr,
    /// The listener for leaf calls that other instances forward.
    pub peer_address: SocketAddr,
    /// The listener for control messages of other instances and of the command-line program.
    pub control_address: SocketAddr,
    /// The listener for liveness probes, readiness probes and metrics.
    pub admin_address: SocketAddr,
    /// The failure domain that this instance runs in.
    pub failure_domain: FailureDomain,
    /// The key-value service that holds the control record.
    pub store: SocketAddr,
    /// Prefix of all keys of this system in the key-value service.
    pub store_prefix: Box<str>,
    /// The server of the platform's list of live and leaving instances and backend servers.
    pub instance_list: SocketAddr,
    /// How long this instance acts on its configuration without new evidence that it is in force.
    pub currency_bound: Duration,
    /// Time between two gossip exchanges that this instance starts.
    pub gossip_interval: Duration,
    /// How long this instance still accepts requests after it reports that it is not ready.
    pub balancer_wait: Duration,
    /// Number of threads for requests of callers and leaf calls.
    pub traffic_threads: usize,
    /// Number of recent events kept for the timeline.
    pub events_kept: usize,
    /// Log specification in the syntax of `flexi_logger`.
    pub log: Box<str>,
    /// Mechanisms that experiments replace by simpler ones; empty in production.
    pub baselines: Vec<Baseline>,
}

/// One setting with a value that is not permitted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{flag} is {value:?}: {permitted}")]
pub struct BadSetting {
    flag: &'static str,
    value: Box<str>,
    permitted: Box<str>,
}

/// All settings with values that are not permitted.
#[derive(Clone, Debug, Diagnostic, PartialEq, Eq)]
#[diagnostic(help("camphorholdd --help lists all settings with their environment variables"))]
pub struct BadSettings(Vec<BadSetting>);

impl fmt::Display for BadSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "these settings are invalid:")?;
        for setting in &self.0 {
            write!(f, "\n  {setting}")?;
        }
        Ok(())
    }
}

impl std::error::Error for BadSettings {}

impl Settings {
    /// Reads the settings from flags and environment variables; a flag overrides its variable.
    ///
    /// Exits the process on a missing or unknown flag, on `--help` and on `--version`.
    ///
    /// # Errors
    ///
    /// Returns every value that is not permitted.
    pub fn read() -> Result<Self, BadSettings> {
        Self::check(&Flags::parse())
    }

    fn check(flags: &Flags) -> Result<Self, BadSettings> {
        let mut checker = Checker::default();
        let settings = checker.settings(flags);
        match settings {
            Some(settings) if checker.problems.is_empty() => Ok(settings),
            _ => Err(BadSettings(checker.problems)),
        }
    }
}

/// Collects all values that are not permitted, so that one error reports them together.
#[derive(Default)]
struct Checker {
    problems: Vec<BadSetting>,
}

impl Checker {
    fn settings(&mut self, flags: &Flags) -> Option<Settings> {
        let caller_address = self.address("--caller-address", &flags.caller_address);
        let peer_address = self.address("--peer-address", &flags.peer_address);
        let control_address = self.address("--control-address", &flags.control_address);
        let admin_address = self.address("--admin-address", &flags.admin_address);
        let failure_domain = self.failure_domain(&flags.failure_domain);
        let store = self.address("--store", &flags.store);
        self.store_prefix(&flags.store_prefix);
        let instance_list = self.address("--instance-list", &flags.instance_list);
        let currency_bound = self.duration(
            "--currency-bound",
            &flags.currency_bound,
            Duration::from_millis(500),
            Duration::from_mins(1),
        );
        let gossip_interval = self.duration(
            "--gossip-interval",
            &flags.gossip_interval,
            Duration::from_millis(20),
            Duration::from_secs(10),
        );
        let balancer_wait = self.duration(
            "--balancer-wait",
            &flags.balancer_wait,
            Duration::ZERO,
            Duration::from_secs(20),
        );
        let traffic_threads = self.count("--traffic-threads", &flags.traffic_threads, 1, 256);
        let events_kept = self.count("--events-kept", &flags.events_kept, 100, 1_000_000);
        self.log(&flags.log);
        self.distinct_addresses(flags);
        Some(Settings {
            caller_address: caller_address?,
            peer_address: peer_address?,
            control_address: control_address?,
            admin_address: admin_address?,
            failure_domain: failure_domain?,
            store: store?,
            store_prefix: flags.store_prefix.as_str().into(),
            instance_list: instance_list?,
            currency_bound: currency_bound?,
            gossip_interval: gossip_interval?,
            balancer_wait: balancer_wait?,
            traffic_threads: traffic_threads?,
            events_kept: events_kept?,
            log: flags.log.as_str().into(),
            baselines: flags.baseline.clone(),
        })
    }

    fn report(&mut self, flag: &'static str, value: &str, permitted: impl Into<Box<str>>) {
        self.problems.push(BadSetting {
            flag,
            value: value.into(),
            permitted: permitted.into(),
        });
    }

    fn address(&mut self, flag: &'static str, value: &str) -> Option<SocketAddr> {
        let address = value.parse().ok();
        if address.is_none() {
            self.report(
                flag,
                value,
                "give an IP address and a port, such as 10.0.0.5:7100",
            );
        }
        address
    }

    fn failure_domain(&mut self, value: &str) -> Option<FailureDomain> {
        match FailureDomain::from_str(value) {
            Ok(failure_domain) => Some(failure_domain),
            Err(error) => {
                self.report("--failure-domain", value, error.to_string());
                None
            }
        }
    }

    fn store_prefix(&mut self, value: &str) {
        if value.is_empty() || value.len() > 200 {
            self.report("--store-prefix", value, "give 1 to 200 characters");
        }
    }

    fn duration(
        &mut self,
        flag: &'static str,
        value: &str,
        min: Duration,
        max: Duration,
    ) -> Option<Duration> {
        match humantime::parse_duration(value) {
            Ok(duration) if (min..=max).contains(&duration) => Some(duration),
            _ => {
                let permitted = format!("give a duration from {min:?} to {max:?}");
                self.report(flag, value, permitted);
                None
            }
        }
    }

    fn count(&mut self, flag: &'static str, value: &str, min: usize, max: usize) -> Option<usize> {
        match value.parse() {
            Ok(count) if (min..=max).contains(&count) => Some(count),
            _ => {
                self.report(flag, value, format!("give a number from {min} to {max}"));
                None
            }
        }
    }

    fn log(&mut self, value: &str) {
        if let Err(error) = flexi_logger::LogSpecification::parse(value) {
            self.report("--log", value, error.to_string());
        }
    }

    fn distinct_addresses(&mut self, flags: &Flags) {
        let other_listeners = [
            ("--peer-address", &flags.peer_address),
            ("--control-address", &flags.control_address),
            ("--admin-address", &flags.admin_address),
        ];
        let mut previous = vec![&flags.caller_address];
        for (flag, value) in other_listeners {
            if previous.contains(&value) {
                self.report(flag, value, "give each listener a different address");
            }
            previous.push(value);
        }
    }
}
