//! Shutdown of a leaving instance. It keeps running until it has sent its releases several times,
//! because it cannot resend a lost release after its process has exited.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::coordination::control::Action;
use crate::coordination::control::Machine;
use crate::coordination::control::Message;
use crate::coordination::control::Mutation;
use crate::coordination::ownership;
use crate::coordination::ownership::Release;
use crate::coordination::ownership::Table;
use crate::state::view::Phase;

/// Time between two transmissions of the releases of a leaving instance.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Number of retransmissions after the first transmission. If the network drops one message in
/// three, one release in 700 is lost.
const REPEATS: u32 = 5;

/// The most recently sent releases, and how many retransmissions remain.
#[derive(Debug, Default)]
pub(super) struct Handover {
    releases: Vec<(SocketAddr, Release)>,
    repeats: u32,
    next: Option<Instant>,
}

impl Handover {
    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        self.next
    }
}

impl Machine {
    /// Whether this instance is leaving and the applied record no longer lists it.
    pub(super) fn has_departed(&self) -> bool {
        self.phase == Phase::Leaving && self.applied.member(self.me.instance).is_none()
    }

    /// Releases the leafs that the newly applied record assigns to other instances.
    pub(super) fn release(&mut self, old: &Table, now: Instant, actions: &mut Vec<Action>) {
        let releases = ownership::releases(old, &self.table, now).into_iter();
        let releases = releases.filter_map(|(owner, release)| {
            let member = self.applied.member(owner)?;
            Some((member.address, release))
        });
        let releases: Vec<_> = releases.collect();
        send_releases(&releases, actions);
        // A departed instance owns no leafs, so later records produce no releases. Keep the first
        // ones for retransmission.
        if self.handover.next.is_none() {
            self.handover.releases = releases;
        }
    }

    /// Schedules the transition to [`Phase::Left`] if the newly applied record no longer lists this
    /// leaving instance.
    pub(super) fn schedule_leave(&mut self, now: Instant) {
        if !self.has_departed() || self.handover.next.is_some() {
            return;
        }
        let has_releases = !self.handover.releases.is_empty();
        self.handover.repeats = if has_releases { REPEATS } else { 0 };
        self.handover.next = Some(now + REPEAT_INTERVAL);
    }

    /// Resends the releases, and enters [`Phase::Left`] after the last retransmission. The new
    /// phase is published after the other actions of this input, so that the process does not exit
    /// before the control thread has executed them.
    pub(super) fn continue_leaving(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.handover.next.is_none_or(|next| now < next) {
            return;
        }
        if self.handover.repeats == 0 {
            self.handover.next = None;
            self.phase = Phase::Left;
            return;
        }
        self.handover.repeats -= 1;
        self.handover.next = Some(now + REPEAT_INTERVAL);
        if self.settings.mutation != Mutation::ReleasesSentOnce {
            send_releases(&self.handover.releases, actions);
        }
    }
}

fn send_releases(releases: &[(SocketAddr, Release)], actions: &mut Vec<Action>) {
    for (address, release) in releases {
        actions.push(Action::SendTo {
            address: *address,
            message: Message::Release(release.clone()),
        });
    }
}
