//! The store of the world, and the calls to it.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorhold::coordination::serving::duty::Claim;
use camphorhold::coordination::serving::duty::Epoch;
use camphorhold::coordination::serving::duty::Holder;
use camphorhold::coordination::serving::usage::report::Ledger;
use camphorhold::coordination::serving::usage::report::Write;

use super::LEASE;

#[derive(Clone)]
pub struct Items {
    pub revision: u64,
    pub holder: Option<(Holder, u64, u64)>,
    pub epoch: Option<(Epoch, Box<str>, u64)>,
    pub ledger: Option<(Ledger, u64)>,
}

/// The store. Its clock is the true one.
pub struct Store {
    pub era: u64,
    pub items: Items,
    pub leases: BTreeMap<u64, Duration>,
    pub next_lease: u64,
}

#[derive(Clone)]
pub enum Request {
    Grant,
    Claim(Claim),
    Renew(u64),
    Read,
    Finalize(Write),
}

pub enum Reply {
    Granted(u64),
    Written(u64),
    Refused,
    Renewed,
    Gone,
    Items(Box<Items>),
}

impl Store {
    pub fn expire(&mut self, now: Duration) -> bool {
        self.leases.retain(|_, until| *until > now);
        let is_over = self
            .items
            .holder
            .as_ref()
            .is_some_and(|(_, _, lease)| *lease != 0 && !self.leases.contains_key(lease));
        if is_over {
            self.items.holder = None;
            self.items.revision += 1;
        }
        is_over
    }

    pub fn execute(&mut self, request: &Request, now: Duration) -> Reply {
        match request {
            Request::Grant => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, now + LEASE);
                Reply::Granted(self.next_lease)
            }
            Request::Claim(claim) => {
                let holder = self.items.holder.as_ref().map_or(0, |holder| holder.1);
                let epoch = self.items.epoch.as_ref().map_or(0, |epoch| epoch.2);
                if holder != claim.expected_holder || epoch != claim.expected_epoch {
                    return Reply::Refused;
                }
                if !self.leases.contains_key(&claim.lease) {
                    return Reply::Refused;
                }
                self.items.revision += 1;
                let revision = self.items.revision;
                let new = claim.holder.clone();
                self.items.epoch = Some((new.epoch, new.name.clone(), revision));
                self.items.holder = Some((new, revision, claim.lease));
                Reply::Written(revision)
            }
            Request::Renew(lease) => match self.leases.get_mut(lease) {
                Some(until) => {
                    *until = now + LEASE;
                    Reply::Renewed
                }
                None => Reply::Gone,
            },
            Request::Read => Reply::Items(Box::new(self.items.clone())),
            Request::Finalize(write) => {
                let revision = self.items.ledger.as_ref().map_or(0, |ledger| ledger.1);
                if revision != write.expected {
                    return Reply::Refused;
                }
                self.items.revision += 1;
                self.items.ledger = Some((write.ledger.clone(), self.items.revision));
                Reply::Written(self.items.revision)
            }
        }
    }
}

pub struct Call {
    pub request: Request,
    /// When it was sent, by the sender's clock.
    pub sent: Duration,
    pub answer_at: Duration,
    /// The era of the answer with what the store says; `None` if it is lost.
    pub reply: Option<(u64, Reply)>,
    // When the store carries it out, unless it is lost before.
    pub executes_at: Option<Duration>,
}
