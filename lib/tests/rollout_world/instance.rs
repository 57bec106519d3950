//! An instance and the messages that it receives.

use camphorhold::coordination::rollout::Stage;
use camphorhold::coordination::rollout::conclusion::Observer;
use camphorhold::coordination::rollout::driver::Driver;
use camphorhold::coordination::rollout::evidence::Pool;
use camphorhold::coordination::rollout::evidence::Recorder;
use camphorhold::coordination::rollout::evidence::Report;
use camphorhold::state::id::InstanceId;

/// A message to an instance.
#[derive(Clone)]
pub enum Message {
    Record(Record),
    Revoked,
    Report(InstanceId, Report),
}

/// The part of the control record that concerns the rollout.
#[derive(Clone)]
pub struct Record {
    pub generation: u64,
    pub stage: Stage,
    /// The index of the instance that drives the rollout.
    pub driver: usize,
    pub revoked: bool,
}

/// The state of one instance. Times are in milliseconds of the virtual clock.
pub struct Instance {
    pub id: InstanceId,
    /// How far the instance's clock is ahead.
    pub clock_offset_ms: u64,
    /// The latest record received; `None` before the first one.
    pub record: Option<Record>,
    /// Whether the instance knows that the new version is revoked.
    pub revoked: bool,
    pub observer: Observer,
    pub driver: Driver,
    pub recorder: Recorder,
    pub pool: Pool,
    /// Messages that have not been processed, with the time of their arrival.
    pub inbox: Vec<(u64, Message)>,
    /// When the instance last ran and its record was confirmed as current.
    pub confirmed_at: u64,
    pub paused_until: u64,
}

impl Instance {
    /// Processes the messages that have arrived.
    pub fn receive(&mut self, now: u64) {
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.inbox)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.inbox = waiting;
        for (_, message) in due {
            match message {
                Message::Record(record) => {
                    self.revoked |= record.revoked;
                    let held = self.record.as_ref().map_or(0, |held| held.generation);
                    if record.generation > held {
                        self.record = Some(record);
                    }
                }
                Message::Revoked => self.revoked = true,
                Message::Report(id, report) => {
                    self.pool.merge(id, &report);
                }
            }
        }
    }
}
