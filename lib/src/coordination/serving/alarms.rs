//! Requests under which leafs may just have ended, as instances tell each other at once.
//!
//! Whether a request has ended leafs is known only after a while, and the record of it
//! ([`super::suspects`]) is read by all instances up to two seconds later. Its caller tries again at
//! another instance within milliseconds. Until the record decides, an alarm makes the instances
//! careful: the request is sent to one leaf first, or to none for a moment if another leaf, to which
//! it was sent on purpose, was lost as well, or if it has ended leafs and failed.
//!
//! An alarm is no evidence against a request: it ends by itself, and with the first leaf that
//! survives the request.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::state::id::Fingerprint;

/// How long no leaf gets a request after a confirmed loss. Finding out whether leafs have ended
/// takes 0.3 s, and reading the record up to the pause between two watches.
const HOLD: Duration = Duration::from_secs(2);

/// How long a request goes to one leaf first after a loss.
const RETENTION: Duration = Duration::from_secs(30);

/// The most alarms that an instance tells the others of in one second. When a failure domain is
/// lost, each query in progress may raise one.
const MAX_TOLD_PER_SECOND: u32 = 10;

/// What the loss of connections under a request says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Connections to leafs were lost, and none has survived the request.
    Suspected,
    /// So was the connection to a leaf to which it was sent to find out; or a query over several shards
    /// has failed with no survivor, and leafs have ended under it.
    Confirmed,
}

/// How an attempt has to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caution {
    /// As any other one.
    Free,
    /// A leaf has to survive the request before it is sent to another one.
    OneLeafFirst,
    /// Not at all before this time.
    Hold {
        /// When the request may be sent again.
        until: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
struct Alarm {
    level: Level,
    raised_at: Instant,
}

impl Alarm {
    fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.raised_at) >= RETENTION
    }
}

/// The alarms that one instance has raised or heard of.
#[derive(Clone, Debug)]
pub struct Alarms {
    capacity: usize,
    by_fingerprint: HashMap<Fingerprint, Alarm>,
    // The start of the current second, and the alarms told of in it.
    told: Option<(Instant, u32)>,
}

impl Alarms {
    /// Creates a registry for up to `capacity` alarms. If it is full, the oldest gives way.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            by_fingerprint: HashMap::new(),
            told: None,
        }
    }

    /// Returns whether there are no alarms.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// Records a loss under a request at this instance. Returns whether the others have to be told.
    pub fn on_loss(&mut self, fingerprint: Fingerprint, level: Level, now: Instant) -> bool {
        let is_news = self.by_fingerprint.get(&fingerprint).is_none_or(|alarm| {
            alarm.is_over(now) || level > alarm.level || is_held_again(*alarm, level, now)
        });
        self.on_told(fingerprint, level, now);
        is_news && self.may_tell(now)
    }

    /// Records the alarm of another instance.
    pub fn on_told(&mut self, fingerprint: Fingerprint, level: Level, now: Instant) {
        self.make_room(fingerprint, now);
        let alarm = self.by_fingerprint.entry(fingerprint).or_insert(Alarm {
            level,
            raised_at: now,
        });
        if alarm.is_over(now) || level >= alarm.level {
            *alarm = Alarm {
                level,
                raised_at: now,
            };
        }
    }

    /// Drops the alarm about a request: a leaf has survived it, or the connections were lost for
    /// another reason. Returns whether there was one, which the others then have to drop as well.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.by_fingerprint.remove(&fingerprint).is_some()
    }

    /// Returns how an attempt has to be made.
    #[must_use]
    pub fn caution(&self, fingerprint: Fingerprint, now: Instant) -> Caution {
        match self.by_fingerprint.get(&fingerprint) {
            Some(alarm) if !alarm.is_over(now) => {
                let until = alarm.raised_at + HOLD;
                if alarm.level == Level::Confirmed && now < until {
                    Caution::Hold { until }
                } else {
                    Caution::OneLeafFirst
                }
            }
            _ => Caution::Free,
        }
    }

    fn may_tell(&mut self, now: Instant) -> bool {
        let second = Duration::from_secs(1);
        let (start, told) = self
            .told
            .filter(|(start, _)| now.saturating_duration_since(*start) < second)
            .unwrap_or((now, 0));
        self.told = Some((start, told + 1));
        told < MAX_TOLD_PER_SECOND
    }

    fn make_room(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.by_fingerprint.len() < self.capacity
            || self.by_fingerprint.contains_key(&fingerprint)
        {
            return;
        }
        self.by_fingerprint.retain(|_, alarm| !alarm.is_over(now));
        if self.by_fingerprint.len() >= self.capacity {
            let oldest = self
                .by_fingerprint
                .iter()
                .min_by_key(|(_, alarm)| alarm.raised_at);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|oldest| self.by_fingerprint.remove(&oldest));
        }
    }
}

/// Returns whether a confirmed loss comes after the hold of the one before.
fn is_held_again(alarm: Alarm, level: Level, now: Instant) -> bool {
    level == Level::Confirmed && now.saturating_duration_since(alarm.raised_at) >= HOLD
}
