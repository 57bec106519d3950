//! A pool of idle connections to leafs or to other instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

use camphorhold::transport::http::Connection;

/// How long a spare connection may stay idle. All idle connections to a server are spare except the
/// most recently used one. After an instance loses power, leafs count its connections until they
/// time out, so spare ones take up connections that its successor needs.
const SPARE_IDLE_LIMIT: Duration = Duration::from_millis(1_500);

/// How long a connection may stay idle if the server does not state its idle timeout. Leafs close
/// idle connections after a timeout, and a request sent at the same moment is lost.
const IDLE_LIMIT: Duration = Duration::from_secs(8);

/// The longest idle timeout of a server that is believed.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_hours(1);

/// How long a connection may stay idle, as a share of the idle timeout that the server states. The
/// rest covers the network delay of the next request.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by server, the most recently used last. Does not limit their number.
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
    /// Removes and returns the most recently used connection to a server that is still usable.
    /// Drops the expired and closed ones that it meets before.
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

    /// Keeps a connection for the next request. `idle_timeout` is the server's, if it states one.
    pub fn put(
        &self,
        server: K,
        connection: Connection,
        idle_timeout: Option<Duration>,
        now: Instant,
    ) {
        let limit = idle_timeout.map_or(IDLE_LIMIT, |timeout| {
            timeout.min(MAX_IDLE_TIMEOUT).mul_f64(IDLE_TIMEOUT_SHARE)
        });
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server).or_default();
        // The connections below the top of the stack are needed only when the load rises.
        for spare in connections.iter_mut() {
            spare.until = spare.until.min(now + SPARE_IDLE_LIMIT);
        }
        let until = now + limit;
        connections.push(Idle { connection, until });
    }

    /// Closes the idle connection that would be closed first. Returns whether there was one.
    pub fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter()
            .flat_map(|(server, connections)| {
                let numbered = connections.iter().enumerate();
                numbered.map(|(index, entry)| (entry.until, *server, index))
            })
            .min_by_key(|(until, ..)| *until);
        let Some((_, server, index)) = oldest else {
            return false;
        };
        if let Some(connections) = idle.get_mut(&server) {
            connections.remove(index);
        }
        true
    }

    /// Closes all idle connections to a server.
    pub fn close(&self, server: K) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes connections that were idle for too long, that the server has closed, or whose server
    /// is no longer in use.
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
