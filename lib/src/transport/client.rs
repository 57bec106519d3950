//! Connections of clients, with what they make the process hold.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use tokio::sync::Notify;

use crate::coordination::serving::memory_account::ConnectionKey;
use crate::coordination::serving::memory_account::Limits;
use crate::coordination::serving::memory_account::MemoryAccount;
use crate::coordination::serving::memory_account::Port;
use crate::coordination::serving::memory_account::Refused;
use crate::coordination::serving::memory_account::Share;
use crate::coordination::serving::memory_account::Usage;
use crate::coordination::serving::receive_buffers::PortBuffers;
use crate::coordination::serving::receive_buffers::ReceiveLimits;
use crate::state::time::Clock;

#[derive(Debug)]
struct State {
    account: MemoryAccount,
    closed: HashMap<ConnectionKey, Arc<Notify>>,
    // The receive buffers at each port, in the order of `Port::ALL`, and how many connections may wait.
    buffers: [PortBuffers; 4],
    waiting: [usize; 4],
}

/// The account of all clients of a process. Clones share it.
///
/// It is behind a lock because the HTTP library may drop the buffers that it charges for on any
/// thread; an instance has one thread, so nobody waits for it.
#[derive(Clone)]
pub struct Account {
    state: Arc<Mutex<State>>,
    clock: Arc<dyn Clock>,
}

impl std::fmt::Debug for Account {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Account").finish_non_exhaustive()
    }
}

impl Account {
    /// Creates an account without connections, whose receive buffers have the smallest size.
    #[must_use]
    pub fn new(limits: Limits, clock: Arc<dyn Clock>) -> Self {
        let receive = ReceiveLimits::of_machine(0, 0, &limits);
        Self::with_buffers(limits, &receive, clock)
    }

    /// Creates an account without connections.
    #[must_use]
    pub fn with_buffers(limits: Limits, receive: &ReceiveLimits, clock: Arc<dyn Clock>) -> Self {
        let state = State {
            account: MemoryAccount::new(limits),
            closed: HashMap::new(),
            buffers: Port::ALL.map(|port| receive.port(port)),
            waiting: receive.waiting,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection that has been accepted. If there were too many, tells another one that it is
    /// closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the new connection has to be closed.
    pub fn open(&self, port: Port) -> Result<Opened, Refused> {
        let now = self.clock.now();
        let state = &mut *self.lock();
        let (key, close) = state.account.open(port, now)?;
        let closed = Arc::new(Notify::new());
        state.closed.insert(key, Arc::clone(&closed));
        state.notify(close.as_slice());
        let shrinks_buffers = state.buffers[port as usize].on_open();
        let connection = Connection {
            account: self.clone(),
            key,
            closed,
            port,
        };
        Ok(Opened {
            connection,
            closes_another: close.is_some(),
            shrinks_buffers,
        })
    }

    /// Returns the receive buffer of further connections at a port until they are accepted, in bytes.
    #[must_use]
    pub fn initial_buffer(&self, port: Port) -> usize {
        self.lock().buffers[port as usize].initial_size()
    }

    /// Returns the receive buffer of the open connections at a port, in bytes.
    #[must_use]
    pub fn buffer(&self, port: Port) -> usize {
        self.lock().buffers[port as usize].size()
    }

    /// Returns the number of open connections at all ports.
    #[must_use]
    pub fn connections(&self) -> usize {
        let state = self.lock();
        let used = Port::ALL.map(|port| state.account.port(port).used);
        used.iter().sum()
    }

    /// Returns how many connections may wait to be accepted at a port.
    #[must_use]
    pub fn waiting(&self, port: Port) -> u32 {
        u32::try_from(self.lock().waiting[port as usize]).unwrap_or(u32::MAX)
    }

    /// Returns the use of a share.
    #[must_use]
    pub fn share(&self, share: Share) -> Usage {
        self.lock().account.share(share)
    }

    /// Returns the use of a port.
    #[must_use]
    pub fn port(&self, port: Port) -> Usage {
        self.lock().account.port(port)
    }
}

/// A connection that has been added to the account.
#[derive(Debug)]
pub struct Opened {
    /// The connection.
    pub connection: Connection,
    /// Whether another one is closed for it.
    pub closes_another: bool,
    /// Whether the receive buffers of the others at its port have to be made smaller.
    pub shrinks_buffers: bool,
}

impl State {
    fn notify(&self, keys: &[ConnectionKey]) {
        for closed in keys.iter().filter_map(|key| self.closed.get(key)) {
            closed.notify_one();
        }
    }
}

/// A connection of a client. Dropping it removes it from the account.
#[derive(Debug)]
pub struct Connection {
    account: Account,
    key: ConnectionKey,
    closed: Arc<Notify>,
    port: Port,
}

impl Connection {
    /// Returns the size that its receive buffer has to have, in bytes.
    #[must_use]
    pub fn buffer(&self) -> usize {
        self.account.buffer(self.port)
    }

    /// Returns whether the instance has a complete request and owes the answer.
    #[must_use]
    pub fn owes_answer(&self) -> bool {
        self.account.lock().account.owes_answer(self.key)
    }

    /// Closes the connection, also if the instance has its whole request.
    pub fn close(&self) {
        self.account.lock().account.close(self.key);
        self.closed.notify_one();
    }

    /// Waits until the connection has to be closed because of what it holds.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Records bytes that the client has sent or read.
    pub fn on_transfer(&self, bytes: usize) {
        let now = self.account.clock.now();
        let mut state = self.account.lock();
        state.account.on_transfer(self.key, bytes, now);
    }

    /// Records that the client has sent a complete request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is to be closed, so that the request must not be started.
    pub fn on_request(&self) -> Result<(), Refused> {
        self.account.lock().account.on_request(self.key)
    }

    /// Records that the answer is ready.
    pub fn on_answer(&self) {
        let now = self.account.clock.now();
        self.account.lock().account.on_answer(self.key, now);
    }

    /// Returns a charge of 0 bytes.
    #[must_use]
    pub fn charge(&self, share: Share) -> Charge {
        Charge {
            account: self.account.clone(),
            key: self.key,
            share,
            bytes: 0,
        }
    }

    /// Returns an answer that is charged for until it has been written.
    #[must_use]
    pub fn charge_answer(&self, answer: Bytes) -> Bytes {
        let mut charge = self.charge(Share::Answers);
        // Answers are not refused.
        let _ = charge.grow(answer.len());
        charge.attach(answer)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let state = &mut *self.account.lock();
        state.closed.remove(&self.key);
        state.buffers[self.port as usize].on_end();
        state.account.on_end(self.key);
    }
}

/// Bytes that a connection holds of a share. Dropping it releases them, also after the end of the
/// connection.
#[derive(Debug)]
pub struct Charge {
    account: Account,
    key: ConnectionKey,
    share: Share,
    bytes: usize,
}

impl Charge {
    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection must not hold them. The charge is as before.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Refused> {
        let now = self.account.clock.now();
        let state = &mut *self.account.lock();
        let decision = state.account.hold(self.key, self.share, bytes, now);
        state.notify(&decision.close);
        decision.granted?;
        self.bytes += bytes;
        Ok(())
    }

    /// Changes the charge to that many bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection must not hold more. The charge is as before.
    pub fn set(&mut self, bytes: usize) -> Result<(), Refused> {
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        let rest = self.bytes - bytes;
        self.bytes = bytes;
        if rest > 0 {
            let mut state = self.account.lock();
            state.account.release(self.key, self.share, rest);
        }
        Ok(())
    }

    /// Returns the bytes with the charge, which ends when the last clone of them is dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(ChargedBytes {
            bytes,
            _charge: self,
        })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        // A charge can always shrink.
        let _ = self.set(0);
    }
}

struct ChargedBytes {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
