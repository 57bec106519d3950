//! Calls to leafs.

use std::time::Duration;

use camphorhold::coordination::serving::fanout::LeafCall;
use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::fleet::CallResult;
use camphorhold::coordination::serving::shard_load::End;
use rand::Rng;

use super::Call;
use super::Event;
use super::World;
use super::scenario::HOP;
use super::scenario::KINDS;
use super::shard_name;

impl World {
    pub(super) fn send(&mut self, task: usize, calls: Vec<LeafCall>) {
        let now = self.at(self.now);
        for call in calls {
            let instance = &mut self.instances[self.tasks[task].instance];
            let expected = Duration::from_micros(KINDS[self.tasks[task].kind].work);
            instance.fleet.on_sent(call.leaf, expected, now);
            let leaf = instance
                .fleet
                .get(call.leaf)
                .expect("a leaf")
                .entry()
                .id
                .parse()
                .expect("a number");
            let index = self.calls.len();
            self.calls.push(Call {
                task,
                position: call.shard,
                key: call.leaf,
                leaf,
                sent: now,
                released: false,
                deadline: self.micros(call.deadline),
                outcome: None,
            });
            self.tasks[task].calls.push(index);
            self.push(self.now + HOP, Event::AtLeaf(index));
        }
    }

    pub(super) fn on_call_at_leaf(&mut self, call: usize) {
        let Call { task, leaf, .. } = self.calls[call];
        if self.tasks[task].ended.is_some() {
            return;
        }
        if self.leafs[leaf].accept(call) {
            self.start_jobs(leaf);
        } else {
            self.calls[call].outcome = Some(Outcome::NotRun);
            self.push(self.now + HOP, Event::CallEnd(call));
        }
    }

    pub(super) fn start_jobs(&mut self, leaf: usize) {
        while let Some(call) = self.leafs[leaf].next_job() {
            let task = self.calls[call].task;
            if self.tasks[task].ended.is_some() || self.now >= self.calls[call].deadline {
                continue;
            }
            let query = self.tasks[task].parent.unwrap_or(task);
            self.tasks[query].has_worked = true;
            let work = KINDS[self.tasks[task].kind].work as f64 * self.rng.random_range(0.8..1.2);
            let end = self.leafs[leaf].start(call, self.now, work);
            // A leaf stops working at the deadline.
            let end = end.min(self.calls[call].deadline.max(self.now));
            self.push(end, Event::LeafDone(leaf, call));
        }
    }

    pub(super) fn release(&mut self, call: usize, result: Option<CallResult>) {
        let now = self.at(self.now);
        let Call {
            task,
            key,
            sent,
            position,
            ..
        } = self.calls[call];
        if std::mem::replace(&mut self.calls[call].released, true) {
            return;
        }
        let elapsed = now.saturating_duration_since(sent);
        let result = result.unwrap_or(CallResult::Abandoned(elapsed));
        let name = shard_name(self.tasks[task].shards[position]);
        let instance = &mut self.instances[self.tasks[task].instance];
        instance.fleet.on_result(key, sent, result, now);
        if result == CallResult::Refused {
            instance.loads.on_leaf_refusal(&name);
        }
    }

    pub(super) fn on_call_end(&mut self, call: usize) {
        let Call {
            task,
            key,
            sent,
            position,
            outcome,
            ..
        } = self.calls[call];
        let elapsed = self.at(self.now).saturating_duration_since(sent);
        let outcome = outcome.expect("an outcome");
        let result = match outcome {
            Outcome::Answered => CallResult::Answered(elapsed),
            _ => CallResult::Refused,
        };
        self.release(call, Some(result));
        self.with_fanout(task, |fanout, context, calls| {
            fanout.on_outcome(position, key, outcome, context, calls);
        });
        if outcome == Outcome::Answered {
            self.end_permit(task, position, End::Answered);
        }
        self.settle(task);
    }
}
