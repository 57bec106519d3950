//! Processes that compete for a duty, and their store, in virtual time.

mod process;
mod random;
mod store;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use camphorhold::coordination::serving::duty::Action;
use camphorhold::coordination::serving::duty::ClaimOutcome;
use camphorhold::coordination::serving::duty::Epoch;
use camphorhold::coordination::serving::duty::Grant;
use camphorhold::coordination::serving::duty::RenewalOutcome;
use camphorhold::coordination::serving::duty::Right;
use camphorhold::coordination::serving::duty::Times;
use camphorhold::coordination::serving::usage::WindowId;
use camphorhold::coordination::serving::usage::counts::ByCustomer;
use camphorhold::coordination::serving::usage::report;
use camphorhold::coordination::serving::usage::report::PostOutcome;

use process::Process;
use random::Random;
use store::Call;
use store::Items;
use store::Reply;
use store::Request;
use store::Store;

const STEP: Duration = Duration::from_millis(10);
const LEASE: Duration = Duration::from_secs(3);
const TIMES: Times = Times {
    lease: LEASE,
    thaw: Duration::from_millis(300),
};
const WINDOW: Duration = Duration::from_secs(5);
const DELAY: Duration = Duration::from_secs(10);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const NAMES: [&str; 3] = ["a", "b", "c"];
/// The true time at the start, since the start of 1970.
const UNIX: Duration = Duration::from_secs(1_000_000);

/// The last time that something was done under a name.
struct Act {
    at: Duration,
    epoch: Epoch,
}

/// The store, the processes and what they have done.
pub struct World {
    seed: u64,
    random: Random,
    has_faults: bool,
    now: Duration,
    store: Store,
    copies: VecDeque<(Duration, Items)>,
    processes: Vec<Process>,
    last_acts: BTreeMap<&'static str, Act>,
    last_act: Option<(Epoch, &'static str)>,
    holders: BTreeMap<Epoch, (&'static str, u64)>,
    incarnations: BTreeMap<&'static str, u64>,
    contents: BTreeMap<WindowId, ByCustomer>,
    late_calls: Vec<(Duration, Request)>,
}

impl World {
    /// Creates a world with random faults.
    pub fn new(seed: u64) -> Self {
        let mut random = Random(seed);
        let processes = NAMES
            .iter()
            .map(|name| Process::start(name, &mut random, Duration::ZERO))
            .collect();
        Self {
            seed,
            random,
            has_faults: true,
            now: Duration::ZERO,
            store: Store {
                era: 1,
                items: Items {
                    revision: 10,
                    holder: None,
                    epoch: None,
                    ledger: None,
                },
                leases: BTreeMap::new(),
                next_lease: 0,
            },
            copies: VecDeque::new(),
            processes,
            last_acts: BTreeMap::new(),
            last_act: None,
            holders: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            contents: BTreeMap::new(),
            late_calls: Vec::new(),
        }
    }

    /// Creates a world in which nothing fails.
    pub fn without_faults(seed: u64) -> Self {
        Self {
            has_faults: false,
            ..Self::new(seed)
        }
    }

    /// Returns the number of windows that were reported.
    pub fn windows_reported(&self) -> usize {
        self.contents.len()
    }

    /// Returns the number of epochs in which something was done.
    pub fn epochs_used(&self) -> usize {
        self.holders.len()
    }

    /// Returns the number of windows between the first and the last reported ones that were not
    /// reported.
    pub fn gaps(&self) -> u64 {
        let first = self.contents.keys().next().map_or(0, |first| first.0);
        let last = self.contents.keys().next_back().map_or(0, |last| last.0);
        let reported: BTreeSet<u64> = self.contents.keys().map(|window| window.0).collect();
        (first..=last)
            .filter(|window| !reported.contains(window))
            .count() as u64
    }

    /// Runs until this time.
    pub fn run(&mut self, until: Duration) {
        while self.now < until {
            self.now += STEP;
            self.store.expire(self.now);
            self.run_late_calls();
            if self.has_faults {
                self.inject_faults();
            }
            self.publish();
            for index in 0..self.processes.len() {
                if self.processes[index].suspended_until <= self.now {
                    self.step(index);
                }
            }
        }
    }

    fn run_late_calls(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.late_calls)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late_calls = later;
        for (_, request) in due {
            self.store.execute(&request, now);
        }
    }

    fn inject_faults(&mut self) {
        if self.now.as_millis().is_multiple_of(500) {
            self.copies.push_back((self.now, self.store.items.clone()));
            if self.copies.len() > 12 {
                self.copies.pop_front();
            }
        }
        if self.random.chance(1) && self.random.chance(250) && !self.copies.is_empty() {
            let chosen = self.random.below(self.copies.len() as u64);
            let (_, items) = self.copies[usize::try_from(chosen).unwrap()].clone();
            self.copies.clear();
            self.store.era += 1;
            self.store.items = items;
            self.store.leases.clear();
            // Ids of leases are given out again.
            self.store.next_lease = 0;
            // An item without a lease stays.
            if let Some(holder) = &mut self.store.items.holder {
                holder.2 = 0;
            }
        }
        for index in 0..self.processes.len() {
            let is_holder = self.processes[index]
                .duty
                .held_epoch(self.processes[index].local(self.now))
                .is_some();
            // Faults hit holders more often.
            if !self.random.chance(if is_holder { 4 } else { 1 }) {
                continue;
            }
            match self.random.below(4) {
                0 => {
                    let until = self.now + self.random.millis(8_000);
                    self.processes[index].suspended_until = until;
                }
                1 => self.processes[index].cut_until = self.now + self.random.millis(8_000),
                2 => {
                    let name = self.processes[index].name;
                    *self.incarnations.entry(name).or_default() += 1;
                    let now = self.now;
                    self.processes[index] = Process::start(name, &mut self.random, now);
                }
                _ => {}
            }
        }
    }

    /// Sends what the store holds to all processes.
    fn publish(&mut self) {
        for process in &mut self.processes {
            if process.cut_until > self.now {
                continue;
            }
            let is_new = process.watch.back().is_none_or(|(_, era, items)| {
                (*era, items.revision) != (self.store.era, self.store.items.revision)
            });
            let is_seen = process.watch.is_empty()
                && process.era == self.store.era
                && process
                    .seen
                    .as_ref()
                    .is_some_and(|seen| seen.revision == self.store.items.revision);
            if is_new && !is_seen {
                let delay = if self.has_faults {
                    self.random.millis(600)
                } else {
                    STEP
                };
                let last = process.watch.back().map_or(self.now, |(at, _, _)| *at);
                let at = (self.now + delay).max(last);
                let snapshot = (at, self.store.era, self.store.items.clone());
                process.watch.push_back(snapshot);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let unix = UNIX + now;
        let local = self.processes[index].local(now);
        while let Some((at, era, items)) = self.processes[index].watch.front().cloned()
            && at <= now
        {
            self.processes[index].watch.pop_front();
            self.processes[index].apply(era, &items, local, unix);
        }
        self.step_duty(index, local);
        self.step_report(index, local, unix);
    }

    /// Lets the store carry out the call whose time has come, and returns the ended call.
    fn advance(&mut self, call: &mut Option<Call>) -> Option<Call> {
        let current = call.as_mut()?;
        if let Some(at) = current.executes_at
            && at <= self.now
        {
            current.executes_at = None;
            let reply = self.store.execute(&current.request, self.now);
            // The answer may be lost.
            if !(self.has_faults && self.random.chance(60)) {
                current.reply = Some((self.store.era, reply));
                current.answer_at = self.now + STEP;
            }
        }
        if current.answer_at > self.now {
            return None;
        }
        let ended = call.take()?;
        // A call that has timed out may be carried out later.
        if let Some(at) = ended.executes_at {
            self.late_calls.push((at, ended.request.clone()));
        }
        Some(ended)
    }

    fn call(&mut self, index: usize, request: Request, local: Duration) -> Call {
        let is_cut = self.processes[index].cut_until > self.now;
        let delay = match self.random.below(40) {
            _ if !self.has_faults => STEP,
            0 => self.random.millis(2_500),
            _ => self.random.millis(40),
        };
        Call {
            request,
            sent: local,
            answer_at: self.now + CALL_TIMEOUT,
            reply: None,
            executes_at: (!is_cut).then_some(self.now + delay),
        }
    }

    fn step_duty(&mut self, index: usize, local: Duration) {
        let mut call = self.processes[index].call.take();
        if call.is_some() {
            let ended = self.advance(&mut call);
            self.processes[index].call = call;
            if let Some(ended) = ended {
                self.on_duty_call(index, ended, local);
            }
            return;
        }
        let rank = u32::try_from(index).ok();
        let process = &mut self.processes[index];
        let era = process.era;
        let request = match process.duty.next(rank, era, local) {
            Action::Wait(_) => return,
            Action::RequestLease => Request::Grant,
            Action::Resolve => Request::Read,
            Action::Renew(lease) => Request::Renew(lease),
        };
        let call = self.call(index, request, local);
        self.processes[index].call = Some(call);
    }

    fn on_duty_call(&mut self, index: usize, call: Call, local: Duration) {
        let known_era = self.processes[index].era;
        let attempt = self.random.next();
        // A reply of another era is reported as a restore.
        let is_restored = call
            .reply
            .as_ref()
            .is_some_and(|reply| reply.0 != known_era);
        let reply = call.reply.map(|reply| reply.1);
        let process = &mut self.processes[index];
        match (call.request, reply) {
            (Request::Grant, Some(Reply::Granted(lease))) if !is_restored => {
                let grant = Grant {
                    lease,
                    lifetime: LEASE,
                    sent: call.sent,
                    era: known_era,
                };
                if let Some(claim) = process.duty.claim(grant, attempt) {
                    let call = self.call(index, Request::Claim(claim), local);
                    self.processes[index].call = Some(call);
                }
            }
            (Request::Grant, _) => process.duty.on_grant_failed(local),
            (Request::Claim(_), _) if is_restored => {
                process.duty.on_claim(ClaimOutcome::Refused, local);
            }
            (Request::Claim(_), Some(Reply::Written(revision))) => {
                process
                    .duty
                    .on_claim(ClaimOutcome::Written(revision), local);
            }
            (Request::Claim(_), Some(_)) => {
                let items = self.store.items.clone();
                process.apply_items(&items, local);
                process.duty.on_claim(ClaimOutcome::Refused, local);
            }
            (Request::Claim(_), None) => process.duty.on_claim(ClaimOutcome::Unknown, local),
            (Request::Renew(_), Some(Reply::Renewed)) if !is_restored => {
                process
                    .duty
                    .on_renewal(RenewalOutcome::Renewed, call.sent, local);
            }
            (Request::Renew(_), Some(_)) => {
                process
                    .duty
                    .on_renewal(RenewalOutcome::Gone, call.sent, local);
            }
            (Request::Renew(_), None) => {
                process
                    .duty
                    .on_renewal(RenewalOutcome::Unknown, call.sent, local);
            }
            (Request::Read, Some(_)) if is_restored => process.duty.on_grant_failed(local),
            (Request::Read, Some(Reply::Items(items))) => {
                process.apply_items(&items, local);
                process.duty.on_resolved(true, local);
            }
            (Request::Read | Request::Finalize(_), _) => process.duty.on_resolved(false, local),
        }
    }

    fn step_report(&mut self, index: usize, local: Duration, unix: Duration) {
        let Some(right) = self.processes[index].duty.right(local) else {
            // Given up; the store may carry it out nevertheless.
            if let Some(call) = self.processes[index].write.take()
                && let Some(at) = call.executes_at
            {
                self.late_calls.push((at, call.request));
            }
            return;
        };
        let mut write = self.processes[index].write.take();
        if write.is_some() {
            let ended = self.advance(&mut write);
            self.processes[index].write = write;
            if let Some(ended) = ended {
                self.on_write(index, ended, right, local);
            }
            return;
        }
        if self.processes[index].next_act > self.now {
            return;
        }
        self.processes[index].next_act = self.now + Duration::from_millis(100);
        self.act(index, right);
        let action = self.processes[index].reporter.next(right, local, unix);
        match action {
            report::Action::Wait => {}
            report::Action::Finalize(window) => {
                // Each attempt has counts of its own.
                let counts = ByCustomer::from([("acme".into(), self.random.next() >> 1)]);
                let write = self.processes[index]
                    .reporter
                    .finalize(window, counts, right);
                let call = self.call(index, Request::Finalize(write), local);
                self.processes[index].write = Some(call);
            }
            report::Action::Post { window, counts, .. } => {
                let first = self
                    .contents
                    .entry(window)
                    .or_insert_with(|| counts.clone());
                assert_eq!(*first, counts, "seed {}, window {window:?}", self.seed);
                let outcome = if self.has_faults && self.random.chance(300) {
                    PostOutcome::Unknown
                } else {
                    PostOutcome::Taken
                };
                let reporter = &mut self.processes[index].reporter;
                reporter.on_post(window);
                reporter.on_posted(window, outcome, local);
            }
        }
    }

    fn on_write(&mut self, index: usize, call: Call, right: Right, local: Duration) {
        let process = &mut self.processes[index];
        let is_restored = call
            .reply
            .as_ref()
            .is_some_and(|reply| reply.0 != right.era);
        match (call.request, call.reply) {
            (_, Some(_)) if is_restored => {
                process.duty.on_renewal(RenewalOutcome::Gone, local, local);
            }
            (Request::Finalize(write), Some((_, Reply::Written(revision)))) => {
                process.reporter.on_written(write, revision);
            }
            (Request::Finalize(_), None) => {
                process.reporter.on_write_failed(local);
                let call = self.call(index, Request::Read, local);
                self.processes[index].write = Some(call);
            }
            (Request::Finalize(_), Some(_)) => {
                let items = self.store.items.clone();
                process.apply_items(&items, local);
            }
            (_, Some((_, Reply::Items(items)))) => process.apply_items(&items, local),
            _ => {}
        }
    }

    /// Records something that the holder does, and checks the rules.
    fn act(&mut self, index: usize, right: Right) {
        let name = self.processes[index].name;
        let seed = self.seed;
        let now = self.now;
        let incarnation = self.incarnations.get(name).copied().unwrap_or_default();
        let holder = self
            .holders
            .entry(right.epoch)
            .or_insert((name, incarnation));
        assert_eq!(
            *holder,
            (name, incarnation),
            "seed {seed}: two holders of an epoch"
        );
        if let Some((epoch, last)) = self.last_act {
            assert!(
                right.epoch >= epoch,
                "seed {seed}: the epoch falls at {now:?}"
            );
            if last != name
                && let Some(own) = self.last_acts.get(name)
            {
                let since = now.saturating_sub(own.at);
                assert!(
                    since >= LEASE,
                    "seed {seed}: {name}, {last}, {name} within {since:?}"
                );
                assert!(own.epoch < right.epoch, "seed {seed}: the same epoch again");
            }
        }
        self.last_act = Some((right.epoch, name));
        let act = Act {
            at: now,
            epoch: right.epoch,
        };
        self.last_acts.insert(name, act);
    }
}
