//! The end of an instance that leaves: it stays until its releases have been sent, and sends them
//! more than once, because an instance that has ended cannot repeat one that was lost.

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

/// Between two copies of the releases of an instance that leaves.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Copies after the first one. With one message in three lost, one release in 700 is lost.
const REPEATS: u32 = 5;

/// The releases sent last, and how often they are to be repeated.
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
    /// Tells whether this instance leaves and the record in force does not list it any more.
    pub(super) fn has_departed(&self) -> bool {
        self.phase == Phase::Leaving && self.applied.member(self.me.instance).is_none()
    }

    /// Hands over what the record just applied gives to others.
    pub(super) fn release(&mut self, old: &Table, now: Instant, actions: &mut Vec<Action>) {
        let releases = ownership::releases(old, &self.table, now).into_iter();
        let releases = releases.filter_map(|(owner, release)| {
            let member = self.applied.member(owner)?;
            Some((member.address, release))
        });
        let releases: Vec<_> = releases.collect();
        send_releases(&releases, actions);
        // An instance that has departed owns nothing, and goes on with the first releases.
        if self.handover.next.is_none() {
            self.handover.releases = releases;
        }
    }

    /// Prepares the end of this instance if the record just applied does not list it any more.
    pub(super) fn leave_later(&mut self, now: Instant) {
        if !self.has_departed() || self.handover.next.is_some() {
            return;
        }
        let lasting = !self.handover.releases.is_empty();
        self.handover.repeats = if lasting { REPEATS } else { 0 };
        self.handover.next = Some(now + REPEAT_INTERVAL);
    }

    /// Repeats the releases, and leaves after the last copy. The phase is published after the
    /// actions of this input, so that the process does not end before they were carried out.
    pub(super) fn go_on_leaving(&mut self, now: Instant, actions: &mut Vec<Action>) {
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
