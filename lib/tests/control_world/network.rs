//! A fake network that loses, delays and duplicates messages, and in which directions can be cut.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use camphorhold::coordination::control::Action;
use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Message;
use camphorhold::coordination::control::Sender;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The node number of the store in [`Network::cuts`].
pub const STORE: usize = usize::MAX;

/// Content of a delivery. `starts` identifies the process that sent the request to the store.
pub enum Payload {
    /// A message, encoded.
    Message {
        from: Sender,
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// A request on its way to the store.
    ToStore { action: Action, starts: u64 },
    /// An answer of the store to the process that sent the request.
    FromStore { input: Input, starts: u64 },
}

pub struct Delivery {
    pub node: usize,
    pub payload: Payload,
}

#[derive(Default)]
pub struct Network {
    /// Pairs of sender and receiver between which the network loses all messages.
    pub cuts: BTreeSet<(usize, usize)>,
    pub loss_percent: u32,
    /// Percentage of the messages that the network duplicates.
    pub duplicate_percent: u32,
    /// A quarter of the messages take up to this much longer.
    pub delay: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    deliveries: std::collections::BTreeMap<u64, Delivery>,
    sent: u64,
    /// Size of the largest message sent so far, in bytes.
    pub max_message_bytes: usize,
    /// Total size of the messages sent so far, in bytes.
    pub bytes: usize,
}

impl Network {
    /// Returns the time of the next delivery.
    pub fn next(&self) -> Option<Duration> {
        self.queue.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the next delivery if it is due.
    pub fn pop(&mut self, now: Duration) -> Option<Delivery> {
        let due = self.next().is_some_and(|at| at <= now);
        let Reverse((_, number)) = self.queue.pop_if_due(due)?;
        self.deliveries.remove(&number)
    }

    pub fn schedule(&mut self, at: Duration, delivery: Delivery) {
        self.sent += 1;
        self.queue.push(Reverse((at, self.sent)));
        self.deliveries.insert(self.sent, delivery);
    }

    /// Encodes a message and schedules its delivery, unless the network loses it.
    pub fn send(
        &mut self,
        from_node: usize,
        to: SocketAddr,
        from: Sender,
        message: &Message,
        now: Duration,
        random: &mut ChaCha8Rng,
    ) {
        let node = super::node_of(to);
        let copies = 1 + u32::from(random.random_ratio(self.duplicate_percent, 100));
        for _ in 0..copies {
            let lost = random.random_ratio(self.loss_percent, 100);
            if lost || self.cuts.contains(&(from_node, node)) {
                continue;
            }
            let bytes = postcard::to_stdvec(message).expect("messages can be encoded");
            self.bytes += bytes.len();
            self.max_message_bytes = self.max_message_bytes.max(bytes.len());
            let payload = Payload::Message { from, to, bytes };
            let at = now + self.latency(random);
            self.schedule(at, Delivery { node, payload });
        }
    }

    pub fn latency(&self, random: &mut ChaCha8Rng) -> Duration {
        let usual = Duration::from_micros(random.random_range(300..2000));
        if self.delay.is_zero() || random.random_ratio(3, 4) {
            return usual;
        }
        usual + self.delay.mul_f64(random.random())
    }
}

trait PopIfDue<T> {
    fn pop_if_due(&mut self, due: bool) -> Option<T>;
}

impl<T: Ord> PopIfDue<T> for BinaryHeap<T> {
    fn pop_if_due(&mut self, due: bool) -> Option<T> {
        if due { self.pop() } else { None }
    }
}
