//! Tests of the sizes of receive buffers, and of the limits for all connections of an instance.

use camphorhold::coordination::serving::memory_account::CONNECTION_BYTES;
use camphorhold::coordination::serving::memory_account::Limits;
use camphorhold::coordination::serving::memory_account::Port;
use camphorhold::coordination::serving::receive_buffers::BufferPool;
use camphorhold::coordination::serving::receive_buffers::MAX_BYTES;
use camphorhold::coordination::serving::receive_buffers::MAX_INITIAL_BYTES;
use camphorhold::coordination::serving::receive_buffers::MIN_BYTES;
use camphorhold::coordination::serving::receive_buffers::ReceiveLimits;
use camphorhold::coordination::serving::receive_buffers::server_size;
use proptest::prelude::*;

/// The memory and descriptors of the platform's machines, the smallest first.
const MACHINES: [(usize, usize); 3] = [(160 << 20, 4_100), (260 << 20, 4_100), (512 << 20, 8_192)];

/// The memory that the program needs without clients, as the account of clients sets it aside.
const BASE_BYTES: usize = 24 << 20;

fn limits(memory: usize, descriptors: usize) -> (Limits, ReceiveLimits) {
    let limits = Limits::of_machine(memory, descriptors);
    let receive = ReceiveLimits::of_machine(memory, descriptors, &limits);
    (limits, receive)
}

/// Guards against buffers that are more than their pool as long as a few connections are open, and
/// against connections for which none is left.
#[test]
fn new_connections_get_less_the_fewer_bytes_are_left() {
    let mut pool = BufferPool::new(400 * MIN_BYTES, 100);
    assert_eq!(pool.size_for(100, MAX_INITIAL_BYTES), 4 * MIN_BYTES);
    pool.take(4 * MIN_BYTES);
    assert_eq!(pool.size_for(100, MAX_INITIAL_BYTES), 2 * MIN_BYTES);
    for _ in 0..99 {
        pool.take(4 * MIN_BYTES);
    }
    assert_eq!(pool.size_for(100, MAX_INITIAL_BYTES), MIN_BYTES);
    assert_eq!(pool.wider(MIN_BYTES), None);
    pool.release(4 * MIN_BYTES);
    assert_eq!(pool.wider(MIN_BYTES), None);
    assert_eq!(pool.size_for(1, MAX_INITIAL_BYTES), 4 * MIN_BYTES);
}

/// Guards against a few long bodies that take the buffers of all other ones.
#[test]
fn a_wider_buffer_leaves_most_of_the_bytes_to_others() {
    let mut pool = BufferPool::new(64 * MIN_BYTES, 0);
    let mut sizes = Vec::new();
    while let Some(wider) = pool.wider(MIN_BYTES) {
        pool.take(wider);
        sizes.push(wider / MIN_BYTES);
        assert!(sizes.len() < 100);
    }
    assert_eq!(sizes[..3], [16, 8, 8]);
    assert!(sizes.len() >= 10, "{sizes:?}");
    assert!(pool.free() > 0);
}

/// Guards against limits that are sufficient one by one and not together. The answers that are being
/// read have an eighth of the memory, with the receive buffers of connections to servers.
#[test]
fn all_limits_together_are_within_the_machine() {
    for (memory, descriptors) in MACHINES {
        let (limits, receive) = limits(memory, descriptors);
        let [heads, bodies, answers] = limits.bytes;
        // Small bodies and heads have an eighth more.
        let shares = (heads + bodies) / 8 * 9 + answers;
        let clients: usize = limits.connections.iter().sum();
        let connections = (clients + receive.servers) * CONNECTION_BYTES;
        let buffers: usize = receive.bytes.iter().sum();
        let sum = BASE_BYTES + shares + connections + buffers + memory / 8;
        assert!(sum <= memory, "{sum} of {memory}");
        let sockets = clients + receive.servers;
        assert!(sockets + 200 <= descriptors, "{sockets} of {descriptors}");
        assert!(receive.server_bytes < memory / 16, "{receive:?}");
    }
}

/// Guards against limits that ordinary callers meet: short windows in calm, and a wider one for a body
/// of the longest length that there is no room for.
#[test]
fn the_smallest_machine_has_wide_buffers_in_calm() {
    let (limits, receive) = limits(MACHINES[0].0, MACHINES[0].1);
    for port in [Port::Callers, Port::Instances] {
        let mut pool = receive.pool(&limits, port);
        let waiting = receive.waiting[port as usize] + 1;
        assert!(waiting > 100, "{receive:?}");
        let initial = pool.size_for(waiting, MAX_INITIAL_BYTES);
        assert_eq!(initial, MAX_INITIAL_BYTES, "{receive:?}");
        pool.take(initial);
        assert_eq!(pool.wider(initial), Some(MAX_BYTES), "{receive:?}");
    }
    let servers = receive.server_pool();
    assert_eq!(server_size(&servers), 128 << 10, "{receive:?}");
    assert!(receive.servers >= 400, "{receive:?}");
}

/// Guards against a machine that is smaller than any on the platform, or has other limits.
#[test]
fn tiny_machines_have_limits_too() {
    for (memory, descriptors) in [(0, 0), (1 << 20, 64), (48 << 20, 400), (48 << 20, 4_100)] {
        let (limits, receive) = limits(memory, descriptors);
        for port in Port::ALL {
            let pool = receive.pool(&limits, port);
            assert!(pool.size_for(1, MAX_BYTES) >= MIN_BYTES);
            assert!(receive.waiting[port as usize] > 0, "{receive:?}");
        }
        assert!(receive.servers > 0, "{receive:?}");
    }
}

/// An event at a port: a connection is accepted, one gets a long body, or one ends.
#[derive(Clone, Copy, Debug)]
enum Event {
    Open,
    Widen(usize),
    Close(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => Just(Event::Open),
        1 => any::<usize>().prop_map(Event::Widen),
        1 => any::<usize>().prop_map(Event::Close),
    ]
}

proptest! {
    /// Guards against buffers that are together more than the bytes of their port, whatever clients do,
    /// with as many connections that wait to be accepted as there may be.
    #[test]
    fn buffers_stay_within_their_port(events in prop::collection::vec(event(), 0..2_000)) {
        let (limits, receive) = limits(MACHINES[0].0, MACHINES[0].1);
        let bytes = receive.bytes[Port::Callers as usize];
        let waiting = receive.waiting[Port::Callers as usize] + 1;
        let mut pool = receive.pool(&limits, Port::Callers);
        let mut open: Vec<usize> = Vec::new();
        for event in events {
            match event {
                Event::Open if open.len() < limits.connections[Port::Callers as usize] => {
                    let size = pool.size_for(waiting, MAX_INITIAL_BYTES);
                    pool.take(size);
                    open.push(size);
                }
                Event::Widen(index) if !open.is_empty() => {
                    let index = index % open.len();
                    if let Some(wider) = pool.wider(open[index]) {
                        pool.release(open[index]);
                        pool.take(wider);
                        open[index] = wider;
                    }
                }
                Event::Close(index) if !open.is_empty() => {
                    let index = index % open.len();
                    pool.release(open.swap_remove(index));
                }
                Event::Open | Event::Widen(_) | Event::Close(_) => {}
            }
            let waiting_bytes = waiting * pool.size_for(waiting, MAX_INITIAL_BYTES);
            let sum: usize = open.iter().sum::<usize>() + waiting_bytes;
            prop_assert!(sum <= bytes, "{sum} of {bytes} with {} open", open.len());
        }
        for size in open {
            pool.release(size);
        }
        prop_assert_eq!(pool.used(), 0);
    }
}
