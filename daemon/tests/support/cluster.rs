//! Daemons with the stand-ins of the services that they use.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use camphorhold::protocol::control::ApplyAnswer;
use camphorhold::protocol::control::InstanceStatus;
use camphorhold::state::id::Revision;
use camphorhold_testutils::backend::Backend;
use camphorhold_testutils::backend::Change;
use camphorhold_testutils::backend::ColdStart;
use camphorhold_testutils::backend::Config;
use camphorhold_testutils::backend::Counters;
use camphorhold_testutils::backend::LeafConfig;
use camphorhold_testutils::backend::Model;
use camphorhold_testutils::instances::Entry;
use camphorhold_testutils::instances::List;
use camphorhold_testutils::instances::State;
use camphorhold_testutils::store::Store;
use futures::future::join_all;

use super::file;
use super::file::DOMAINS;
use super::file::LEDGER;
use super::file::LEDGER_SHARDS;
use super::file::Leaf;
use super::file::Options;
use super::file::SEARCH;
use super::file::SEARCH_SHARDS;
use super::instance::Flags;
use super::instance::Instance;
use super::query;
use super::wait_for;
use super::wait_until;

/// A loopback address whose port the operating system chooses. As the address of a service, it
/// accepts no connection.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How long the instances still serve after SIGTERM, so that the load balancer can stop sending.
pub const BALANCER_WAIT: Duration = Duration::from_secs(4);

/// The stand-ins of a key-value service, an instance list and backend servers, and the daemons that
/// use them.
pub struct Cluster {
    pub instances: Vec<Instance>,
    pub store: Store,
    pub list: List,
    pub backend: Backend,
    pub leafs: Vec<Leaf>,
    pub options: Options,
}

impl Cluster {
    /// Starts the stand-ins without any daemon.
    pub async fn empty(options: Options) -> Self {
        let (backend, leafs) = start_backend().await;
        Self {
            instances: Vec::new(),
            store: Store::start(ANY_PORT)
                .await
                .expect("the store stand-in starts"),
            list: List::start(ANY_PORT, Vec::new(), Duration::ZERO)
                .await
                .expect("the instance list stand-in starts"),
            backend,
            leafs,
            options,
        }
    }

    /// Starts the stand-ins and one daemon per failure domain, applies the operators' file, and
    /// waits until each daemon answers with full coverage.
    pub async fn start(options: Options) -> Self {
        let mut cluster = Self::empty(options).await;
        let flags: Vec<Flags> = DOMAINS.map(|name| cluster.flags(name)).into();
        cluster.instances = join_all(flags.iter().map(Instance::start)).await;
        cluster.list_all();
        cluster.wait_members(DOMAINS.len()).await;
        cluster.apply(options).await;
        for instance in &cluster.instances {
            instance.wait_ready().await;
        }
        cluster.wait_covered().await;
        cluster
    }

    pub fn flags(&self, failure_domain: &str) -> Flags {
        Flags {
            failure_domain: failure_domain.into(),
            store: self.store.address(),
            instance_list: self.list.address(),
            balancer_wait: "4s",
        }
    }

    /// Replaces the instance list by the instances that are in the cluster now.
    pub fn list_all(&self) {
        let entries = self.instances.iter().map(|instance| Entry {
            address: instance.addresses.control,
            state: State::Live,
        });
        self.list.set(entries.collect());
    }

    pub fn text(&self, options: Options) -> String {
        file::text(&self.leafs, options)
    }

    /// Applies a file through the first instance. Repeats an attempt that is refused, as an
    /// operator would.
    pub async fn apply(&self, options: Options) -> Revision {
        let text = self.text(options);
        wait_for("the file is accepted", || async {
            match self.instances[0].apply(&text).await {
                ApplyAnswer::Accepted { revision, .. } => Some(revision),
                ApplyAnswer::NotAccepted { .. } | ApplyAnswer::Conflict { .. } => None,
                other => panic!("{other:?}"),
            }
        })
        .await
    }

    /// Waits until the roster of each daemon has `count` members.
    pub async fn wait_members(&self, count: usize) {
        for instance in &self.instances {
            wait_until("the roster is complete", || async {
                let status = instance.status().await;
                status.is_some_and(|status| status.roster.len() == count)
            })
            .await;
        }
    }

    /// Waits until each instance answers both services with full coverage.
    pub async fn wait_covered(&self) {
        for instance in &self.instances {
            wait_covered(instance).await;
        }
    }

    pub async fn statuses(&self) -> Vec<InstanceStatus> {
        let statuses = join_all(self.instances.iter().map(Instance::status)).await;
        statuses
            .into_iter()
            .map(|status| status.expect("each instance returns its status"))
            .collect()
    }

    /// Waits until each instance has applied the revision.
    pub async fn wait_revision(&self, revision: Revision) {
        for instance in &self.instances {
            wait_until("the instance has applied the revision", || async {
                let status = instance.status().await;
                status.is_some_and(|status| status.revision == revision)
            })
            .await;
        }
    }

    /// Changes the behaviour of one leaf, or of all if the change names none.
    pub fn change(&self, change: &Change) {
        self.backend.change(change);
    }

    /// Returns the number of calls for queries at each leaf of the search service. The daemons'
    /// probes of the leafs' state use a route of their own and do not count.
    pub fn searches(&self) -> BTreeMap<SocketAddr, u64> {
        self.searches_at(|_| true)
    }

    /// Returns the same for the selected leafs only.
    pub fn searches_at<P>(&self, selected: P) -> BTreeMap<SocketAddr, u64>
    where
        P: Fn(&Leaf) -> bool,
    {
        let counters = self.backend.counters().into_iter().zip(&self.leafs);
        counters
            .filter(|(_, leaf)| leaf.service == SEARCH && selected(leaf))
            .map(|(counters, leaf)| {
                let calls = counters.requests.get("v1/search").copied();
                (leaf.address, calls.unwrap_or_default())
            })
            .collect()
    }

    /// Returns how often a non-idempotent request was executed, over all leafs.
    pub fn executions(&self, key: &str) -> u64 {
        let counters = self.backend.counters();
        let executions = counters
            .iter()
            .filter_map(|counters| counters.executions.get(key));
        executions.sum()
    }

    /// Checks that no cold leaf ever had more calls at the same time than its cold limit, and that
    /// each call reached the leaf to which it was addressed.
    pub fn check_backend(&self) {
        for counters in self.backend.counters() {
            let Counters {
                violations,
                misrouted,
                ..
            } = counters;
            assert_eq!((violations, misrouted), (0, 0), "{counters:?}");
        }
    }
}

/// Waits until an instance answers both services with full coverage.
pub async fn wait_covered(instance: &Instance) {
    let mut ledger = query::search("coverage");
    ledger["service"] = LEDGER.into();
    for request in [query::search("coverage"), ledger] {
        wait_until("an answer covers all shards", || async {
            match query::send(instance.addresses.caller, &request).await {
                Ok(reply) => {
                    reply.check(&request);
                    reply.full()
                }
                Err(_) => false,
            }
        })
        .await;
    }
}

async fn start_backend() -> (Backend, Vec<Leaf>) {
    let model = Model {
        slots: 4,
        queue: 8,
        cold_start: ColdStart {
            duration: Duration::from_millis(300),
            answers: 5,
            ..ColdStart::default()
        },
        ..Model::default()
    };
    let mut leafs = Vec::new();
    for (service, shards) in [(SEARCH, SEARCH_SHARDS), (LEDGER, LEDGER_SHARDS)] {
        for shard in 0..shards {
            for replica in 0..2 {
                let domain = DOMAINS[(shard as usize + replica) % DOMAINS.len()];
                leafs.push((service, shard, domain));
            }
        }
    }
    let configs = leafs.iter().map(|(service, shard, _)| {
        let config = LeafConfig {
            address: ANY_PORT,
            service: (*service).into(),
            version: "v1".into(),
            shard: *shard,
        };
        (config, model.clone())
    });
    let config = Config {
        leafs: configs.collect(),
        admin: ANY_PORT,
    };
    let backend = Backend::start(config)
        .await
        .expect("the backend stand-in starts");
    let leafs = leafs.into_iter().zip(backend.addresses());
    let leafs = leafs.map(|((service, shard, failure_domain), address)| Leaf {
        address,
        service,
        shard,
        failure_domain,
    });
    (backend, leafs.collect())
}
