//! Connections to leafs that wait for their next request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::Fleet;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::transport::http::Connection;

/// How long a connection beside another idle one may wait. Leafs count the connections of an
/// instance that lost power until they time out, so spare ones take the place of those of its
/// successor.
const SPARE_LIMIT: Duration = Duration::from_millis(1_500);

/// How long a connection may wait if the leaf does not say. Leafs close idle connections after a
/// timeout; a request that crosses the close is lost.
const IDLE_LIMIT: Duration = Duration::from_secs(8);

/// The part of the idle timeout stated by a leaf that is used. The rest covers the time that the
/// request travels.
const IDLE_SHARE: f64 = 0.7;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by leaf, the most recently used last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<LeafKey, Vec<Idle>>>,
}

impl Pool {
    /// Takes a usable connection to a leaf, if there is one.
    pub fn take(&self, leaf: LeafKey, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&leaf)?;
        while let Some(mut entry) = connections.pop() {
            if entry.until > now && entry.connection.is_usable() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request. `idle_timeout` is what the leaf said, if it did.
    pub fn put(
        &self,
        leaf: LeafKey,
        connection: Connection,
        idle_timeout: Option<Duration>,
        now: Instant,
    ) {
        let limit = idle_timeout.map_or(IDLE_LIMIT, |timeout| timeout.mul_f64(IDLE_SHARE));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(leaf).or_default();
        // The connections below the top of the stack are used only when the load rises.
        for spare in connections.iter_mut() {
            spare.until = spare.until.min(now + SPARE_LIMIT);
        }
        let until = now + limit;
        connections.push(Idle { connection, until });
    }

    /// Closes connections that have waited too long or whose leaf is gone.
    pub fn sweep(&self, fleet: &Fleet, now: Instant) {
        self.idle.borrow_mut().retain(|leaf, connections| {
            if fleet.get(*leaf).is_none() {
                return false;
            }
            connections.retain_mut(|entry| entry.until > now && entry.connection.is_usable());
            !connections.is_empty()
        });
    }
}
