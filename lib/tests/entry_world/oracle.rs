//! Checks the guarantees at the end of each query and at the end of the simulation.

use std::collections::BTreeSet;

use camphorhold::coordination::correlation::Kind;
use camphorhold::coordination::query::Answer;
use camphorhold::coordination::query::Outcome;
use camphorhold::coordination::replica::LeafIndex;

use super::Content;
use super::INITIAL_EXTRA_CALLS;
use super::REPLICAS;
use super::SHARDS;
use super::Stage;
use super::TrackedCall;
use super::World;
use crate::entry_support::DEADLINE;

impl World {
    pub(super) fn check_end(&self, query: usize, answer: &Answer<Content>) {
        let tracked_query = &self.tracked_queries[query];
        assert_eq!(answer.pin, tracked_query.pin);
        assert_eq!(
            answer.coverage.in_scope as usize, tracked_query.in_scope,
            "the coverage states a wrong scope"
        );
        let mut shards = BTreeSet::new();
        for (shard, (execution, is_complete)) in &answer.contents {
            let execution = &self.executions[*execution];
            assert_eq!(
                execution.query, query,
                "merged the answer to another request"
            );
            assert_eq!(
                execution.shard, *shard,
                "merged the answer of another shard"
            );
            assert_eq!(
                execution.pin, tracked_query.pin,
                "merged an answer from another snapshot"
            );
            assert!(is_complete, "merged a truncated answer");
            assert!(shards.insert(*shard), "merged two answers of one shard");
        }
        if answer.outcome == Outcome::Answered {
            assert_eq!(
                answer.coverage.answered as usize,
                shards.len(),
                "the coverage states a wrong number of answers"
            );
            assert!(
                answer.coverage.reaches(tracked_query.minimum),
                "answered below the minimum coverage"
            );
        } else {
            assert!(shards.is_empty());
        }
        let mut tracked_calls = self
            .tracked_calls
            .iter()
            .filter(|tracked_call| tracked_call.query == query);
        if matches!(answer.outcome, Outcome::Unknown(_)) {
            assert!(
                tracked_calls.any(|tracked_call| !tracked_call.known_not_started),
                "the outcome is unknown although no call can have started"
            );
        }
    }

    /// Lets the leafs run all calls in flight, delivers all messages, and checks the guarantees
    /// that must hold afterwards.
    pub fn finish(&mut self) {
        for tracked_call in 0..self.tracked_calls.len() {
            if self.tracked_calls[tracked_call].stage == Stage::InFlight {
                self.execute(tracked_call, 1);
            }
        }
        self.advance(DEADLINE * 2);
        for message in std::mem::take(&mut self.messages) {
            let leaf = self.tracked_calls[message.tracked_call].send.leaf;
            self.receive(message, leaf, true);
        }
        for (query, tracked_query) in self.tracked_queries.iter().enumerate() {
            let end = tracked_query
                .end
                .as_ref()
                .expect("every query ends by its deadline");
            assert_eq!(
                end.coverage.answered as usize,
                tracked_query.accepted.len(),
                "the coverage states a wrong number of answers"
            );
            let executions = self
                .executions
                .iter()
                .filter(|one| one.query == query)
                .count();
            if matches!(end.outcome, Outcome::NotRun(_)) {
                assert_eq!(executions, 0, "a request that counts as not run has run");
            }
            assert!(
                tracked_query.idempotent || executions <= 1,
                "a non-idempotent request ran twice"
            );
        }
        assert_eq!(
            self.entry.calls.in_flight(),
            0,
            "a call is still in the table of calls"
        );
        for leaf in (0..SHARDS * REPLICAS).map(LeafIndex) {
            assert_eq!(
                self.entry.replicas.in_flight(leaf),
                0,
                "a leaf still counts a call in flight"
            );
        }
        self.check_budget();
    }

    /// Checks that the calls that reached a leaf, beyond one per primary call, stay within 10 % of
    /// the primary calls plus the initial budget. One call per shard and query does not count if
    /// its leaf refused it because the leaf cannot serve the request: the leaf started nothing, so
    /// the call that replaces it is no extra load.
    fn check_budget(&self) {
        let count = |is_counted: &dyn Fn(&TrackedCall) -> bool| {
            self.tracked_calls
                .iter()
                .filter(|tracked_call| is_counted(tracked_call))
                .count()
        };
        let primary = count(&|tracked_call| tracked_call.send.kind == Kind::Primary);
        let reached = count(&|tracked_call| tracked_call.stage != Stage::NotSent);
        let replaced: std::collections::BTreeSet<_> = self
            .tracked_calls
            .iter()
            .filter(|tracked_call| tracked_call.leaf_is_unavailable)
            .map(|tracked_call| (tracked_call.query, tracked_call.send.shard))
            .collect();
        let extra = reached.saturating_sub(primary + replaced.len());
        let permitted = INITIAL_EXTRA_CALLS as usize * 100 + primary * 10;
        assert!(
            extra * 100 <= permitted,
            "{extra} extra calls, {primary} primary calls"
        );
    }
}
