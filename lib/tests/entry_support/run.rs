//! Runs one query and collects its actions.

use std::time::Duration;

use camphorhold::coordination::query::Action;
use camphorhold::coordination::query::Answer;
use camphorhold::coordination::query::Failure;
use camphorhold::coordination::query::OutgoingCall;
use camphorhold::coordination::query::Query;
use camphorhold::coordination::query::Request;
use camphorhold::coordination::query::Unused;
use camphorhold::state::id::ShardId;

use super::Entry;
use super::answer_to;

pub type Actions = Vec<Action<&'static str>>;

pub const NORMAL: Duration = Duration::from_millis(5);

pub fn scope(shards: u32) -> Vec<ShardId> {
    (0..shards).map(ShardId).collect()
}

/// A query, and the actions that it has returned so far.
pub struct Run {
    pub entry: Entry,
    pub query: Query<&'static str>,
    pub actions: Actions,
}

impl Run {
    pub fn start(mut entry: Entry, request: &Request<'_>) -> Self {
        let (query, actions) = Query::start(&mut entry.context(), request);
        Self {
            entry,
            query,
            actions,
        }
    }

    pub fn sends(&self) -> Vec<OutgoingCall> {
        let sends = self.actions.iter().filter_map(|action| match action {
            Action::Send(send) => Some(*send),
            _ => None,
        });
        sends.collect()
    }

    pub fn cancels(&self) -> usize {
        self.actions
            .iter()
            .filter(|action| matches!(action, Action::Cancel(_)))
            .count()
    }

    pub fn end(&self) -> &Answer<&'static str> {
        match self.actions.last() {
            Some(Action::Finish(answer)) => answer,
            other => panic!("the query has not finished: {other:?}"),
        }
    }

    pub fn answer(&mut self, send: &OutgoingCall) -> Result<(), Unused> {
        let received = answer_to(send);
        self.query.on_answer(
            &mut self.entry.context(),
            &received,
            "hits",
            &mut self.actions,
        )
    }

    pub fn fail(&mut self, send: &OutgoingCall, failure: Failure) {
        self.query.on_failure(
            &mut self.entry.context(),
            send.call,
            failure,
            &mut self.actions,
        );
    }

    /// Moves time to the query's next wakeup and runs its timer.
    pub fn wake(&mut self) {
        self.entry.now = self.query.next_wakeup().expect("the query is in progress");
        self.query
            .on_timer(&mut self.entry.context(), &mut self.actions);
    }

    pub fn wait(&mut self, time: Duration) {
        self.entry.now += time;
        self.query
            .on_timer(&mut self.entry.context(), &mut self.actions);
    }
}

/// Starts a query to one shard with two replicas, with a hedge delay and a budget for extra calls.
pub fn one_shard(idempotent: bool) -> Run {
    let mut entry = Entry::new(1, 2, 1);
    entry.warm_up(NORMAL, 30);
    let scope = scope(1);
    let request = Request {
        idempotent,
        ..entry.request(1, &scope)
    };
    Run::start(entry, &request)
}
