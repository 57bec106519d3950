//! Messages between the control state machine and other instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::coordination::control::Action;
use crate::coordination::control::Event;
use crate::coordination::control::GossipRequest;
use crate::coordination::control::GossipResponse;
use crate::coordination::control::Machine;
use crate::coordination::control::Message;
use crate::coordination::control::Mutation;
use crate::coordination::control::Sender;
use crate::coordination::control::SentRecord;
use crate::coordination::currency::Heartbeat;
use crate::coordination::currency::age_millis;
use crate::coordination::currency::longest_age;
use crate::coordination::gossip::Delta;
use crate::coordination::gossip::Digest;
use crate::coordination::gossip::Fact;
use crate::coordination::proposal::ProposalId;
use crate::coordination::proposal::StoredRecord;
use crate::state::id::Generation;
use crate::state::record::Record;

impl Machine {
    pub(super) fn start_exchange(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let record = &self.known.record;
        let peer = self
            .membership
            .next_peer(record, &self.me, now, &mut self.random);
        if let Some((exchange, address)) = peer {
            self.send_request(exchange, address, now, actions);
        }
    }

    fn send_request(
        &mut self,
        exchange: u64,
        address: SocketAddr,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let request = GossipRequest {
            exchange,
            generation: self.known.record.generation,
            digest: self.facts.digest(),
            delta: self.facts.unsolicited(self.settings.exchange_bytes, now),
            body: self.body.request(&self.known.record),
        };
        let message = Message::GossipRequest(Box::new(request));
        actions.push(Action::SendTo { address, message });
    }

    pub(super) fn on_message(
        &mut self,
        from: Sender,
        message: Message,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.membership.on_contact(from.instance, now);
        let address = from.address;
        let mut send = |address, message| actions.push(Action::SendTo { address, message });
        match message {
            Message::GossipRequest(request) => {
                let message = Message::GossipResponse(Box::new(self.answer(&request, now)));
                send(address, message);
            }
            Message::GossipResponse(response) => self.on_response(from, *response, now, actions),
            Message::GossipPush { record, delta } => {
                self.merge_record(record, now);
                self.merge_facts(&delta, now);
            }
            Message::ProbeRequest { probe, target } => {
                let requester = address;
                send(target, Message::Ping { probe, requester });
            }
            Message::Ping { probe, requester } => {
                send(address, Message::Pong { probe, requester });
            }
            Message::Pong { probe, requester } => {
                let target = from.instance;
                send(requester, Message::ProbeResponse { probe, target });
            }
            Message::ProbeResponse { probe, target } => {
                self.membership.on_indirect_answer(probe, target, now);
            }
            Message::Announce {
                proposal,
                generation,
            } => self.on_announce(from, proposal, generation, now, actions),
            Message::Promise { proposal } => {
                let steps = self.proposer.on_promise(proposal, from.instance, now);
                self.execute(steps, now, actions);
            }
            Message::Refuse { proposal } => {
                let steps = self.proposer.on_refusal(proposal, now);
                self.execute(steps, now, actions);
            }
            Message::Retract { proposal } => self.promises.retract(proposal),
            Message::Release(release) => self.on_release(&release, now),
            Message::Join(candidate) => {
                let record = &self.known.record;
                self.membership.on_join(candidate, record, now);
            }
            Message::Leave { instance } => self.membership.on_leave(instance),
        }
    }

    fn on_announce(
        &mut self,
        from: Sender,
        proposal: ProposalId,
        generation: Generation,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let seen = self.known.record.generation;
        let message = if self.promises.promise(proposal, generation, seen) {
            Message::Promise { proposal }
        } else {
            Message::Refuse { proposal }
        };
        if from.address != self.me.address {
            let address = from.address;
            actions.push(Action::SendTo { address, message });
        } else if let Message::Promise { proposal } = message {
            let steps = self.proposer.on_promise(proposal, self.me.instance, now);
            self.execute(steps, now, actions);
        } else {
            let steps = self.proposer.on_refusal(proposal, now);
            self.execute(steps, now, actions);
        }
    }

    fn answer(&mut self, request: &GossipRequest, now: Instant) -> GossipResponse {
        self.merge_facts(&request.delta, now);
        self.record_own_heartbeat(now);
        let budget = self.settings.exchange_bytes;
        let budget = if request.body.is_some() {
            budget / 2
        } else {
            budget
        };
        let generation = self.known.record.generation;
        let longest = longest_age(self.settings.currency_bound);
        let observed = self.evidence.store_observed(generation);
        let age = observed.map(|observed| now.saturating_duration_since(observed));
        let age = age.filter(|age| *age <= longest);
        GossipResponse {
            exchange: request.exchange,
            generation,
            record: self.record_for(request.generation),
            store_age_ms: age.map(age_millis),
            heartbeats: self.witness_heartbeats(now),
            open: self.promises.open().collect(),
            digest: self.facts.digest(),
            delta: self.missing_facts(&request.digest, budget, now),
            body: request.body.and_then(|body| self.body.part(body, budget)),
        }
    }

    fn missing_facts(&mut self, digest: &Digest, budget: usize, now: Instant) -> Delta {
        if self.settings.mutation == Mutation::FactsNotRepeated {
            return self.facts.unsolicited(budget, now);
        }
        self.facts.delta(digest, budget, now)
    }

    fn witness_heartbeats(&self, now: Instant) -> Vec<Heartbeat> {
        let longest = longest_age(self.settings.currency_bound);
        let mut heartbeats = self.evidence.heartbeats(now, longest);
        heartbeats.retain(|heartbeat| {
            let known = self.known.record.member(heartbeat.witness);
            let applied = self.applied.member(heartbeat.witness);
            known.is_some_and(|member| member.witness)
                || applied.is_some_and(|member| member.witness)
        });
        heartbeats
    }

    /// Returns the known record if the peer, which has seen `generation`, lacks it.
    fn record_for(&self, generation: Generation) -> Option<SentRecord> {
        let spread = self.settings.mutation != Mutation::RecordsNotSpread;
        (spread && generation < self.known.record.generation).then(|| SentRecord {
            record: Box::new(Record::clone(&self.known.record)),
            revision: self.known.revision,
        })
    }

    fn on_response(
        &mut self,
        from: Sender,
        mut response: GossipResponse,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let sent = self
            .membership
            .on_answer(response.exchange, from.instance, now);
        let Some(sent) = sent else {
            // A duplicate answer, or an answer to an exchange that has timed out.
            return;
        };
        self.merge_record(response.record.take(), now);
        self.record_store_evidence(
            self.evidence_time(sent, now),
            response.generation,
            response.store_age_ms,
        );
        for heartbeat in &response.heartbeats {
            let age = Duration::from_millis(heartbeat.age_ms.into());
            if heartbeat.witness != self.me.instance
                && let Some(observed) = self.evidence_time(sent, now).checked_sub(age)
            {
                self.evidence.note_heartbeat(heartbeat, observed);
            }
        }
        self.merge_facts(&response.delta, now);
        self.resend_retractions(from.address, &response.open, actions);
        self.push(from.address, &response, now, actions);
        if let Some(part) = response.body
            && self.body.on_part(part, &self.known.record)
            && self.body.request(&self.known.record).is_some()
        {
            // Request the next part immediately, in an additional exchange.
            let exchange = self
                .membership
                .extra_exchange(from.instance, from.address, now);
            self.send_request(exchange, from.address, now, actions);
        }
    }

    fn record_store_evidence(
        &mut self,
        sent: Instant,
        generation: Generation,
        age_ms: Option<u32>,
    ) {
        let age = age_ms.map(|age| Duration::from_millis(age.into()));
        let observed = age.and_then(|age| sent.checked_sub(age));
        if let Some(observed) = observed {
            self.evidence.note_store(generation, observed);
        }
    }

    /// Resends retractions for promises that the peer still reports as open, because the first
    /// retraction may have been lost.
    fn resend_retractions(
        &self,
        address: SocketAddr,
        open: &[ProposalId],
        actions: &mut Vec<Action>,
    ) {
        for proposal in open.iter().filter(|id| self.proposer.retracted(**id)) {
            let message = Message::Retract {
                proposal: *proposal,
            };
            actions.push(Action::SendTo { address, message });
        }
    }

    /// Sends the record and the facts that the answering peer lacks.
    fn push(
        &mut self,
        address: SocketAddr,
        response: &GossipResponse,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let budget = self.settings.exchange_bytes;
        let record = self.record_for(response.generation);
        let delta = self.missing_facts(&response.digest, budget, now);
        if record.is_some() || delta != Delta::default() {
            let message = Message::GossipPush { record, delta };
            actions.push(Action::SendTo { address, message });
        }
    }

    fn merge_record(&mut self, sent: Option<SentRecord>, now: Instant) {
        if let Some(SentRecord { record, revision }) = sent {
            let record = Arc::from(record);
            self.observe_record(StoredRecord { record, revision }, now);
        }
    }

    fn merge_facts(&mut self, delta: &Delta, now: Instant) {
        self.facts_changed |= self.facts.merge(self.me.instance, delta, now);
        for item in &delta.items {
            if let Fact::Suspicion { instance } = item.fact {
                let record = &self.known.record;
                self.membership
                    .on_suspicion(instance, record, self.me.instance);
            }
        }
    }

    pub(super) fn on_fact(
        &mut self,
        fact: Fact,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<Action>,
    ) {
        match self.facts.observe(self.me.instance, fact, now) {
            Ok(changed) => self.facts_changed |= changed,
            Err(error) => {
                let event = Event::FactRejected(error);
                actions.push(Action::Event { at: wall, event });
            }
        }
    }
}
