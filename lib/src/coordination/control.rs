//! The control state machine of one instance. It combines currency, proposals, ownership,
//! membership and gossip, and does no input or output itself.
//!
//! The daemon's control thread passes inputs to it, executes the returned actions in sequence, and
//! sends [`Input::Tick`] at [`Machine::next_wakeup`].

mod apply;
mod body;
mod exchange;
mod leave;
mod message;
mod roster;
mod settings;
mod store;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::body::Body;
use self::leave::Handover;
pub use self::message::Action;
pub use self::message::BodyPart;
pub use self::message::BodyRequest;
pub use self::message::Event;
pub use self::message::GossipRequest;
pub use self::message::GossipResponse;
pub use self::message::Input;
pub use self::message::Message;
pub use self::message::Sender;
pub use self::message::SentRecord;
pub use self::message::StoreFailure;
pub use self::message::StoreRequestId;
#[doc(hidden)]
pub use self::settings::Mutation;
pub use self::settings::Settings;
use self::store::Reads;
use crate::coordination::currency::Evidence;
use crate::coordination::currency::Heartbeat;
use crate::coordination::currency::longest_age;
use crate::coordination::gossip::Fact;
use crate::coordination::gossip::Facts;
use crate::coordination::membership::Membership;
use crate::coordination::membership::Request;
use crate::coordination::ownership::Release;
use crate::coordination::ownership::Table;
use crate::coordination::proposal::Change;
use crate::coordination::proposal::Promises;
use crate::coordination::proposal::Proposer;
use crate::coordination::proposal::StoreRevision;
use crate::coordination::proposal::StoredRecord;
use crate::state::file::File;
use crate::state::id::Generation;
use crate::state::id::InstanceId;
use crate::state::id::OperationId;
use crate::state::record::Candidate;
use crate::state::record::Record;
use crate::state::view::Currency;
use crate::state::view::Phase;
use crate::state::view::View;

/// Time between two checks for probe timeouts, expired facts and due roster changes.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two requests to join or to leave the roster.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// The control state machine of one instance. Time and randomness come from its caller.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    random: ChaCha8Rng,
    me: Candidate,
    phase: Phase,
    /// The record with the highest generation seen. Its file body may not be available yet.
    known: StoredRecord,
    /// When `known` was first seen, or when its file body was last requested from the store.
    known_since: Instant,
    /// The record that this instance has applied.
    applied: Arc<Record>,
    file: Option<Arc<File>>,
    body: Body,
    table: Arc<Table>,
    /// Releases for generations that this instance has not applied yet.
    early_releases: Vec<Release>,
    handover: Handover,
    evidence: Evidence,
    /// The currency carried over from the previously applied generation, and when it expires.
    carried: Option<(Currency, Instant)>,
    heartbeats: u64,
    promises: Promises,
    proposer: Proposer,
    membership: Membership,
    facts: Facts,
    facts_changed: bool,
    reads: Reads,
    next_gossip: Instant,
    next_tick: Instant,
    next_join: Instant,
    join_attempts: usize,
    view: Arc<View>,
}

impl Machine {
    /// Creates the state machine of a process that starts now. Every start needs a different seed,
    /// because the instance id is generated from it.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let me = Candidate {
            instance: InstanceId(random.random()),
            address: settings.address,
            traffic_address: settings.traffic_address,
            failure_domain: settings.failure_domain.clone(),
        };
        let empty = Arc::new(Record::empty());
        let table = Arc::new(Table::default());
        let next_gossip = now + settings.gossip_interval.mul_f64(random.random());
        Self {
            phase: Phase::Joining,
            known: StoredRecord {
                record: empty.clone(),
                revision: StoreRevision(0),
            },
            known_since: now,
            applied: empty.clone(),
            file: None,
            body: Body::default(),
            early_releases: Vec::new(),
            handover: Handover::default(),
            evidence: Evidence::default(),
            carried: None,
            heartbeats: 0,
            promises: Promises::default(),
            proposer: Proposer::new(me.instance, settings.proposal_limits()),
            membership: Membership::new(settings.membership_limits(), random.random()),
            facts: Facts::default(),
            facts_changed: false,
            reads: Reads::new(now),
            next_gossip,
            next_tick: now,
            next_join: now + JOIN_INTERVAL,
            join_attempts: 0,
            view: Arc::new(apply::first_view(me.instance, empty, table.clone())),
            table,
            me,
            random,
            settings,
        }
    }

    /// Returns this instance's id. If the roster drops the instance while its process is alive, the
    /// machine generates a new one.
    #[must_use]
    pub fn instance(&self) -> InstanceId {
        self.me.instance
    }

    /// Returns the sender that this instance puts into its messages.
    #[must_use]
    pub fn sender(&self) -> Sender {
        Sender {
            instance: self.me.instance,
            address: self.me.address,
        }
    }

    /// Returns the most recently published view.
    #[must_use]
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the time at which the caller must pass [`Input::Tick`] at the latest.
    #[must_use]
    pub fn next_wakeup(&self) -> Instant {
        let fixed = [self.next_gossip, self.next_tick, self.reads.next_poll];
        let fixed = fixed.into_iter().chain(self.proposer.next_wakeup());
        let fixed = fixed.chain(self.handover.next_wakeup());
        fixed.min().unwrap_or(self.next_tick)
    }

    /// Handles an input and returns the actions that the caller must execute in sequence.
    pub fn handle(&mut self, input: Input, now: Instant, wall: SystemTime) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatch(input, now, wall, &mut actions);
        self.run_timers(now, &mut actions);
        self.apply_known(now, wall, &mut actions);
        self.refresh_view(now, wall, &mut actions);
        actions
    }

    fn dispatch(
        &mut self,
        input: Input,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<Action>,
    ) {
        match input {
            Input::Tick => {}
            Input::StoreRead { request, result } => {
                self.on_store_read(request, result, now, actions);
            }
            Input::FileRead { request, result } => self.on_file_read(request, result),
            Input::FileWritten { request, result } => {
                if self.reads.is_proposer_request(request) {
                    let steps = self.proposer.on_body_written(result.is_ok(), now);
                    self.execute(steps, now, actions);
                }
            }
            Input::StoreWritten { request, swapped } => {
                if self.reads.is_proposer_request(request) {
                    let steps = self.proposer.on_swapped(swapped, now);
                    self.execute(steps, now, actions);
                }
            }
            Input::Message { from, message } => self.on_message(from, message, now, actions),
            Input::InstanceList(addresses) => {
                let record = &self.known.record;
                self.membership
                    .on_instance_list(addresses, record, &self.me, now);
            }
            Input::FactObserved(fact) => self.on_fact(fact, now, wall, actions),
            Input::Shutdown => {
                self.phase = match self.phase {
                    Phase::Member => Phase::Leaving,
                    Phase::Joining => Phase::Left,
                    Phase::Leaving | Phase::Left => self.phase,
                };
                self.next_join = now;
            }
            Input::Apply { .. }
            | Input::ProposeRollout { .. }
            | Input::ProposeRevocation { .. } => {
                if let Some((operation, change)) = change_of(input) {
                    self.submit(operation, change, now, actions);
                }
            }
        }
    }

    fn submit(
        &mut self,
        operation: OperationId,
        change: Change,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let steps = self.proposer.submit(operation, change, now);
        self.execute(steps, now, actions);
    }

    fn run_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let steps = self.proposer.tick(now);
        self.execute(steps, now, actions);
        if now >= self.next_gossip && self.phase != Phase::Left {
            let jitter = self.random.random_range(0.9..1.1);
            self.next_gossip = now + self.settings.gossip_interval.mul_f64(jitter);
            self.start_exchange(now, actions);
        } else if self.phase == Phase::Left {
            self.next_gossip = now + JOIN_INTERVAL;
        }
        self.poll(now, actions);
        self.continue_leaving(now, actions);
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            if self.settings.mutation != Mutation::FactsKept {
                self.facts_changed |= self.facts.expire(self.me.instance, now);
            }
            self.detect_failures(now, actions);
            self.propose_roster_change(now, actions);
        }
        if now >= self.next_join {
            self.next_join = now + JOIN_INTERVAL;
            self.request_roster_change(now, actions);
        }
    }

    fn detect_failures(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let record = &self.known.record;
        let requests = self
            .membership
            .tick(record, &self.me, now, &mut self.random);
        for request in requests {
            let Request::IndirectProbe {
                probe,
                helper,
                target,
            } = request;
            actions.push(Action::SendTo {
                address: helper,
                message: Message::ProbeRequest { probe, target },
            });
        }
        for instance in self.membership.suspected() {
            // A suspicion is far smaller than `MAX_FACT_BYTES`, so it is never rejected.
            let fact = Fact::Suspicion { instance };
            let _ = self.facts.observe(self.me.instance, fact, now);
        }
        let terminated = self.membership.terminated(&self.known.record, now);
        self.proposer.set_terminated(terminated);
    }

    /// Returns the highest generation that this instance has seen or, as a witness, promised.
    fn highest(&self) -> Generation {
        let seen = self.known.record.generation;
        if self.settings.mutation == Mutation::HiddenPromises {
            return seen;
        }
        self.promises
            .highest()
            .map_or(seen, |promised| promised.max(seen))
    }

    /// Records a heartbeat of this instance itself, with age 0, and drops outdated evidence.
    fn record_own_heartbeat(&mut self, now: Instant) {
        self.heartbeats += 1;
        let heartbeat = Heartbeat {
            witness: self.me.instance,
            sequence: self.heartbeats,
            highest: self.highest(),
            age_ms: 0,
        };
        self.evidence.note_heartbeat(&heartbeat, now);
        let oldest = now.checked_sub(longest_age(self.settings.currency_bound));
        self.evidence.prune(self.applied.generation, oldest);
    }
}

fn change_of(input: Input) -> Option<(OperationId, Change)> {
    match input {
        Input::Apply {
            operation,
            text,
            expected,
            ..
        } => Some((operation, Change::File { text, expected })),
        Input::ProposeRollout {
            operation,
            rollout,
            expected,
            stage,
        } => {
            let change = Change::Rollout {
                rollout,
                expected,
                stage,
            };
            Some((operation, change))
        }
        Input::ProposeRevocation {
            operation,
            service,
            version,
        } => Some((operation, Change::Revocation { service, version })),
        _ => None,
    }
}
