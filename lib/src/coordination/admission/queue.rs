//! Waiting requests: start-time fair queueing between tenants, and an order by deadline or worth
//! within each tenant.
//!
//! Each tenant with waiting requests has a start tag, which grows by cost / weight with every
//! request that the tenant starts; the tenant with the lowest tag is next. A tenant that was
//! idle resumes at the highest tag at which a request has started, so it accumulates no
//! credit while idle.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use super::Refusal;
use super::TenantIndex;
use super::Ticket;

/// Units of virtual time per leaf call at weight 1. Tags are integers, so that their order is
/// exact.
const VIRTUAL_UNITS: f64 = 1_000_000.0;

/// Priority of a request among those of its tenant. The lowest rank starts first; among equals, the
/// request that arrived first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// Earliest deadline first.
    Deadline(Instant, Ticket),
    /// Highest worth per cost first. Contains the inverted bits of the quotient, so that a higher
    /// quotient has a lower rank.
    Worth(u64, Ticket),
}

impl Rank {
    /// Ranks by worth per cost. A negative quotient counts as 0, and a cost of 0 as 1.
    pub(super) fn by_worth(worth: f64, cost: u32, ticket: Ticket) -> Self {
        // Non-negative floats sort like their bit patterns.
        let per_cost = (worth / f64::from(cost.max(1))).max(0.0);
        Self::Worth(!per_cost.to_bits(), ticket)
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) tenant: TenantIndex,
    pub(super) cost: u32,
    pub(super) latest_start: Instant,
    /// Why the request is refused if it has not started by `latest_start`.
    pub(super) refusal: Refusal,
}

#[derive(Clone, Debug)]
struct TenantQueue {
    weight: f64,
    start_tag: u64,
    waiting: BTreeMap<Rank, Waiting>,
}

#[derive(Clone, Debug)]
pub(super) struct Queue {
    tenant_queues: Vec<TenantQueue>,
    backlogged: BTreeSet<(u64, TenantIndex)>,
    backlogged_weight: f64,
    expiry: BTreeSet<(Instant, Ticket)>,
    ranks: BTreeMap<Ticket, (TenantIndex, Rank)>,
    virtual_time: u64,
    cost: u64,
}

impl Queue {
    pub(super) fn new(weights: &[f64]) -> Self {
        let tenant_queue = |weight: &f64| TenantQueue {
            weight: *weight,
            start_tag: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            tenant_queues: weights.iter().map(tenant_queue).collect(),
            backlogged: BTreeSet::new(),
            backlogged_weight: 0.0,
            expiry: BTreeSet::new(),
            ranks: BTreeMap::new(),
            virtual_time: 0,
            cost: 0,
        }
    }

    pub(super) fn has_tenant(&self, tenant: TenantIndex) -> bool {
        (tenant.0 as usize) < self.tenant_queues.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.backlogged.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.ranks.len()
    }

    pub(super) fn push(&mut self, rank: Rank, waiting: Waiting) {
        let tenant_queue = &mut self.tenant_queues[waiting.tenant.0 as usize];
        if tenant_queue.waiting.is_empty() {
            tenant_queue.start_tag = tenant_queue.start_tag.max(self.virtual_time);
            self.backlogged
                .insert((tenant_queue.start_tag, waiting.tenant));
            self.backlogged_weight += tenant_queue.weight;
        }
        tenant_queue.waiting.insert(rank, waiting);
        self.cost += u64::from(waiting.cost);
        self.expiry.insert((waiting.latest_start, waiting.ticket));
        self.ranks.insert(waiting.ticket, (waiting.tenant, rank));
    }

    /// Returns the request that starts next, without removing it.
    pub(super) fn first(&self) -> Option<Waiting> {
        let (_, tenant) = self.backlogged.first()?;
        let tenant_queue = &self.tenant_queues[tenant.0 as usize];
        tenant_queue
            .waiting
            .first_key_value()
            .map(|(_, waiting)| *waiting)
    }

    /// Removes a request because it starts, and charges its cost to its tenant.
    pub(super) fn start(&mut self, ticket: Ticket) {
        let Some(waiting) = self.remove(ticket) else {
            return;
        };
        let tenant_queue = &mut self.tenant_queues[waiting.tenant.0 as usize];
        self.virtual_time = self.virtual_time.max(tenant_queue.start_tag);
        let is_backlogged = self
            .backlogged
            .remove(&(tenant_queue.start_tag, waiting.tenant));
        tenant_queue.start_tag = tenant_queue
            .start_tag
            .saturating_add(charge(waiting.cost, tenant_queue.weight));
        if is_backlogged {
            self.backlogged
                .insert((tenant_queue.start_tag, waiting.tenant));
        }
    }

    /// Removes a request without charging its tenant.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let (tenant, rank) = self.ranks.remove(&ticket)?;
        let tenant_queue = &mut self.tenant_queues[tenant.0 as usize];
        let waiting = tenant_queue.waiting.remove(&rank)?;
        if tenant_queue.waiting.is_empty() {
            self.backlogged.remove(&(tenant_queue.start_tag, tenant));
            self.backlogged_weight -= tenant_queue.weight;
        }
        self.cost -= u64::from(waiting.cost);
        self.expiry.remove(&(waiting.latest_start, ticket));
        Some(waiting)
    }

    /// Returns the waiting request whose `latest_start` is the earliest, with that time.
    pub(super) fn next_expiry(&self) -> Option<(Instant, Ticket)> {
        self.expiry.first().copied()
    }

    /// Estimates the total cost, in leaf calls, of the requests that would start before a new
    /// request of the tenant at `rank`.
    pub(super) fn cost_ahead(&self, tenant: TenantIndex, rank: Rank) -> f64 {
        let tenant_queue = &self.tenant_queues[tenant.0 as usize];
        let own = tenant_queue
            .waiting
            .range(..rank)
            .map(|(_, waiting)| f64::from(waiting.cost));
        let own: f64 = own.sum();
        let others_weight = if tenant_queue.waiting.is_empty() {
            self.backlogged_weight
        } else {
            self.backlogged_weight - tenant_queue.weight
        };
        // While the tenant's own requests start, other tenants start requests in proportion to
        // their weights, but no more than they have waiting.
        #[expect(
            clippy::cast_precision_loss,
            reason = "an estimate needs no more than 53 bits"
        )]
        let total = self.cost as f64;
        (own * (1.0 + others_weight / tenant_queue.weight)).min(total)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is positive, and the conversion saturates"
)]
fn charge(cost: u32, weight: f64) -> u64 {
    ((f64::from(cost) * VIRTUAL_UNITS / weight) as u64).max(1)
}
