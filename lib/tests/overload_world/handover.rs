//! Owners of shards: admission, queues and answers.

use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::fanout::Request;
use camphorhold::coordination::serving::fanout::ShardAssignment;
use camphorhold::coordination::serving::shard_load::End;
use camphorhold::coordination::serving::shard_load::Entry;
use camphorhold::coordination::serving::shard_load::Threshold;
use camphorhold::coordination::serving::shard_load::Work;

use super::Event;
use super::Task;
use super::TaskEnd;
use super::World;
use super::scenario::HOP;
use super::shard_name;

impl World {
    /// Asks this instance's own limits for the shards that it is to call itself.
    pub(super) fn enter(&mut self, task: usize, request: &mut Request) {
        let now = self.at(self.now);
        let due = self.at(self.tasks[task].due);
        let Task {
            instance,
            shards,
            refused,
            permits,
            urgency,
            kind,
            ..
        } = &mut self.tasks[task];
        permits.resize(shards.len(), None);
        if !self.scenario.admission {
            return;
        }
        let work = Work {
            urgency: *urgency,
            route: *kind as u64,
            due,
        };
        let state = &mut self.instances[*instance];
        for (position, shard) in request.shards.iter_mut().enumerate() {
            if shard.assignment != ShardAssignment::Local {
                continue;
            }
            let slots = state.fleet.slots(&shard.service);
            let waker = || (task, position);
            match state.loads.enter(&shard.service, slots, work, now, waker) {
                Entry::Granted(permit) => permits[position] = Some(permit),
                Entry::Queued => shard.assignment = ShardAssignment::HandedOver,
                Entry::Refused => {
                    shard.assignment = ShardAssignment::Skipped;
                    refused.push(shards[position]);
                }
            }
        }
    }

    pub(super) fn end_permit(&mut self, task: usize, position: usize, end: End) {
        let now = self.at(self.now);
        let Some(permit) = self.tasks[task].permits[position].take() else {
            return;
        };
        let name = shard_name(self.tasks[task].shards[position]);
        let instance = self.tasks[task].instance;
        let loads = &mut self.instances[instance].loads;
        loads.on_end(&name, permit, end, now);
        self.wake_next(instance, &name);
    }

    /// Lets the queries go on that may.
    fn wake_next(&mut self, instance: usize, name: &str) {
        let now = self.at(self.now);
        while let Some(((waiting, position), permit)) =
            self.instances[instance].loads.next(name, now)
        {
            let has_ended = self.tasks[waiting].ended.is_some();
            match permit {
                Some(permit) if has_ended => {
                    let loads = &mut self.instances[instance].loads;
                    loads.on_end(name, permit, End::Unanswered, now);
                }
                Some(permit) => {
                    self.tasks[waiting].permits[position] = Some(permit);
                    self.with_fanout(waiting, |fanout, context, calls| {
                        fanout.on_handover_outcome(position, Outcome::Unsent, context, calls);
                    });
                }
                None => {
                    let shard = self.tasks[waiting].shards[position];
                    self.tasks[waiting].refused.push(shard);
                    self.with_fanout(waiting, |fanout, context, _| {
                        fanout.on_handover_refused(position, false, context);
                    });
                }
            }
            let next = self.now;
            self.push(next, Event::Timer(waiting));
        }
    }

    pub(super) fn on_handover(&mut self, task: usize) {
        if self.tasks[task].ended.is_some() {
            return;
        }
        self.tasks[task].arrived = self.now;
        let mut request = self.request(&self.tasks[task], |_| ShardAssignment::Local);
        self.enter(task, &mut request);
        let Task {
            shards, refused, ..
        } = &self.tasks[task];
        if refused.len() == shards.len() {
            self.tasks[task].ended = Some(TaskEnd::Dropped);
            self.push(self.now + HOP, Event::HandoverEnd(task));
            return;
        }
        self.start(task, request);
        self.wake_all(task);
    }

    /// Lets the queries go on that may, for all shards of a task.
    pub(super) fn wake_all(&mut self, task: usize) {
        for shard in self.tasks[task].shards.clone() {
            self.wake_next(self.tasks[task].instance, &shard_name(shard));
        }
    }

    pub(super) fn on_handover_end(&mut self, child: usize) {
        let task = self.tasks[child].parent.expect("a query");
        let now = self.at(self.now);
        let (instance, owner) = (self.tasks[task].instance, self.tasks[child].instance);
        let shards = self.tasks[child].shards.clone();
        if self.scenario.admission {
            for shard in &shards {
                let name = shard_name(*shard);
                let threshold: Threshold = self.instances[owner].loads.threshold(&name, now);
                self.instances[instance]
                    .loads
                    .on_report(&name, threshold, now);
            }
        }
        let missing = self.tasks[child]
            .fanout
            .as_ref()
            .map(|fanout| fanout.summary().missing);
        let refused = self.tasks[child].refused.clone();
        let answers = self.tasks[child].ended.is_some_and(TaskEnd::is_answer);
        let ran = self.tasks[child].fanout.is_some();
        for shard in shards {
            let name = shard_name(shard);
            let is_answered = answers
                && missing
                    .as_ref()
                    .is_some_and(|missing| !missing.iter().any(|m| **m == *name));
            self.with_fanout(task, |fanout, context, calls| {
                if refused.contains(&shard) {
                    fanout.on_handover_refused(shard, false, context);
                } else {
                    let outcome = match (is_answered, ran) {
                        (true, _) => Outcome::Answered,
                        (false, true) => Outcome::Failed,
                        (false, false) => Outcome::NotRun,
                    };
                    fanout.on_handover_outcome(shard, outcome, context, calls);
                }
            });
        }
        self.settle(task);
    }
}
