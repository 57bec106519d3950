//! The file as parsed from TOML, before validation. Spans locate problems in the text.

use serde::Deserialize;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawFile {
    pub(super) system: Spanned<String>,
    pub(super) objective: Spanned<String>,
    #[serde(default, rename = "failure_domain")]
    pub(super) failure_domains: Vec<RawDomain>,
    #[serde(default, rename = "tenant")]
    pub(super) tenants: Vec<RawTenant>,
    #[serde(default, rename = "service")]
    pub(super) services: Vec<RawService>,
    #[serde(default, rename = "rollout")]
    pub(super) rollouts: Vec<RawRollout>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawDomain {
    pub(super) name: Spanned<String>,
    #[serde(default = "yes")]
    pub(super) in_service: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTenant {
    pub(super) name: Spanned<String>,
    pub(super) weight: Option<Spanned<f64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawService {
    pub(super) name: Spanned<String>,
    #[serde(default)]
    pub(super) tenants: Vec<Spanned<String>>,
    pub(super) deadline: Spanned<String>,
    #[serde(default)]
    pub(super) partial: RawPartial,
    #[serde(default = "yes")]
    pub(super) hedging: bool,
    #[serde(default = "yes")]
    pub(super) canary: bool,
    pub(super) worth: Option<Spanned<f64>>,
    pub(super) slots: Spanned<u32>,
    pub(super) connections: Spanned<u32>,
    pub(super) connect_cost: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) cold_start: RawColdStart,
    #[serde(default)]
    pub(super) partition: u64,
    pub(super) shards: Spanned<u32>,
    pub(super) serving: Spanned<String>,
    #[serde(default, rename = "version")]
    pub(super) versions: Vec<RawVersion>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawPartial {
    pub(super) minimum: Option<Spanned<f64>>,
    pub(super) patience: Option<Spanned<String>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawColdStart {
    pub(super) concurrency: Option<Spanned<u32>>,
    pub(super) duration: Option<Spanned<String>>,
    pub(super) answers: Option<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawVersion {
    pub(super) name: Spanned<String>,
    #[serde(default)]
    pub(super) leafs: Vec<RawLeaf>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawLeaf {
    pub(super) address: Spanned<String>,
    pub(super) shard: Spanned<u32>,
    pub(super) failure_domain: Spanned<String>,
    #[serde(default)]
    pub(super) leaving: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawRollout {
    pub(super) id: Spanned<String>,
    pub(super) services: Vec<Spanned<String>>,
    pub(super) from: Spanned<String>,
    pub(super) to: Spanned<String>,
    pub(super) deadline: Spanned<String>,
}

fn yes() -> bool {
    true
}
