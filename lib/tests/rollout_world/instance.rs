//! One instance and the messages that it receives.

use camphorhold::coordination::rollout::Stage;
use camphorhold::coordination::rollout::conclusion::Observer;
use camphorhold::coordination::rollout::driver::Driver;
use camphorhold::coordination::rollout::evidence::Pool;
use camphorhold::coordination::rollout::evidence::Recorder;
use camphorhold::coordination::rollout::evidence::Report;
use camphorhold::state::id::InstanceId;

#[derive(Clone)]
pub enum Message {
    Record(Record),
    Revoked,
    Report(InstanceId, Report),
}

#[derive(Clone)]
pub struct Record {
    pub generation: u64,
    pub stage: Stage,
    pub driver: usize,
    pub revoked: bool,
}

pub struct Instance {
    pub id: InstanceId,
    pub clock_offset_ms: u64,
    pub record: Option<Record>,
    pub revoked: bool,
    pub observer: Observer,
    pub driver: Driver,
    pub recorder: Recorder,
    pub pool: Pool,
    pub inbox: Vec<(u64, Message)>,
    pub heard_at: u64,
    pub paused_until: u64,
}

impl Instance {
    /// Takes the messages that have arrived.
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
