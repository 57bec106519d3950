//! Connections to leafs and to other instances that wait for their next request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

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

/// Idle connections by server, the most recently used last.
#[derive(Debug)]
pub struct Pool<K> {
    idle: RefCell<HashMap<K, Vec<Idle>>>,
}

impl<K> Default for Pool<K> {
    fn default() -> Self {
        Self {
            idle: RefCell::default(),
        }
    }
}

impl<K> Pool<K>
where
    K: Copy + Eq + Hash,
{
    /// Takes a usable connection to a server, if there is one.
    pub fn take(&self, server: K, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        while let Some(mut entry) = connections.pop() {
            if entry.until > now && entry.connection.is_usable() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request. `idle_timeout` is what the server said, if it did.
    pub fn put(
        &self,
        server: K,
        connection: Connection,
        idle_timeout: Option<Duration>,
        now: Instant,
    ) {
        let limit = idle_timeout.map_or(IDLE_LIMIT, |timeout| timeout.mul_f64(IDLE_SHARE));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server).or_default();
        // The connections below the top of the stack are used only when the load rises.
        for spare in connections.iter_mut() {
            spare.until = spare.until.min(now + SPARE_LIMIT);
        }
        let until = now + limit;
        connections.push(Idle { connection, until });
    }

    /// Closes the connections to a server.
    pub fn close(&self, server: K) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes connections that have waited too long or whose server is not in use any more.
    pub fn sweep<F>(&self, now: Instant, is_in_use: F)
    where
        F: Fn(K) -> bool,
    {
        self.idle.borrow_mut().retain(|server, connections| {
            if !is_in_use(*server) {
                return false;
            }
            connections.retain_mut(|entry| entry.until > now && entry.connection.is_usable());
            !connections.is_empty()
        });
    }
}
