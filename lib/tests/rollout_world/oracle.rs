//! The checks of a run. They use only the record, the requests and the conclusions of the
//! instances.

use camphorhold::coordination::rollout::Reason;
use camphorhold::coordination::rollout::Stage;
use camphorhold::coordination::rollout::conclusion::Conclusion;
use camphorhold::coordination::rollout::share::Side;
use camphorhold::coordination::rollout::share::position;
use camphorhold::state::id::RolloutId;

/// The stated target for the longest time from a verdict to the last request to the new version, in
/// milliseconds.
const REVOCATION_BOUND_MS: u64 = 2_000;

/// How long two instances may differ while a change of the record spreads, in milliseconds: the
/// longest gossip delay and one tick.
const SPREAD_MS: u64 = 1_500;

/// The state of the checks. Times are in milliseconds of the virtual clock.
pub struct Oracle {
    deadline_ms: u64,
    /// The shares accepted by the store, each with the time until which it was in force.
    accepted: Vec<(u16, u64)>,
    /// The time of the first verdict on the new version that an instance acted on.
    verdict_at: Option<u64>,
    /// Since when instances have had opposite conclusions.
    differ_since: Option<u64>,
    sent: Vec<Sent>,
}

/// The numbers of requests sent while one share was the highest permitted.
struct Sent {
    permitted: u16,
    all: u32,
    new: u32,
}

impl Oracle {
    pub fn new(deadline_ms: u64) -> Self {
        Self {
            deadline_ms,
            accepted: Vec::new(),
            verdict_at: None,
            differ_since: None,
            sent: Vec::new(),
        }
    }

    pub fn note_revocation(&mut self, now: u64) {
        self.verdict_at.get_or_insert(now);
    }

    pub fn note_proposal(&mut self, now: u64, stage: &Stage) {
        let by_verdict = |reason: &Reason| !matches!(reason, Reason::Deadline);
        if matches!(stage, Stage::TakenBack { reason } if by_verdict(reason)) {
            self.verdict_at.get_or_insert(now);
        }
    }

    pub fn note_accepted(&mut self, now: u64, stage: &Stage) {
        let share = stage.share_permille();
        if let Some(last) = self.accepted.last_mut() {
            last.1 = now;
            if last.0 == share {
                return;
            }
        }
        self.accepted.push((share, now));
    }

    /// Returns the highest share that an instance may use now. An earlier share may be in use until
    /// the change has spread.
    fn permitted(&self, now: u64) -> u16 {
        let in_force = |(_, until): &&(u16, u64)| now <= *until + SPREAD_MS;
        let shares = self.accepted.iter().rev().take_while(in_force);
        shares.map(|(share, _)| *share).max().unwrap_or(0)
    }

    /// Checks that the new version gets only requests within the permitted share, and none more
    /// than [`REVOCATION_BOUND_MS`] after a verdict.
    pub fn check_request(
        &mut self,
        now: u64,
        rollout: &RolloutId,
        key: &[u8],
        side: Side,
    ) -> Result<(), String> {
        let permitted = self.permitted(now);
        let mut sent = match self.sent.pop() {
            Some(sent) if sent.permitted == permitted => sent,
            other => {
                self.sent.extend(other);
                Sent {
                    permitted,
                    all: 0,
                    new: 0,
                }
            }
        };
        sent.all += 1;
        sent.new += u32::from(side == Side::New);
        self.sent.push(sent);
        if side == Side::Old {
            return Ok(());
        }
        if position(rollout, key) >= permitted {
            return Err(format!(
                "request sent to the new version above the accepted share {permitted} at {now} ms"
            ));
        }
        if let Some(verdict_at) = self.verdict_at
            && now > verdict_at + REVOCATION_BOUND_MS
        {
            return Err(format!(
                "request sent to the revoked version at {now} ms, verdict at {verdict_at} ms"
            ));
        }
        Ok(())
    }

    /// Checks that current instances have opposite conclusions for at most [`SPREAD_MS`], and that
    /// all of them have concluded at the deadline.
    pub fn check_conclusions(
        &mut self,
        now: u64,
        conclusions: &[Conclusion],
    ) -> Result<(), String> {
        let any = |wanted| conclusions.contains(&wanted);
        if any(Conclusion::Completed) && any(Conclusion::TakenBack) {
            let since = *self.differ_since.get_or_insert(now);
            if now > since + SPREAD_MS {
                return Err(format!(
                    "opposite conclusions of instances from {since} to {now} ms"
                ));
            }
        } else {
            self.differ_since = None;
        }
        let unfinished = conclusions
            .iter()
            .any(|c| matches!(c, Conclusion::Share(_)));
        if now >= self.deadline_ms && unfinished {
            return Err(format!(
                "an instance has no conclusion at {now} ms, after the deadline"
            ));
        }
        Ok(())
    }

    /// Checks that the record states an end, and that each share of requests is within the binomial
    /// bound.
    pub fn at_end(&self, stage: &Stage) -> Result<(), String> {
        if !matches!(stage, Stage::Completed | Stage::TakenBack { .. }) {
            return Err(format!(
                "the stage in the record is {stage} at the end of the run"
            ));
        }
        for sent in &self.sent {
            let (all, share) = (f64::from(sent.all), f64::from(sent.permitted) / 1_000.0);
            // Six standard deviations, which about one in a billion samples exceeds.
            let bound = all * share + 6.0 * (all * share * (1.0 - share)).sqrt() + 1.0;
            if f64::from(sent.new) > bound {
                return Err(format!(
                    "{} of {} requests sent to the new version at share {share}",
                    sent.new, sent.all
                ));
            }
        }
        Ok(())
    }
}
