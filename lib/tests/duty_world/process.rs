//! One process of the world.

use std::collections::VecDeque;
use std::time::Duration;

use camphorhold::coordination::serving::Duty;
use camphorhold::coordination::serving::usage::Reporter;
use camphorhold::coordination::serving::usage::Windows;

use super::DELAY;
use super::TIMES;
use super::UNIX;
use super::WINDOW;
use super::random::Random;
use super::store::Call;
use super::store::Items;

pub struct Process {
    pub name: &'static str,
    // Local time is true time times this, in parts of 10,000, plus the offset.
    pub speed: u32,
    pub offset: Duration,
    pub duty: Duty,
    pub reporter: Reporter,
    pub era: u64,
    pub call: Option<Call>,
    // Calls of the report, beside those of the duty.
    pub write: Option<Call>,
    pub suspended_until: Duration,
    pub cut_until: Duration,
    // Snapshots of the store with the times at which they arrive.
    pub watch: VecDeque<(Duration, u64, Items)>,
    pub next_act: Duration,
    pub seen: Option<Items>,
}

impl Process {
    pub fn start(name: &'static str, random: &mut Random, now: Duration) -> Self {
        let speed = 9_900 + u32::try_from(random.below(200)).unwrap();
        let offset = random.millis(1_000_000);
        let local = offset + now * speed / 10_000;
        let unix = UNIX + now;
        let windows = Windows::new(WINDOW);
        Self {
            name,
            speed,
            offset,
            duty: Duty::new(name.into(), TIMES, local),
            reporter: Reporter::new(windows, DELAY, unix),
            era: 0,
            call: None,
            write: None,
            suspended_until: now,
            cut_until: now,
            watch: VecDeque::new(),
            next_act: now,
            seen: None,
        }
    }

    pub fn local(&self, now: Duration) -> Duration {
        self.offset + now * self.speed / 10_000
    }

    pub fn apply(&mut self, era: u64, items: &Items, now: Duration, unix: Duration) {
        if era > self.era {
            if self.era > 0 {
                self.duty.on_restored(now);
                self.reporter.on_restored(unix);
            }
            self.era = era;
            self.seen = None;
        }
        if era < self.era
            || self
                .seen
                .as_ref()
                .is_some_and(|seen| seen.revision > items.revision)
        {
            return;
        }
        self.apply_items(items, now);
        let seen = self.seen.replace(items.clone());
        if items.holder.is_none() && seen.is_none_or(|seen| seen.holder.is_some()) {
            self.duty.on_holder_removed(Some(items.revision), now);
        }
        self.duty.on_listed(now);
    }

    pub fn apply_items(&mut self, items: &Items, now: Duration) {
        if let Some((holder, revision, _)) = &items.holder {
            self.duty.on_holder(holder.clone(), *revision, now);
        }
        if let Some((epoch, name, revision)) = &items.epoch {
            self.duty.on_epoch(*epoch, name.clone(), *revision);
        }
        if let Some((ledger, revision)) = &items.ledger {
            self.reporter.on_ledger(ledger.clone(), *revision);
        }
    }
}
