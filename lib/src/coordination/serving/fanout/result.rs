//! What a request has reached so far, and how it ends.

use std::time::Instant;

use super::Fanout;
use super::message::Reason;
use super::message::Summary;
use super::message::Verdict;
use super::progress::State;
use crate::coordination::merge::Coverage;
use crate::coordination::serving::fleet::LeafKey;

impl Fanout {
    /// Returns how the request ends, or `None` while it has to go on.
    #[must_use]
    pub fn verdict(&self, now: Instant) -> Option<Verdict> {
        let coverage = self.coverage();
        let complete = self.open == 0;
        let due = now >= self.answer_by;
        if self.reaches_minimum() && (complete || due) {
            return Some(Verdict::Answer(coverage));
        }
        let best = Coverage {
            answered: self.answered + self.open,
            in_scope: coverage.in_scope,
        };
        let reason = if !best.reaches(self.min_coverage) {
            Reason::Unavailable
        } else if now >= self.deadline {
            Reason::TimedOut
        } else {
            return None;
        };
        Some(self.give_up_for(reason))
    }

    /// Returns the verdict on a request that cannot get an answer because of what others have
    /// refused.
    #[must_use]
    pub fn give_up(&self) -> Verdict {
        self.give_up_for(Reason::Unavailable)
    }

    fn give_up_for(&self, reason: Reason) -> Verdict {
        Verdict::GiveUp {
            reason,
            may_have_run: self.may_have_run || self.has_calls(),
            coverage: self.coverage(),
        }
    }

    /// Returns how many shards have answered.
    #[must_use]
    pub fn coverage(&self) -> Coverage {
        Coverage {
            answered: self.answered,
            in_scope: u32::try_from(self.shards.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the counts for the metrics and the log line of the request.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let with_state = |answered: bool| {
            (0..self.shards.len())
                .filter(move |shard| (self.shards[*shard].state == State::Answered) == answered)
        };
        Summary {
            coverage: self.coverage(),
            hedges: self.hedges,
            retries: self.retries,
            answered: with_state(true).collect(),
            missing: with_state(false)
                .map(|shard| self.shards[shard].service.clone())
                .collect(),
        }
    }

    pub(super) fn reaches_minimum(&self) -> bool {
        self.coverage().reaches(self.min_coverage)
    }

    pub(super) fn has_calls(&self) -> bool {
        self.shards.iter().any(|progress| !progress.is_idle())
    }

    /// Returns the leafs to which calls were sent.
    pub fn called_leafs(&self) -> impl Iterator<Item = LeafKey> {
        self.shards
            .iter()
            .flat_map(|progress| progress.tried.iter().copied())
    }

    /// Returns whether leafs may have received the request, run or not.
    #[must_use]
    pub fn may_have_called(&self) -> bool {
        let mut shards = self.shards.iter();
        shards.any(|progress| progress.sent_calls > 0 || progress.pending_handovers > 0)
    }
}
