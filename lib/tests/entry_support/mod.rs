//! Common fixtures for the tests of how an entry instance handles queries.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod run;

use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::budget::Budget;
use camphorhold::coordination::correlation::Calls;
use camphorhold::coordination::correlation::QueryId;
use camphorhold::coordination::hedge::Delay;
use camphorhold::coordination::merge::Part;
use camphorhold::coordination::pin::Pin;
use camphorhold::coordination::query::Context;
use camphorhold::coordination::query::OutgoingCall;
use camphorhold::coordination::query::Received;
use camphorhold::coordination::query::Request;
use camphorhold::coordination::replica::LeafIndex;
use camphorhold::coordination::replica::Table;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::SnapshotId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub const PIN: Pin = Pin {
    snapshot: SnapshotId(7),
    partition: PartitionId(1),
};

pub const DEADLINE: Duration = Duration::from_millis(120);

/// The state that all queries to one service share, and the virtual time.
pub struct Entry {
    pub now: Instant,
    pub replicas: Table,
    pub hedge: Delay,
    pub budget: Budget,
    pub calls: Calls,
    pub rng: ChaCha8Rng,
}

impl Entry {
    /// Creates `shards` × `replicas` leafs that hold the pin; leaf `l` holds shard `l % shards`.
    pub fn new(shards: u32, replicas: u32, seed: u64) -> Self {
        let now = Instant::now();
        let leaf_shards: Vec<ShardId> = (0..shards * replicas)
            .map(|leaf| ShardId(leaf % shards))
            .collect();
        let mut table = Table::new(shards, &leaf_shards, now);
        for leaf in (0..shards * replicas).map(LeafIndex) {
            table.set_held(leaf, PIN.partition, &[PIN.snapshot]);
        }
        Self {
            now,
            replicas: table,
            hedge: Delay::new(now),
            budget: Budget::new(now),
            calls: Calls::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records enough samples of `latency` for a hedge delay, and earns `extra_calls` in the
    /// budget.
    pub fn warm_up(&mut self, latency: Duration, extra_calls: u32) {
        for _ in 0..100 {
            self.hedge.record(self.now, latency);
        }
        for _ in 0..extra_calls * 20 {
            self.budget.on_primary(self.now);
        }
    }

    pub fn context(&mut self) -> Context<'_> {
        Context {
            now: self.now,
            replicas: &mut self.replicas,
            hedge: &mut self.hedge,
            budget: &mut self.budget,
            calls: &mut self.calls,
            rng: &mut self.rng,
        }
    }

    /// Returns an idempotent request to all of `scope`, without a minimum coverage, which waits for
    /// missing shards until its deadline.
    pub fn request<'a>(&self, id: u64, scope: &'a [ShardId]) -> Request<'a> {
        Request {
            id: QueryId(id),
            pin: PIN,
            scope,
            deadline: self.now + DEADLINE,
            idempotent: true,
            hedging: true,
            minimum: 0.0,
            patience: DEADLINE,
            canary: None,
        }
    }
}

/// Returns the complete answer to a call, from the pinned snapshot.
pub fn answer_to(send: &OutgoingCall) -> Received {
    Received {
        call: send.call,
        leaf: send.leaf,
        part: Part {
            shard: send.shard,
            pin: PIN,
            complete: true,
        },
    }
}
