//! Store access of the control state machine.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use crate::coordination::control::Action;
use crate::coordination::control::Machine;
use crate::coordination::control::Message;
use crate::coordination::control::Mutation;
use crate::coordination::control::StoreFailure;
use crate::coordination::control::StoreRequestId;
use crate::coordination::proposal::Step;
use crate::coordination::proposal::StoreRevision;
use crate::coordination::proposal::StoredRecord;
use crate::state::record::Member;
use crate::state::view::Phase;

/// Number of witnesses that poll the record even if their evidence is fresh.
const POLLING_WITNESSES: usize = 3;

/// Limit on the reads per second of all instances with stale evidence together.
const STALE_READS_PER_SECOND: u32 = 20;

/// The shortest mean time between two reads by an instance with stale evidence. A random factor
/// between 0.75 and 1.25 is applied to it.
const STALE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Limit on the unanswered polls that are kept; the oldest is dropped first. If the store is slow,
/// the late answer to a poll that is kept still counts as evidence, dated at the time of its
/// request. The answer to a dropped poll is ignored.
const MAX_POLLS: usize = 4;

/// Store requests in flight.
#[derive(Debug)]
pub(super) struct Reads {
    last_request: u64,
    /// Unanswered polls of the record, oldest first.
    polls: VecDeque<Poll>,
    /// The proposer's latest request, and when it was sent. The proposer waits for at most one
    /// request at a time.
    proposer: Option<(StoreRequestId, Instant)>,
    pub(super) body: Option<StoreRequestId>,
    pub(super) next_poll: Instant,
    /// Whether the store has answered at least one read.
    pub(super) answered: bool,
}

#[derive(Debug)]
struct Poll {
    request: StoreRequestId,
    sent: Instant,
    base: StoredRecord,
}

impl Reads {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            last_request: 0,
            polls: VecDeque::new(),
            proposer: None,
            body: None,
            next_poll: now,
            answered: false,
        }
    }

    pub(super) fn next(&mut self) -> StoreRequestId {
        self.last_request += 1;
        StoreRequestId(self.last_request)
    }

    fn next_proposer_request(&mut self, now: Instant) -> StoreRequestId {
        let request = self.next();
        self.proposer = Some((request, now));
        request
    }

    /// Whether the request is the proposer's latest one. Answers to older requests are ignored.
    pub(super) fn is_proposer_request(&self, request: StoreRequestId) -> bool {
        self.proposer
            .is_some_and(|(expected, _)| expected == request)
    }
}

impl Machine {
    /// Reads the record if this instance is due to poll.
    pub(super) fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.reads.next_poll {
            return;
        }
        let Some(interval) = self.poll_interval(now) else {
            self.reads.next_poll = now + self.settings.poll_interval;
            return;
        };
        self.reads.next_poll = now + interval;
        let request = self.reads.next();
        self.reads.polls.push_back(Poll {
            request,
            sent: now,
            base: self.known.clone(),
        });
        if self.reads.polls.len() > MAX_POLLS {
            self.reads.polls.pop_front();
        }
        actions.push(Action::ReadStore {
            request,
            newer_than: self.known.revision,
        });
    }

    fn poll_interval(&mut self, now: Instant) -> Option<Duration> {
        let record = &self.known.record;
        let mut polling = record.witnesses().take(POLLING_WITNESSES);
        if polling.any(|witness| witness.instance == self.me.instance) {
            return Some(self.settings.poll_interval);
        }
        let observed = self.evidence.store_observed(record.generation);
        let age = observed.map(|observed| now.saturating_duration_since(observed));
        let stale = age.is_none_or(|age| age > self.settings.stale_evidence);
        let spread = self.settings.mutation != Mutation::RecordsNotSpread;
        if !stale || self.phase == Phase::Left || !(spread || record.generation.0 == 0) {
            return None;
        }
        let size = u32::try_from(record.roster.len()).unwrap_or(u32::MAX);
        let shared = Duration::from_secs(1) * size / STALE_READS_PER_SECOND;
        let jitter = self.random.random_range(0.75..1.25);
        Some(shared.max(STALE_POLL_INTERVAL).mul_f64(jitter))
    }

    pub(super) fn on_store_read(
        &mut self,
        request: StoreRequestId,
        result: Result<Option<StoredRecord>, StoreFailure>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.reads.answered |= result.is_ok();
        if self.reads.is_proposer_request(request) {
            let steps = self.proposer.on_read(result, now);
            self.execute(steps, now, actions);
            return;
        }
        let mut polls = self.reads.polls.iter();
        let position = polls.position(|poll| poll.request == request);
        let poll = position.and_then(|position| self.reads.polls.remove(position));
        let (Some(poll), Ok(found)) = (poll, result) else {
            return;
        };
        let sent = self.evidence_time(poll.sent, now);
        match found {
            Some(stored) => {
                self.evidence.note_store(stored.record.generation, sent);
                self.observe_record(stored, now);
            }
            // Nothing newer: the store still holds the record known when the read was sent.
            None if poll.base.revision > StoreRevision(0) => {
                let generation = poll.base.record.generation;
                self.evidence.note_store(generation, sent);
            }
            None => {}
        }
    }

    /// Returns the time at which evidence from an answer counts as observed: when its request was
    /// sent, because the answer may describe any moment since.
    pub(super) fn evidence_time(&self, sent: Instant, now: Instant) -> Instant {
        if self.settings.mutation == Mutation::DatedOnArrival {
            return now;
        }
        sent
    }

    /// Executes the steps that the proposer requests.
    pub(super) fn execute(&mut self, steps: Vec<Step>, now: Instant, actions: &mut Vec<Action>) {
        for step in steps {
            match step {
                Step::Read => actions.push(Action::ReadStore {
                    request: self.reads.next_proposer_request(now),
                    newer_than: StoreRevision(0),
                }),
                Step::WriteBody { file, text } => {
                    self.body.propose(file, text.clone());
                    let request = self.reads.next_proposer_request(now);
                    actions.push(Action::WriteFileBody {
                        request,
                        file,
                        text,
                    });
                }
                Step::Announce {
                    proposal,
                    generation,
                    witnesses,
                } => {
                    let message = Message::Announce {
                        proposal,
                        generation,
                    };
                    self.send_to_witnesses(&witnesses, &message, now, actions);
                }
                Step::Retract {
                    proposal,
                    witnesses,
                } => {
                    let message = Message::Retract { proposal };
                    self.send_to_witnesses(&witnesses, &message, now, actions);
                }
                Step::Swap { expected, record } => {
                    let mut record = record;
                    if self.settings.mutation == Mutation::GenerationsSkipped {
                        Arc::make_mut(&mut record).generation.0 += 1;
                    }
                    actions.push(Action::CompareAndSwap {
                        request: self.reads.next_proposer_request(now),
                        expected,
                        record,
                    });
                }
                Step::Observed(stored) => {
                    if let Some((_, sent)) = self.reads.proposer {
                        let sent = self.evidence_time(sent, now);
                        self.evidence.note_store(stored.record.generation, sent);
                    }
                    self.observe_record(stored, now);
                }
                Step::Finished { operation, result } => {
                    actions.push(Action::OperationFinished { operation, result });
                }
            }
        }
    }

    /// Sends a message to witnesses. If this instance is one of them, it handles the message last,
    /// without the network.
    fn send_to_witnesses(
        &mut self,
        witnesses: &[Member],
        message: &Message,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let mut includes_me = false;
        for witness in witnesses {
            if witness.instance == self.me.instance {
                includes_me = true;
                continue;
            }
            actions.push(Action::SendTo {
                address: witness.address,
                message: message.clone(),
            });
        }
        if includes_me {
            self.on_message(self.sender(), message.clone(), now, actions);
        }
    }
}
