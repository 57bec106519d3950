//! What an instance concludes about a rollout from its own view of the record and the time.

use std::time::Duration;
use std::time::SystemTime;

use super::Stage;

/// How long an instance's view counts as current after it was last confirmed. Equal to the
/// default of the currency bound.
const CURRENCY_BOUND: Duration = Duration::from_secs(3);

/// What an instance knows about a rollout at one time.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The stage in the record that the instance holds.
    pub stage: &'a Stage,
    /// Whether the new version is revoked for any service of the rollout.
    pub revoked: bool,
    /// Whether the instance can show that its record is current.
    pub current: bool,
}

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// Sends a share of traffic, in thousandths, to the new version.
    Share(u16),
    /// Sends all traffic to the new version.
    Completed,
    /// Sends all traffic to the old version.
    TakenBack,
    /// Follows the file: the rollout is no part of it any more.
    Retired,
}

impl Conclusion {
    /// Returns the share of the new version, in thousandths.
    #[must_use]
    pub fn share_permille(self) -> u16 {
        match self {
            Self::Share(share) => share,
            Self::Completed => super::FULL_SHARE,
            Self::TakenBack | Self::Retired => 0,
        }
    }
}

/// Remembers what an instance knew when the deadline passed. It belongs to one rollout with one
/// deadline; a rollout whose deadline was changed needs a new one.
///
/// An instance that was current at the deadline and knew of no completion concludes "taken back"
/// and ignores any completion learned later: being current, it would have known of one accepted
/// in time. An instance that was not current then, for instance because it was cut off or
/// started later, cannot know and follows the record.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    unfinished_at: Option<SystemTime>,
    missed_deadline: bool,
}

impl Observer {
    /// Concludes from the present view. Call it at every change of the record, and at least once
    /// a second.
    pub fn conclude(
        &mut self,
        view: View<'_>,
        deadline: SystemTime,
        wall: SystemTime,
    ) -> Conclusion {
        let unfinished = matches!(view.stage, Stage::Pending | Stage::Running { .. });
        if wall >= deadline {
            let seen = self.unfinished_at.take();
            let was_current = seen.is_some_and(|seen| wall <= seen + CURRENCY_BOUND);
            self.missed_deadline |= was_current || (unfinished && view.current);
        } else {
            self.unfinished_at = (unfinished && view.current).then_some(wall);
        }
        match view.stage {
            Stage::Retired => Conclusion::Retired,
            _ if view.revoked || self.missed_deadline => Conclusion::TakenBack,
            Stage::TakenBack { .. } => Conclusion::TakenBack,
            Stage::Completed => Conclusion::Completed,
            Stage::Pending | Stage::Running { .. } if wall >= deadline => Conclusion::TakenBack,
            Stage::Pending => Conclusion::Share(0),
            Stage::Running { share_permille, .. } => Conclusion::Share(*share_permille),
        }
    }

    /// Tells whether the instance ignores a completion because the deadline passed without one.
    #[must_use]
    pub fn missed_deadline(&self) -> bool {
        self.missed_deadline
    }
}
