//! State shared by all queries to one version of a service: replica statistics, hedge delay, budget
//! of extra calls and calls in flight.

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

/// Calls in flight per version for which memory is allocated in advance.
const INITIAL_CALL_CAPACITY: usize = 1024;

/// Identifies a version of a service.
pub type VersionKey = (ServiceName, VersionName);

/// The state shared by the queries of this instance to one version of a service.
pub struct VersionState {
    leafs: Vec<Leaf>,
    replicas: Table,
    hedge: Delay,
    budget: Budget,
    calls: Calls,
    rng: ChaCha8Rng,
    next_query: u64,
}

impl VersionState {
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
            calls: Calls::with_capacity(INITIAL_CALL_CAPACITY),
            rng: ChaCha8Rng::seed_from_u64(rand::random()),
            next_query: 0,
        }
    }

    /// Returns the shared state in the form that a query's state machine takes.
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

    /// Returns the statistics of the leafs and the snapshots that they hold.
    pub fn replicas(&self) -> &Table {
        &self.replicas
    }

    /// Returns the id of a new query, unique among the queries that share this state.
    pub fn next_query(&mut self) -> QueryId {
        self.next_query += 1;
        QueryId(self.next_query)
    }

    /// Returns the id of the leaf at a position of the file's list; `None` beyond its end.
    pub fn leaf(&self, index: LeafIndex) -> Option<LeafId> {
        self.leafs.get(index.0 as usize).map(|leaf| leaf.id)
    }

    /// Returns the number of leafs that are not excluded from calls.
    pub fn usable(&self) -> u32 {
        let indices = 0..u32::try_from(self.leafs.len()).unwrap_or(u32::MAX);
        let usable = indices.filter(|index| self.replicas.is_usable(LeafIndex(*index)));
        u32::try_from(usable.count()).unwrap_or(u32::MAX)
    }

    /// Updates the exclusions and held snapshots of the leafs from a view of the control thread.
    fn update(&mut self, view: &View, file: &File, now: Instant) {
        for (index, leaf) in self.leafs.iter().enumerate() {
            let index = LeafIndex(u32::try_from(index).unwrap_or(u32::MAX));
            let out_of_service = !file.in_service(&leaf.failure_domain);
            let assignment = view.ownership.leaf(leaf.id);
            let unowned = match assignment {
                None => true,
                _ if Baseline::EveryInstanceConnects.is_chosen() => false,
                Some(owned) if owned.owner == view.instance => !view.ownership.ready(leaf.id, now),
                Some(_) => false,
            };
            let table = &mut self.replicas;
            table.set_excluded(index, Exclusion::OutOfService, out_of_service);
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

/// The shared states of all versions in the file in force.
#[derive(Default)]
pub struct VersionStates {
    states: RwLock<HashMap<VersionKey, Arc<Mutex<VersionState>>>>,
}

impl VersionStates {
    /// Returns the shared state of a version; `None` if the file in force does not list it.
    pub fn get(
        &self,
        service: &ServiceName,
        version: &VersionName,
    ) -> Option<Arc<Mutex<VersionState>>> {
        let states = self.states.read().unwrap_or_else(PoisonError::into_inner);
        states.get(&(service.clone(), version.clone())).cloned()
    }

    /// Applies a view of the control thread. A version whose leafs and number of shards have not
    /// changed keeps its statistics.
    pub fn update(&self, view: &View) {
        let Some(file) = &view.file else { return };
        let now = SystemClock.now();
        let old = self
            .states
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let mut states = HashMap::new();
        for (name, service) in &file.services {
            for (version, leafs) in &service.versions {
                let key = (name.clone(), version.clone());
                let kept = old.get(&key).filter(|state| {
                    let state = lock(state);
                    state.replicas.shards() == service.shards as usize
                        && same_placement(&state.leafs, leafs)
                });
                let state = kept.cloned().unwrap_or_else(|| {
                    let state = VersionState::new(service.shards, leafs.clone(), now);
                    Arc::new(Mutex::new(state))
                });
                let mut locked = lock(&state);
                locked.leafs.clone_from(leafs);
                locked.update(view, file, now);
                drop(locked);
                states.insert(key, state);
            }
        }
        *self.states.write().unwrap_or_else(PoisonError::into_inner) = states;
    }
}

/// Returns whether the leafs have the same addresses and shards, in the same order.
fn same_placement(old: &[Leaf], new: &[Leaf]) -> bool {
    let placement = |leaf: &Leaf| (leaf.id, leaf.shard);
    old.iter().map(placement).eq(new.iter().map(placement))
}

/// Locks a shared state. The lock is held for one decision or update only, never across an await.
pub fn lock(state: &Mutex<VersionState>) -> MutexGuard<'_, VersionState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
