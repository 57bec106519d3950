//! Prepares the deployment file of a run, with leafs on ports that are free on this machine.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use camphorhold::state::file;
use camphorhold::state::id::FailureDomain;
use clap::ValueEnum;
use toml_edit::DocumentMut;
use toml_edit::value;

use crate::error::Error;

/// The range of the ports for listeners, below the ephemeral ports that Linux assigns to clients.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;

/// Each run starts its search for free ports in one of the blocks of this size, so that concurrent
/// runs rarely compete for the same ports.
const PORTS_PER_RUN: u16 = 600;
const PORT_BLOCKS: u16 = 36;

/// One of the two shipped deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Deployment {
    /// The deployment with the coverage objective.
    Almisse,
    /// The deployment with the worth objective.
    Sarro,
}

/// A service that receives load, as read from the deployment file.
#[derive(Clone, Debug)]
pub struct Service {
    /// The name in the file.
    pub name: String,
    /// The number of shards.
    pub shards: u32,
    /// The tenants that may call it.
    pub tenants: Vec<String>,
    /// The time from the start of a request after which its answer is useless.
    pub deadline: Duration,
    /// The worth of a complete answer in time.
    pub worth: f64,
    /// The total number of slots of the leafs of all versions.
    pub slots: u32,
    /// The addresses of the leafs of all versions, by shard.
    pub leafs: BTreeMap<u32, Vec<SocketAddr>>,
}

/// The deployment file of a run, which experiments edit and apply again.
#[derive(Clone, Debug)]
pub struct File {
    document: DocumentMut,
}

impl Deployment {
    /// Returns the name of the deployment, as used on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Almisse => "almisse",
            Self::Sarro => "sarro",
        }
    }

    /// Returns the name of the service with many small shards that most experiments call.
    pub fn search_service(self) -> &'static str {
        match self {
            Self::Almisse => "round-app",
            Self::Sarro => "reminder-console",
        }
    }

    /// Returns the name of the service that accepts non-idempotent requests.
    pub fn once_service(self) -> &'static str {
        match self {
            Self::Almisse => "gift-ledger",
            Self::Sarro => "reminder-console",
        }
    }

    fn text(self) -> &'static str {
        match self {
            Self::Almisse => include_str!("../../examples/almisse.toml"),
            Self::Sarro => include_str!("../../examples/sarro.toml"),
        }
    }

    /// Returns the file of the deployment with its leafs moved to free ports.
    pub fn file(self, ports: &mut Ports) -> Result<File, Error> {
        let mut document: DocumentMut = self
            .text()
            .parse()
            .map_err(|error: toml_edit::TomlError| Error::File(error.to_string()))?;
        for leaf in leaf_tables(&mut document) {
            leaf.insert("address", loopback(ports.take(1)?).to_string().into());
        }
        Ok(File { document })
    }
}

impl File {
    /// Parses the text as TOML, without checking that it is a valid deployment file.
    pub fn from_text(text: &str) -> Result<Self, Error> {
        let document: Result<DocumentMut, _> = text.parse();
        let document = document.map_err(|error| Error::File(error.to_string()))?;
        Ok(Self { document })
    }

    /// Returns the text of the file.
    pub fn text(&self) -> String {
        self.document.to_string()
    }

    /// Parses and validates the file as an instance does.
    pub fn parsed(&self) -> Result<file::File, Error> {
        file::File::parse(&self.text()).map_err(|problems| {
            let messages: Vec<&str> = problems.iter().map(|problem| &*problem.message).collect();
            Error::File(messages.join("; "))
        })
    }

    /// Returns the service with a name. Fails if the file does not list it.
    pub fn service(&self, name: &str) -> Result<Service, Error> {
        let parsed = self.parsed()?;
        let found = parsed.services.iter().find(|(key, _)| key.as_str() == name);
        let (_, service) = found.ok_or_else(|| Error::File(format!("no service {name}")))?;
        let permitted = |tenant: &&camphorhold::state::id::Tenant| {
            service.tenants.is_empty() || service.tenants.contains(*tenant)
        };
        let tenants = parsed.tenants.keys().filter(permitted);
        let tenants = tenants.map(ToString::to_string).collect();
        let mut leafs: BTreeMap<u32, Vec<SocketAddr>> = BTreeMap::new();
        for leaf in service.versions.values().flatten() {
            leafs.entry(leaf.shard.0).or_default().push(leaf.id.0);
        }
        let count: usize = leafs.values().map(Vec::len).sum();
        Ok(Service {
            name: name.to_owned(),
            shards: service.shards,
            tenants,
            deadline: service.deadline,
            worth: service.worth.0,
            slots: service.slots.0 * u32::try_from(count).unwrap_or(u32::MAX),
            leafs,
        })
    }

    /// Returns all failure domains, in ascending order of their names.
    pub fn domains(&self) -> Result<Vec<FailureDomain>, Error> {
        let parsed = self.parsed()?;
        Ok(parsed.failure_domains.keys().cloned().collect())
    }

    /// Returns the addresses of a service's leafs in a failure domain.
    pub fn leafs_in(
        &self,
        service: &str,
        domain: &FailureDomain,
    ) -> Result<Vec<SocketAddr>, Error> {
        let parsed = self.parsed()?;
        let leafs = parsed.leafs();
        let leafs = leafs
            .filter(|(name, _, leaf)| name.as_str() == service && leaf.failure_domain == *domain);
        Ok(leafs.map(|(_, _, leaf)| leaf.id.0).collect())
    }

    /// Takes a failure domain out of service or brings it back.
    pub fn set_in_service(&mut self, domain: &FailureDomain, in_service: bool) {
        let tables = self.document.get_mut("failure_domain");
        let tables = tables.and_then(toml_edit::Item::as_array_of_tables_mut);
        for table in tables.into_iter().flat_map(|tables| tables.iter_mut()) {
            let name = table.get("name").and_then(toml_edit::Item::as_str);
            if name == Some(domain.as_str()) {
                table.insert("in_service", value(in_service));
            }
        }
    }

    /// Marks the leaf with an address as leaving.
    pub fn set_leaving(&mut self, address: SocketAddr) {
        for leaf in leaf_tables(&mut self.document) {
            let listed = leaf.get("address").and_then(toml_edit::Value::as_str);
            if listed == Some(address.to_string().as_str()) {
                leaf.insert("leaving", true.into());
            }
        }
    }

    /// Sets the weight of the first tenant, a change that does not affect leafs.
    pub fn set_weight(&mut self, weight: f64) {
        let tables = self.document.get_mut("tenant");
        let tables = tables.and_then(toml_edit::Item::as_array_of_tables_mut);
        if let Some(table) = tables.and_then(|tables| tables.get_mut(0)) {
            table.insert("weight", value(weight));
        }
    }
}

/// Returns the IPv4 loopback address with a port.
pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Allocates loopback ports that have no listener. The ports are not reserved: another process can
/// take them before they are used.
pub struct Ports {
    next: u16,
    remaining: u16,
}

impl Ports {
    /// Starts the search at a port that depends on the id of this process.
    pub fn new() -> Self {
        let block = std::process::id() % u32::from(PORT_BLOCKS);
        let block = u16::try_from(block).unwrap_or_default();
        Self {
            next: FIRST_PORT + block * PORTS_PER_RUN,
            remaining: LAST_PORT - FIRST_PORT,
        }
    }

    /// Returns the first of `count` consecutive free ports. Fails once it has searched the whole
    /// range.
    pub fn take(&mut self, count: u16) -> Result<u16, Error> {
        while self.remaining > 0 {
            if self.next > LAST_PORT - count {
                self.next = FIRST_PORT;
            }
            let first = self.next;
            let ports = first..first + count;
            let taken = ports
                .into_iter()
                .find(|port| TcpListener::bind(loopback(*port)).is_err());
            self.next = taken.map_or(first + count, |taken| taken + 1);
            self.remaining = self.remaining.saturating_sub(self.next - first);
            if taken.is_none() {
                return Ok(first);
            }
        }
        Err(Error::NoPorts(count))
    }
}

fn leaf_tables(document: &mut DocumentMut) -> Vec<&mut toml_edit::InlineTable> {
    let services = document.get_mut("service");
    let services = services.and_then(toml_edit::Item::as_array_of_tables_mut);
    let services = services.into_iter().flat_map(|tables| tables.iter_mut());
    let versions = services.filter_map(|service| {
        let versions = service.get_mut("version")?;
        versions.as_array_of_tables_mut()
    });
    let versions = versions.flat_map(|tables| tables.iter_mut());
    let leafs = versions.filter_map(|version| version.get_mut("leafs")?.as_array_mut());
    let leafs = leafs.flat_map(|array| array.iter_mut());
    leafs
        .filter_map(toml_edit::Value::as_inline_table_mut)
        .collect()
}
