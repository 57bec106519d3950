//! The differences between two files, as shown to operators.

use std::collections::BTreeMap;
use std::fmt;

use super::File;

/// One difference between an old and a new file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The path of the value, for instance `service.round-app.slots`.
    pub path: Box<str>,
    /// The old value; `None` if the value was added.
    pub old: Option<Box<str>>,
    /// The new value; `None` if the value was removed.
    pub new: Option<Box<str>>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let old = self.old.as_deref().unwrap_or("-");
        let new = self.new.as_deref().unwrap_or("-");
        write!(f, "{}: {old} -> {new}", self.path)
    }
}

/// Returns all values that differ between two files, sorted by path.
#[must_use]
pub fn difference(old: &File, new: &File) -> Vec<Change> {
    let old = flatten(old);
    let new = flatten(new);
    let mut paths: Vec<&String> = old.keys().chain(new.keys()).collect();
    paths.sort_unstable();
    paths.dedup();
    paths
        .into_iter()
        .filter(|path| old.get(*path) != new.get(*path))
        .map(|path| Change {
            path: path.as_str().into(),
            old: old.get(path).map(|value| value.as_str().into()),
            new: new.get(path).map(|value| value.as_str().into()),
        })
        .collect()
}

/// Returns the values of a file as text, by path.
fn flatten(file: &File) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    let mut put = |path: String, value: String| values.insert(path, value);
    put("system".into(), file.system.to_string());
    put("objective".into(), format!("{:?}", file.objective));
    for (name, state) in &file.failure_domains {
        put(format!("failure_domain.{name}"), format!("{state:?}"));
    }
    for (name, tenant) in &file.tenants {
        put(format!("tenant.{name}.weight"), tenant.weight.to_string());
    }
    for (name, service) in &file.services {
        let path = |field: &str| format!("service.{name}.{field}");
        put(path("tenants"), format!("{:?}", service.tenants));
        put(path("deadline"), format!("{:?}", service.deadline));
        put(path("partial"), format!("{:?}", service.partial));
        put(path("hedging"), service.hedging.to_string());
        put(path("canary"), service.canary.to_string());
        put(path("worth"), service.worth.to_string());
        put(path("slots"), service.slots.to_string());
        put(path("connections"), service.connections.to_string());
        put(path("connect_cost"), format!("{:?}", service.connect_cost));
        put(path("cold_start"), format!("{:?}", service.cold_start));
        put(path("partition"), service.partition.to_string());
        put(path("shards"), service.shards.to_string());
        put(path("serving"), service.serving.to_string());
    }
    for (service, version, leaf) in file.leafs() {
        let state = if leaf.leaving {
            "leaving"
        } else {
            "in service"
        };
        put(
            format!("service.{service}.version.{version}.leaf.{}", leaf.id),
            format!("shard {} in {}, {state}", leaf.shard, leaf.failure_domain),
        );
    }
    for (id, rollout) in &file.rollouts {
        let deadline = humantime::format_rfc3339_seconds(rollout.deadline);
        put(
            format!("rollout.{id}"),
            format!(
                "{:?} from {} to {} by {deadline}",
                rollout.services, rollout.from, rollout.to
            ),
        );
    }
    values
}
