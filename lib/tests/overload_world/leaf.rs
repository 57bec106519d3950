//! A leaf with two slots and a queue, which pauses now and then.

use std::collections::VecDeque;

const SLOTS: usize = 2;
const QUEUE: usize = 12;

/// All times are in microseconds.
pub const PAUSE_EVERY: u64 = 6_000_000;
const PAUSE: u64 = 250_000;
pub const PAUSE_SHARE: f64 = PAUSE as f64 / PAUSE_EVERY as f64;

pub struct Leaf {
    speed: f64,
    // When the first pause begins; `None` for a leaf without pauses.
    phase: Option<u64>,
    running: Vec<usize>,
    queue: VecDeque<usize>,
}

impl Leaf {
    pub fn new(speed: f64, phase: Option<u64>) -> Self {
        Self {
            speed,
            phase,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Queues a call. Returns false if the leaf refuses it.
    pub fn accept(&mut self, call: usize) -> bool {
        let has_room = self.queue.len() < QUEUE;
        if has_room {
            self.queue.push_back(call);
        }
        has_room
    }

    /// Takes the next call from the queue if a slot is free.
    pub fn next_job(&mut self) -> Option<usize> {
        (self.running.len() < SLOTS).then(|| self.queue.pop_front())?
    }

    /// Starts a call, and returns when it ends.
    pub fn start(&mut self, call: usize, now: u64, work: f64) -> u64 {
        self.running.push(call);
        let end = now + (work / self.speed) as u64;
        let Some(phase) = self.phase else {
            return end;
        };
        let since_pause = (now + PAUSE_EVERY - phase) % PAUSE_EVERY;
        if since_pause < PAUSE {
            return end + PAUSE - since_pause;
        }
        let overlaps = since_pause + (end - now) > PAUSE_EVERY;
        if overlaps { end + PAUSE } else { end }
    }

    /// Returns whether the call was still running.
    pub fn on_done(&mut self, call: usize) -> bool {
        let before = self.running.len();
        self.running.retain(|running| *running != call);
        self.running.len() < before
    }
}
