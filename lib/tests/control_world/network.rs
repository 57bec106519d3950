//! A network that loses, delays, doubles and cuts.

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

/// The number that stands for the store in cuts.
pub const STORE: usize = usize::MAX;

/// Something on its way.
pub enum Payload {
    /// A message, encoded.
    Message {
        from: Sender,
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// A request that reaches the store.
    ToStore { action: Action, starts: u64 },
    /// An answer of the store to the process that asked.
    FromStore { input: Input, starts: u64 },
}

pub struct Delivery {
    pub node: usize,
    pub payload: Payload,
}

#[derive(Default)]
pub struct Network {
    /// Directions that are cut.
    pub cuts: BTreeSet<(usize, usize)>,
    pub loss_percent: u32,
    pub double_percent: u32,
    /// Some messages take up to this long.
    pub delay: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    deliveries: std::collections::BTreeMap<u64, Delivery>,
    sent: u64,
    /// Size of the largest message sent, in bytes.
    pub largest: usize,
    /// Bytes of all messages sent.
    pub bytes: usize,
}

impl Network {
    pub fn next(&self) -> Option<Duration> {
        self.queue.peek().map(|Reverse((at, _))| *at)
    }

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
        let copies = 1 + u32::from(random.random_ratio(self.double_percent, 100));
        for _ in 0..copies {
            let lost = random.random_ratio(self.loss_percent, 100);
            if lost || self.cuts.contains(&(from_node, node)) {
                continue;
            }
            let bytes = postcard::to_stdvec(message).expect("messages can be encoded");
            self.bytes += bytes.len();
            self.largest = self.largest.max(bytes.len());
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
