//! The daemon's settings: flags and environment variables, checked as a whole before anything
//! starts.

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
    /// Address for callers' requests, for instance 10.0.0.5:7100.
    #[arg(long, env = "CAMPHORHOLD_CALLER_ADDRESS", value_name = "IP:PORT")]
    caller_address: String,

    /// Address for leaf calls forwarded by other instances.
    #[arg(long, env = "CAMPHORHOLD_PEER_ADDRESS", value_name = "IP:PORT")]
    peer_address: String,

    /// Address for control messages of other instances and of the command-line tool.
    #[arg(long, env = "CAMPHORHOLD_CONTROL_ADDRESS", value_name = "IP:PORT")]
    control_address: String,

    /// Address for liveness, readiness and metrics.
    #[arg(long, env = "CAMPHORHOLD_ADMIN_ADDRESS", value_name = "IP:PORT")]
    admin_address: String,

    /// The failure domain that this instance runs in.
    #[arg(long, env = "CAMPHORHOLD_FAILURE_DOMAIN", value_name = "NAME")]
    failure_domain: String,

    /// Address of the platform's key-value service (etcd v3 JSON over HTTP).
    #[arg(long, env = "CAMPHORHOLD_STORE", value_name = "IP:PORT")]
    store: String,

    /// Key prefix of this system in the key-value service.
    #[arg(
        long,
        env = "CAMPHORHOLD_STORE_PREFIX",
        value_name = "PREFIX",
        default_value = "camphorhold/"
    )]
    store_prefix: String,

    /// Address of the platform's list of live and leaving instances.
    #[arg(long, env = "CAMPHORHOLD_INSTANCE_LIST", value_name = "IP:PORT")]
    instance_list: String,

    /// How long an instance trusts its evidence that its configuration is in force (500ms to 60s).
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

    /// How long the platform's balancer may take to notice that the instance is not ready (0s to
    /// 20s). The instance serves on during that time.
    #[arg(
        long,
        env = "CAMPHORHOLD_BALANCER_WAIT",
        value_name = "DURATION",
        default_value = "2s"
    )]
    balancer_wait: String,

    /// Threads for traffic (1 to 256).
    #[arg(
        long,
        env = "CAMPHORHOLD_TRAFFIC_THREADS",
        value_name = "COUNT",
        default_value = "2"
    )]
    traffic_threads: String,

    /// Events kept for the time line (100 to 1000000).
    #[arg(
        long,
        env = "CAMPHORHOLD_EVENTS_KEPT",
        value_name = "COUNT",
        default_value = "20000"
    )]
    events_kept: String,

    /// What to log: a level, or levels per module, for instance `info,camphorhold=debug`.
    #[arg(
        long,
        env = "CAMPHORHOLD_LOG",
        value_name = "SPECIFICATION",
        default_value = "info"
    )]
    log: String,

    /// Parts to replace by simpler ones, for experiments only.
    #[arg(
        long,
        env = "CAMPHORHOLD_BASELINE",
        value_delimiter = ',',
        value_enum,
        hide = true
    )]
    baseline: Vec<Baseline>,
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for callers' requests.
    pub caller_address: SocketAddr,
    /// Address for leaf calls forwarded by other instances.
    pub peer_address: SocketAddr,
    /// Address for control messages.
    pub control_address: SocketAddr,
    /// Address for liveness, readiness and metrics.
    pub admin_address: SocketAddr,
    /// The failure domain that this instance runs in.
    pub failure_domain: FailureDomain,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Key prefix in the key-value service.
    pub store_prefix: Box<str>,
    /// Address of the instance list.
    pub instance_list: SocketAddr,
    /// How long evidence for the configuration in force is trusted.
    pub currency_bound: Duration,
    /// Time between two gossip exchanges.
    pub gossip_interval: Duration,
    /// How long the balancer may take to notice that the instance is not ready.
    pub balancer_wait: Duration,
    /// Threads for traffic.
    pub traffic_threads: usize,
    /// Events kept for the time line.
    pub events_kept: usize,
    /// What to log.
    pub log: Box<str>,
    /// Parts to replace by simpler ones.
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

/// Is returned when any setting has a value that is not permitted.
#[derive(Clone, Debug, Diagnostic, PartialEq, Eq)]
#[diagnostic(help("camphorholdd --help lists all settings with their environment variables"))]
pub struct BadSettings(Vec<BadSetting>);

impl fmt::Display for BadSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the settings cannot be used:")?;
        for setting in &self.0 {
            write!(f, "\n  {setting}")?;
        }
        Ok(())
    }
}

impl std::error::Error for BadSettings {}

impl Settings {
    /// Reads the settings from flags and environment variables.
    ///
    /// A missing or unknown flag, `--help` and `--version` end the process.
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

/// Collects the bad values, so that all of them can be reported at once.
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
        least: Duration,
        most: Duration,
    ) -> Option<Duration> {
        match humantime::parse_duration(value) {
            Ok(duration) if (least..=most).contains(&duration) => Some(duration),
            _ => {
                let permitted = format!("give a duration from {least:?} to {most:?}");
                self.report(flag, value, permitted);
                None
            }
        }
    }

    fn count(
        &mut self,
        flag: &'static str,
        value: &str,
        least: usize,
        most: usize,
    ) -> Option<usize> {
        match value.parse() {
            Ok(count) if (least..=most).contains(&count) => Some(count),
            _ => {
                self.report(flag, value, format!("give a number from {least} to {most}"));
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
        let listened = [
            ("--peer-address", &flags.peer_address),
            ("--control-address", &flags.control_address),
            ("--admin-address", &flags.admin_address),
        ];
        let mut earlier = vec![&flags.caller_address];
        for (flag, value) in listened {
            if earlier.contains(&value) {
                self.report(flag, value, "give each listener an address of its own");
            }
            earlier.push(value);
        }
    }
}
