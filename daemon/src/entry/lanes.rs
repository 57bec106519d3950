//! What queries to the same version of a service share: replica statistics, hedge delay, budget
//! and calls in flight.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Instant;

use camphorhold::coordination::budget::Budget;
use camphorhold::coordination::correlation::Calls;
use camphorhold::coordination::correlation::QueryId;
use camphorhold::coordination::hedge::Delay;
use camphorhold::coordination::query::Context;
use camphorhold::coordination::replica::Exclusion;
use camphorhold::coordination::replica::LeafIndex;
use camphorhold::coordination::replica::Policy;
use camphorhold::coordination::replica::Table;
use camphorhold::state::file::File;
use camphorhold::state::file::Leaf;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::ServiceName;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::VersionName;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::view::View;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::baseline::Baseline;

/// Calls in flight that a lane has room for without growing.
const EXPECTED_CALLS: usize = 1024;

/// A version of a service.
pub type Key = (ServiceName, VersionName);

/// What queries to one version of a service share.
pub struct Lane {
    leafs: Vec<Leaf>,
    replicas: Table,
    hedge: Delay,
    budget: Budget,
    calls: Calls,
    rng: ChaCha8Rng,
    next_query: u64,
}

impl Lane {
    fn new(shards: u32, leafs: Vec<Leaf>, now: Instant) -> Self {
        let leaf_shards: Vec<ShardId> = leafs.iter().map(|leaf| leaf.shard).collect();
        let policy = if Baseline::RandomReplica.is_chosen() {
            Policy::Random
        } else {
            Policy::default()
        };
        Self {
            replicas: Table::new(shards, &leaf_shards, now).with_policy(policy),
            leafs,
            hedge: Delay::new(now),
            budget: Budget::new(now),
            calls: Calls::with_capacity(EXPECTED_CALLS),
            rng: ChaCha8Rng::seed_from_u64(rand::random()),
            next_query: 0,
        }
    }

    /// Returns the parts that a query's decisions need.
    pub fn context(&mut self, now: Instant) -> Context<'_> {
        Context {
            now,
            replicas: &mut self.replicas,
            hedge: &mut self.hedge,
            budget: &mut self.budget,
            calls: &mut self.calls,
            rng: &mut self.rng,
        }
    }

    /// Returns the replicas.
    pub fn replicas(&self) -> &Table {
        &self.replicas
    }

    /// Returns an id for a new query.
    pub fn next_query(&mut self) -> QueryId {
        self.next_query += 1;
        QueryId(self.next_query)
    }

    /// Returns the address of a leaf.
    pub fn leaf(&self, index: LeafIndex) -> Option<LeafId> {
        self.leafs.get(index.0 as usize).map(|leaf| leaf.id)
    }

    /// Counts the leafs that may receive work.
    pub fn usable(&self) -> u32 {
        let indices = 0..u32::try_from(self.leafs.len()).unwrap_or(u32::MAX);
        let usable = indices.filter(|index| self.replicas.is_usable(LeafIndex(*index)));
        u32::try_from(usable.count()).unwrap_or(u32::MAX)
    }

    /// Takes over what the control thread knows about the leafs.
    fn update(&mut self, view: &View, file: &File, now: Instant) {
        for (index, leaf) in self.leafs.iter().enumerate() {
            let index = LeafIndex(u32::try_from(index).unwrap_or(u32::MAX));
            let out = !file.in_service(&leaf.failure_domain);
            let owner = view.ownership.leaf(leaf.id);
            let unowned = match owner {
                None => true,
                _ if Baseline::EveryInstanceConnects.is_chosen() => false,
                Some(owner) if owner.owner == view.instance => !view.ownership.ready(leaf.id, now),
                Some(_) => false,
            };
            let table = &mut self.replicas;
            table.set_excluded(index, Exclusion::OutOfService, out);
            table.set_excluded(index, Exclusion::Leaving, leaf.leaving);
            table.set_excluded(
                index,
                Exclusion::Draining,
                view.draining_leafs.contains(&leaf.id),
            );
            table.set_excluded(index, Exclusion::Unowned, unowned);
            if let Some(status) = view.leaf_statuses.get(&leaf.id) {
                table.set_held(index, status.partition, &status.holds);
            }
        }
    }
}

/// All lanes of the file in force.
#[derive(Default)]
pub struct Lanes {
    lanes: RwLock<HashMap<Key, Arc<Mutex<Lane>>>>,
}

impl Lanes {
    /// Returns the lane of a version of a service.
    pub fn get(&self, service: &ServiceName, version: &VersionName) -> Option<Arc<Mutex<Lane>>> {
        let lanes = self.lanes.read().unwrap_or_else(PoisonError::into_inner);
        lanes.get(&(service.clone(), version.clone())).cloned()
    }

    /// Takes over what the control thread knows. Lanes whose leafs have not changed keep their
    /// statistics.
    pub fn update(&self, view: &View) {
        let Some(file) = &view.file else { return };
        let now = SystemClock.now();
        let old = self
            .lanes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let mut lanes = HashMap::new();
        for (name, service) in &file.services {
            for (version, leafs) in &service.versions {
                let key = (name.clone(), version.clone());
                let kept = old.get(&key).filter(|lane| {
                    let lane = lock(lane);
                    lane.replicas.shards() == service.shards as usize && same(&lane.leafs, leafs)
                });
                let lane = kept.cloned().unwrap_or_else(|| {
                    let lane = Lane::new(service.shards, leafs.clone(), now);
                    Arc::new(Mutex::new(lane))
                });
                let mut locked = lock(&lane);
                locked.leafs.clone_from(leafs);
                locked.update(view, file, now);
                drop(locked);
                lanes.insert(key, lane);
            }
        }
        *self.lanes.write().unwrap_or_else(PoisonError::into_inner) = lanes;
    }
}

/// Tells whether the leafs have the same addresses and shards, in the same order.
fn same(old: &[Leaf], new: &[Leaf]) -> bool {
    let place = |leaf: &Leaf| (leaf.id, leaf.shard);
    old.iter().map(place).eq(new.iter().map(place))
}

/// Locks a lane. Held only for the time of one decision.
pub fn lock(lane: &Mutex<Lane>) -> MutexGuard<'_, Lane> {
    lane.lock().unwrap_or_else(PoisonError::into_inner)
}
