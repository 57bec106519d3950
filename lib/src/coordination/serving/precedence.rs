//! Which requests give way while there is no room for all.
//!
//! A client may send any number of requests behind one that is in progress. Each of them is there at
//! the moment at which the one before has been answered, so such clients would take all of the room
//! that becomes free, and callers that wait for their answers would be refused again and again.

use std::time::Duration;
use std::time::Instant;

/// For how long requests that were sent behind others give way, from the last time that there was no
/// room for another one. Callers that are refused come back sooner.
const YIELD_TIME: Duration = Duration::from_secs(2);

/// When the client sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// After the answer to the one before, or as the first one of its connection.
    InTurn,
    /// Before the answer to the one before.
    Ahead,
}

/// Decides which requests give way.
#[derive(Debug, Default)]
pub struct Precedence {
    yields_until: Option<Instant>,
}

impl Precedence {
    /// Returns whether a request may start. One that may not gives way: it is refused, and its
    /// connection closed.
    #[must_use]
    pub fn may_start(&self, order: Order, now: Instant) -> bool {
        order == Order::InTurn || self.yields_until.is_none_or(|until| now >= until)
    }

    /// Records that there was no room for a request. Returns whether its connection gives way: further
    /// requests would follow at once.
    pub fn on_refusal(&mut self, order: Order, now: Instant) -> bool {
        if order == Order::InTurn {
            self.yields_until = Some(now + YIELD_TIME);
        }
        order == Order::Ahead
    }
}
