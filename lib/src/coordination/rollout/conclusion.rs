//! Decides where an instance sends traffic, based on its own view of the record and the time.

use std::time::Duration;
use std::time::SystemTime;

use super::Stage;

/// How long the view of an instance counts as current after its last confirmation. Equal to the
/// default currency bound.
const CURRENCY_BOUND: Duration = Duration::from_secs(3);

/// The view that an instance has of a rollout at one time.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The stage in the record that the instance holds.
    pub stage: &'a Stage,
    /// Whether the new version is revoked for any service of the rollout.
    pub revoked: bool,
    /// Whether the record that the instance holds is confirmed as current.
    pub current: bool,
}

/// Where an instance sends the traffic of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// Sends this share of the traffic, in thousandths, to the new version.
    Share(u16),
    /// Sends all traffic to the new version.
    Completed,
    /// Sends all traffic to the old version.
    TakenBack,
    /// Follows the operators' file, which no longer contains the rollout.
    Retired,
}

impl Conclusion {
    /// Returns the share of the new version, in thousandths; 0 for a retired rollout.
    #[must_use]
    pub fn share_permille(self) -> u16 {
        match self {
            Self::Share(share) => share,
            Self::Completed => super::FULL_SHARE,
            Self::TakenBack | Self::Retired => 0,
        }
    }
}

/// Records the view of an instance when the deadline passed. It belongs to one rollout with one
/// deadline; a rollout whose deadline has changed needs a new observer.
///
/// An instance that was current at the deadline and had seen no completion concludes that the
/// rollout is taken back, and ignores any completion that it learns of later: a completion accepted
/// in time would have reached it. An instance that was not current then, for instance because it
/// was partitioned or started later, follows the record.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    last_unfinished_at: Option<SystemTime>,
    missed_deadline: bool,
}

impl Observer {
    /// Returns the conclusion from the current view. Must be called at every change of the record,
    /// and at least once a second.
    pub fn conclude(
        &mut self,
        view: View<'_>,
        deadline: SystemTime,
        wall: SystemTime,
    ) -> Conclusion {
        let unfinished = matches!(view.stage, Stage::Pending | Stage::Running { .. });
        if wall >= deadline {
            let confirmed_at = self.last_unfinished_at.take();
            let was_current =
                confirmed_at.is_some_and(|confirmed_at| wall <= confirmed_at + CURRENCY_BOUND);
            self.missed_deadline |= was_current || (unfinished && view.current);
        } else {
            self.last_unfinished_at = (unfinished && view.current).then_some(wall);
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

    /// Returns whether the instance ignores completions because the deadline passed without one.
    #[must_use]
    pub fn missed_deadline(&self) -> bool {
        self.missed_deadline
    }
}
