//! Validates the operators' file as parsed from TOML and converts it.

use super::ColdStart;
use super::DomainState;
use super::File;
use super::Leaf;
use super::Objective;
use super::PartialPolicy;
use super::Problem;
use super::Rollout;
use super::Service;
use super::TenantPolicy;
use super::raw::RawColdStart;
use super::raw::RawDomain;
use super::raw::RawFile;
use super::raw::RawLeaf;
use super::raw::RawPartial;
use super::raw::RawRollout;
use super::raw::RawService;
use super::raw::RawTenant;
use crate::state::id::FailureDomain;
use crate::state::id::LeafId;
use crate::state::id::PartitionId;
use crate::state::id::RolloutId;
use crate::state::id::ServiceName;
use crate::state::id::ShardId;
use crate::state::id::Tenant;
use crate::state::id::VersionName;
use crate::state::size::Connections;
use crate::state::size::Slots;
use crate::state::size::Worth;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;
use toml::Spanned;

/// The maximum number of shards of one service.
const MAX_SHARDS: u32 = 10_000;

/// Parses and validates the text of a file. On failure returns all problems, by position. If the
/// text cannot be parsed into a [`RawFile`], the parse error is the only problem.
pub(super) fn parse(text: &str) -> Result<File, Vec<Problem>> {
    let raw: RawFile = toml::from_str(text).map_err(|error| {
        vec![Problem {
            message: error.message().into(),
            span: error.span().unwrap_or(0..text.len()),
        }]
    })?;
    let mut checker = Checker::default();
    let file = checker.file(&raw);
    if checker.problems.is_empty() {
        Ok(file)
    } else {
        checker.problems.sort_by_key(|problem| problem.span.start);
        Err(checker.problems)
    }
}

/// Collects problems while converting the file. An entry that cannot be converted is left out or
/// gets a default value, so that validation continues and finds further problems.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
    leaf_addresses: BTreeSet<SocketAddr>,
}

impl Checker {
    fn report(&mut self, span: Range<usize>, message: impl Into<String>) {
        let message: String = message.into();
        let message = message.into_boxed_str();
        self.problems.push(Problem { message, span });
    }

    fn file(&mut self, raw: &RawFile) -> File {
        let objective = match raw.objective.get_ref().as_str() {
            "coverage" => Objective::Coverage,
            "worth" => Objective::Worth,
            other => {
                let message = format!("objective is {other:?}: use \"coverage\" or \"worth\"");
                self.report(raw.objective.span(), message);
                Objective::Coverage
            }
        };
        let failure_domains = self.failure_domains(&raw.failure_domains);
        let tenants = self.tenants(&raw.tenants);
        let mut services = BTreeMap::new();
        for raw_service in &raw.services {
            let service = self.service(raw_service, &failure_domains, &tenants);
            self.insert(&mut services, &raw_service.name, service);
        }
        let mut rollouts = BTreeMap::new();
        for raw_rollout in &raw.rollouts {
            if let Some(rollout) = self.rollout(raw_rollout, &services) {
                self.insert::<RolloutId, _>(&mut rollouts, &raw_rollout.id, rollout);
            }
        }
        if raw.system.get_ref().is_empty() {
            self.report(raw.system.span(), "system must not be empty");
        }
        File {
            system: raw.system.get_ref().as_str().into(),
            objective,
            failure_domains,
            tenants,
            services,
            rollouts,
        }
    }

    /// Parses a name, or reports why it is invalid.
    fn name<T>(&mut self, raw: &Spanned<String>) -> Option<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        match raw.get_ref().parse() {
            Ok(name) => Some(name),
            Err(error) => {
                self.report(raw.span(), error.to_string());
                None
            }
        }
    }

    fn insert<K, V>(&mut self, map: &mut BTreeMap<K, V>, raw_key: &Spanned<String>, value: V)
    where
        K: FromStr + Ord,
        K::Err: std::fmt::Display,
    {
        let Some(key) = self.name::<K>(raw_key) else {
            return;
        };
        if map.insert(key, value).is_some() {
            let message = format!("{:?} stands twice", raw_key.get_ref());
            self.report(raw_key.span(), message);
        }
    }

    fn duration(&mut self, raw: &Spanned<String>) -> Duration {
        humantime::parse_duration(raw.get_ref()).unwrap_or_else(|_| {
            let message = format!(
                "{:?} is not a duration: write for instance \"120ms\" or \"2s\"",
                raw.get_ref()
            );
            self.report(raw.span(), message);
            Duration::ZERO
        })
    }

    fn optional_duration(&mut self, raw: Option<&Spanned<String>>, default: Duration) -> Duration {
        raw.map_or(default, |raw| self.duration(raw))
    }

    fn positive(&mut self, raw: &Spanned<u32>, what: &str) -> u32 {
        if *raw.get_ref() == 0 {
            self.report(raw.span(), format!("{what} must be at least 1"));
        }
        *raw.get_ref()
    }

    fn failure_domains(&mut self, raw: &[RawDomain]) -> BTreeMap<FailureDomain, DomainState> {
        let mut failure_domains = BTreeMap::new();
        for domain in raw {
            let state = if domain.in_service {
                DomainState::InService
            } else {
                DomainState::OutOfService
            };
            self.insert(&mut failure_domains, &domain.name, state);
        }
        let any_in_service = failure_domains
            .values()
            .any(|state| *state == DomainState::InService);
        if let Some(first) = raw.first()
            && !any_in_service
        {
            self.report(first.name.span(), "no failure domain is in service");
        }
        failure_domains
    }

    fn tenants(&mut self, raw: &[RawTenant]) -> BTreeMap<Tenant, TenantPolicy> {
        let mut tenants = BTreeMap::new();
        for tenant in raw {
            let weight = tenant.weight.as_ref().map_or(1.0, |weight| {
                if !weight.get_ref().is_finite() || *weight.get_ref() <= 0.0 {
                    self.report(weight.span(), "weight must be above 0");
                }
                *weight.get_ref()
            });
            self.insert(&mut tenants, &tenant.name, TenantPolicy { weight });
        }
        tenants
    }

    fn service(
        &mut self,
        raw: &RawService,
        failure_domains: &BTreeMap<FailureDomain, DomainState>,
        tenants: &BTreeMap<Tenant, TenantPolicy>,
    ) -> Service {
        let shards = self.positive(&raw.shards, "shards");
        if shards > MAX_SHARDS {
            let message = format!("shards must be at most {MAX_SHARDS}");
            self.report(raw.shards.span(), message);
        }
        let mut versions = BTreeMap::new();
        for raw_version in &raw.versions {
            let leafs = raw_version.leafs.iter();
            let leafs = leafs
                .filter_map(|leaf| self.leaf(leaf, shards, failure_domains))
                .collect();
            self.insert(&mut versions, &raw_version.name, leafs);
        }
        let serving = self
            .name(&raw.serving)
            .unwrap_or_else(|| placeholder_name("invalid"));
        if !versions.contains_key(&serving) {
            let message = format!("serving names the version {serving}, which is not listed");
            self.report(raw.serving.span(), message);
        }
        let deadline = self.duration(&raw.deadline);
        if deadline.is_zero() {
            self.report(raw.deadline.span(), "deadline must be above 0");
        }
        let cold_start = self.cold_start(&raw.cold_start, raw);
        Service {
            tenants: self.service_tenants(&raw.tenants, tenants),
            deadline,
            partial: self.partial(&raw.partial, deadline),
            hedging: raw.hedging,
            canary: raw.canary,
            worth: self.worth(raw.worth.as_ref()),
            slots: Slots(self.positive(&raw.slots, "slots")),
            connections: Connections(self.connections(&raw.connections)),
            connect_cost: self.optional_duration(raw.connect_cost.as_ref(), Duration::ZERO),
            cold_start,
            partition: PartitionId(raw.partition),
            shards,
            serving,
            versions,
        }
    }

    fn connections(&mut self, raw: &Spanned<u32>) -> u32 {
        // An owner uses half of the connections, so that its successor can connect while the owner
        // still holds them.
        if *raw.get_ref() < 2 {
            self.report(raw.span(), "connections must be at least 2");
        }
        *raw.get_ref()
    }

    fn worth(&mut self, raw: Option<&Spanned<f64>>) -> Worth {
        raw.map_or_else(Worth::default, |worth| {
            if !worth.get_ref().is_finite() || *worth.get_ref() < 0.0 {
                self.report(worth.span(), "worth must be 0 or above");
            }
            Worth(*worth.get_ref())
        })
    }

    fn service_tenants(
        &mut self,
        raw: &[Spanned<String>],
        tenants: &BTreeMap<Tenant, TenantPolicy>,
    ) -> Vec<Tenant> {
        let mut permitted = Vec::new();
        for name in raw {
            let Some(tenant) = self.name::<Tenant>(name) else {
                continue;
            };
            if !tenants.contains_key(&tenant) {
                self.report(name.span(), format!("tenant {tenant} is not listed"));
            }
            permitted.push(tenant);
        }
        permitted
    }

    fn partial(&mut self, raw: &RawPartial, deadline: Duration) -> PartialPolicy {
        let minimum = raw.minimum.as_ref().map_or(0.0, |minimum| {
            if !(0.0..=1.0).contains(minimum.get_ref()) {
                self.report(minimum.span(), "minimum must lie between 0 and 1");
            }
            *minimum.get_ref()
        });
        let patience = self.optional_duration(raw.patience.as_ref(), deadline);
        PartialPolicy { minimum, patience }
    }

    fn cold_start(&mut self, raw: &RawColdStart, service: &RawService) -> ColdStart {
        let concurrency = raw.concurrency.as_ref().map_or(1, |concurrency| {
            if concurrency.get_ref() > service.slots.get_ref() {
                self.report(concurrency.span(), "concurrency must not exceed slots");
            }
            self.positive(concurrency, "concurrency")
        });
        ColdStart {
            concurrency: Slots(concurrency),
            duration: self.optional_duration(raw.duration.as_ref(), Duration::from_secs(2)),
            answers: raw.answers.unwrap_or(20),
        }
    }

    fn leaf(
        &mut self,
        raw: &RawLeaf,
        shards: u32,
        failure_domains: &BTreeMap<FailureDomain, DomainState>,
    ) -> Option<Leaf> {
        let shard = *raw.shard.get_ref();
        if shard >= shards {
            let message = format!("shard {shard} is out of range: the service has {shards} shards");
            self.report(raw.shard.span(), message);
        }
        let failure_domain = self.name::<FailureDomain>(&raw.failure_domain)?;
        if !failure_domains.contains_key(&failure_domain) {
            let message = format!("failure domain {failure_domain} is not listed");
            self.report(raw.failure_domain.span(), message);
        }
        let Ok(address) = raw.address.get_ref().parse::<SocketAddr>() else {
            let message = format!(
                "{:?} is not an address: write for instance \"10.0.0.7:7001\"",
                raw.address.get_ref()
            );
            self.report(raw.address.span(), message);
            return None;
        };
        if !self.leaf_addresses.insert(address) {
            let message = format!("the address {address} stands twice");
            self.report(raw.address.span(), message);
        }
        Some(Leaf {
            id: LeafId(address),
            shard: ShardId(shard),
            failure_domain,
            leaving: raw.leaving,
        })
    }

    fn rollout(
        &mut self,
        raw: &RawRollout,
        services: &BTreeMap<ServiceName, Service>,
    ) -> Option<Rollout> {
        let from = self.name::<VersionName>(&raw.from)?;
        let to = self.name::<VersionName>(&raw.to)?;
        if from == to {
            self.report(raw.to.span(), "a rollout needs two different versions");
        }
        let mut names = Vec::new();
        for raw_name in &raw.services {
            let name = self.name::<ServiceName>(raw_name)?;
            self.rollout_service(raw_name, services.get(&name), &from, &to);
            names.push(name);
        }
        if names.is_empty() {
            self.report(raw.id.span(), "a rollout needs at least one service");
        }
        Some(Rollout {
            services: names,
            from,
            to,
            deadline: self.deadline(&raw.deadline),
        })
    }

    fn rollout_service(
        &mut self,
        raw: &Spanned<String>,
        service: Option<&Service>,
        from: &VersionName,
        to: &VersionName,
    ) {
        let Some(service) = service else {
            let message = format!("service {} is not listed", raw.get_ref());
            self.report(raw.span(), message);
            return;
        };
        for version in [from, to] {
            if !service.versions.contains_key(version) {
                let message = format!("service {} has no version {version}", raw.get_ref());
                self.report(raw.span(), message);
            }
        }
    }

    fn deadline(&mut self, raw: &Spanned<String>) -> SystemTime {
        humantime::parse_rfc3339(raw.get_ref()).unwrap_or_else(|_| {
            let message = format!(
                "{:?} is not a time: write for instance \"2026-12-04T12:00:00Z\"",
                raw.get_ref()
            );
            self.report(raw.span(), message);
            SystemTime::UNIX_EPOCH
        })
    }
}

/// Returns a placeholder with which validation continues. It is never used, because the file is
/// rejected.
fn placeholder_name(text: &str) -> VersionName {
    match text.parse() {
        Ok(name) => name,
        Err(_) => unreachable!("a constant name is valid"),
    }
}
