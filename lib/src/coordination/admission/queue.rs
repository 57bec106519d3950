//! Waiting requests: start-time fair queueing between tenants, and an order by deadline or worth
//! within each tenant.
//!
//! Each tenant with waiting requests has a start tag, which grows by cost / weight with every
//! request it starts; the lowest tag is next. A tenant that comes back from idleness starts at the
//! tag of the request started last, so it saves up nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use super::Refusal;
use super::TenantIndex;
use super::Ticket;

/// Units of virtual time per leaf call at weight 1. Integers keep the order exact.
const VIRTUAL_UNITS: f64 = 1_000_000.0;

/// Orders the requests of one tenant; the lowest is next. Ties go by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// Earliest deadline first.
    Deadline(Instant, Ticket),
    /// Highest worth per cost first, as the complement of a float's bits.
    Worth(u64, Ticket),
}

impl Rank {
    /// Ranks by worth per cost, neither of them negative.
    pub(super) fn by_worth(worth: f64, cost: u32, ticket: Ticket) -> Self {
        // The bits of floats that are not negative sort like the floats.
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
    /// Why the request is refused if it has not started by then.
    pub(super) refusal: Refusal,
}

#[derive(Clone, Debug)]
struct Line {
    weight: f64,
    tag: u64,
    waiting: BTreeMap<Rank, Waiting>,
}

#[derive(Clone, Debug)]
pub(super) struct Queue {
    lines: Vec<Line>,
    backlogged: BTreeSet<(u64, TenantIndex)>,
    backlogged_weight: f64,
    expiry: BTreeSet<(Instant, Ticket)>,
    ranks: BTreeMap<Ticket, (TenantIndex, Rank)>,
    virtual_time: u64,
    cost: u64,
}

impl Queue {
    pub(super) fn new(weights: &[f64]) -> Self {
        let line = |weight: &f64| Line {
            weight: *weight,
            tag: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            lines: weights.iter().map(line).collect(),
            backlogged: BTreeSet::new(),
            backlogged_weight: 0.0,
            expiry: BTreeSet::new(),
            ranks: BTreeMap::new(),
            virtual_time: 0,
            cost: 0,
        }
    }

    pub(super) fn has_tenant(&self, tenant: TenantIndex) -> bool {
        (tenant.0 as usize) < self.lines.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.backlogged.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.ranks.len()
    }

    pub(super) fn push(&mut self, rank: Rank, waiting: Waiting) {
        let line = &mut self.lines[waiting.tenant.0 as usize];
        if line.waiting.is_empty() {
            line.tag = line.tag.max(self.virtual_time);
            self.backlogged.insert((line.tag, waiting.tenant));
            self.backlogged_weight += line.weight;
        }
        line.waiting.insert(rank, waiting);
        self.cost += u64::from(waiting.cost);
        self.expiry.insert((waiting.latest_start, waiting.ticket));
        self.ranks.insert(waiting.ticket, (waiting.tenant, rank));
    }

    /// Returns the request that is next.
    pub(super) fn first(&self) -> Option<Waiting> {
        let (_, tenant) = self.backlogged.first()?;
        let line = &self.lines[tenant.0 as usize];
        line.waiting.first_key_value().map(|(_, waiting)| *waiting)
    }

    /// Removes a request that starts, and charges its tenant.
    pub(super) fn start(&mut self, ticket: Ticket) {
        let Some(waiting) = self.remove(ticket) else {
            return;
        };
        let line = &mut self.lines[waiting.tenant.0 as usize];
        self.virtual_time = self.virtual_time.max(line.tag);
        let is_backlogged = self.backlogged.remove(&(line.tag, waiting.tenant));
        line.tag = line.tag.saturating_add(charge(waiting.cost, line.weight));
        if is_backlogged {
            self.backlogged.insert((line.tag, waiting.tenant));
        }
    }

    /// Removes a request without charging its tenant.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let (tenant, rank) = self.ranks.remove(&ticket)?;
        let line = &mut self.lines[tenant.0 as usize];
        let waiting = line.waiting.remove(&rank)?;
        if line.waiting.is_empty() {
            self.backlogged.remove(&(line.tag, tenant));
            self.backlogged_weight -= line.weight;
        }
        self.cost -= u64::from(waiting.cost);
        self.expiry.remove(&(waiting.latest_start, ticket));
        Some(waiting)
    }

    /// Returns the earliest latest start of all waiting requests.
    pub(super) fn next_expiry(&self) -> Option<(Instant, Ticket)> {
        self.expiry.first().copied()
    }

    /// Estimates the cost that starts before a new request of the tenant at `rank` would.
    pub(super) fn cost_ahead(&self, tenant: TenantIndex, rank: Rank) -> f64 {
        let line = &self.lines[tenant.0 as usize];
        let own = line
            .waiting
            .range(..rank)
            .map(|(_, waiting)| f64::from(waiting.cost));
        let own: f64 = own.sum();
        let others_weight = if line.waiting.is_empty() {
            self.backlogged_weight
        } else {
            self.backlogged_weight - line.weight
        };
        // While the own line's cost starts, other lines start theirs in proportion to weight, but
        // no more than they hold.
        #[expect(
            clippy::cast_precision_loss,
            reason = "an estimate needs no more than 53 bits"
        )]
        let total = self.cost as f64;
        (own * (1.0 + others_weight / line.weight)).min(total)
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
