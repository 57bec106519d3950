//! Reads the leafs and their sizes from an operators' file. Fields that a backend server does not
//! need are ignored.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use super::LeafConfig;
use super::model::ColdStart;
use super::model::Model;

/// Why an operators' file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The path as given to [`read`].
        path: PathBuf,
        /// The reason given by the operating system.
        source: std::io::Error,
    },
    /// The file does not have the expected form.
    #[error("cannot parse {}: {source}", path.display())]
    Parse {
        /// The path as given to [`read`].
        path: PathBuf,
        /// The parser's message, with the position in the file.
        source: Box<toml::de::Error>,
    },
}

#[derive(Deserialize)]
struct File {
    #[serde(default, rename = "service")]
    services: Vec<Service>,
}

#[derive(Deserialize)]
struct Service {
    name: String,
    slots: u32,
    connections: u32,
    #[serde(default)]
    connect_cost: DurationText,
    #[serde(default)]
    cold_start: Cold,
    #[serde(default)]
    partition: u64,
    #[serde(default, rename = "version")]
    versions: Vec<Version>,
}

#[derive(Default, Deserialize)]
struct Cold {
    concurrency: Option<u32>,
    duration: Option<DurationText>,
    answers: Option<u32>,
}

#[derive(Deserialize)]
struct Version {
    name: String,
    #[serde(default)]
    leafs: Vec<Leaf>,
}

#[derive(Deserialize)]
struct Leaf {
    address: SocketAddr,
    shard: u32,
}

/// A duration written as text with a unit, for instance `20ms`.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(try_from = "String")]
struct DurationText(Duration);

impl TryFrom<String> for DurationText {
    type Error = humantime::DurationError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        humantime::parse_duration(&text).map(Self)
    }
}

/// Reads the leafs of all services and versions of a file. Values that the file does not set are
/// taken from `model`, except the connect cost and the partition map, which default to 0.
///
/// # Errors
///
/// Returns an error when the file cannot be read or does not have the expected form.
pub fn read(path: &Path, model: &Model) -> Result<Vec<(LeafConfig, Model)>, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.into(),
        source,
    })?;
    let file: File = toml::from_str(&text).map_err(|source| Error::Parse {
        path: path.into(),
        source: Box::new(source),
    })?;
    let services = file.services.into_iter();
    Ok(services.flat_map(|service| leafs(service, model)).collect())
}

fn leafs(service: Service, model: &Model) -> Vec<(LeafConfig, Model)> {
    let cold = service.cold_start;
    let model = Model {
        slots: service.slots,
        connections: service.connections,
        connect_cost: service.connect_cost.0,
        cold_start: ColdStart {
            concurrency: cold.concurrency.unwrap_or(model.cold_start.concurrency),
            duration: cold
                .duration
                .map_or(model.cold_start.duration, |duration| duration.0),
            answers: cold.answers.unwrap_or(model.cold_start.answers),
            ..model.cold_start
        },
        partition: service.partition,
        ..model.clone()
    };
    let mut all = Vec::new();
    for version in service.versions {
        for leaf in version.leafs {
            let config = LeafConfig {
                address: leaf.address,
                service: service.name.clone(),
                version: version.name.clone(),
                shard: leaf.shard,
            };
            all.push((config, model.clone()));
        }
    }
    all
}
