//! Tests of the sizes of receive buffers, and of the limits for all connections of an instance.

use camphorhold::coordination::serving::memory_account::CONNECTION_BYTES;
use camphorhold::coordination::serving::memory_account::Limits;
use camphorhold::coordination::serving::memory_account::Port;
use camphorhold::coordination::serving::receive_buffers::MAX_BYTES;
use camphorhold::coordination::serving::receive_buffers::MAX_SERVER_BYTES;
use camphorhold::coordination::serving::receive_buffers::MIN_BYTES;
use camphorhold::coordination::serving::receive_buffers::PortBuffers;
use camphorhold::coordination::serving::receive_buffers::ReceiveLimits;
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

/// Guards against connections that keep wide buffers while others are opened.
#[test]
fn all_connections_have_less_the_more_are_open() {
    let mut buffers = PortBuffers::new(100 * MAX_BYTES, 100 * MAX_BYTES, 9);
    assert_eq!(buffers.size(), MAX_BYTES);
    assert_eq!(buffers.initial_size(), MAX_BYTES);
    for _ in 0..75 {
        assert!(!buffers.on_open());
    }
    assert!(buffers.on_open());
    assert_eq!(buffers.size(), MAX_BYTES / 2);
    assert_eq!(buffers.initial_size(), MAX_BYTES / 8);
    for _ in 76..150 {
        assert!(!buffers.on_open());
    }
    assert!(buffers.on_open());
    assert_eq!(buffers.size(), MAX_BYTES / 4);
}

/// Guards against the work of changing all buffers whenever one connection ends and another begins.
#[test]
fn buffers_grow_again_when_half_of_the_connections_have_ended() {
    let mut buffers = PortBuffers::new(100 * MAX_BYTES, 100 * MAX_BYTES, 9);
    for _ in 0..76 {
        buffers.on_open();
    }
    for _ in 0..30 {
        buffers.on_end();
        assert_eq!(buffers.size(), MAX_BYTES / 2);
        assert!(!buffers.on_open());
        buffers.on_end();
    }
    for _ in 0..10 {
        buffers.on_end();
    }
    assert_eq!(buffers.size(), MAX_BYTES);
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
        // While the connections that wait have bytes of their own, few are open.
        let few: usize = receive.bytes[..2]
            .iter()
            .map(|bytes| bytes / MAX_BYTES)
            .sum();
        let calm = few * (CONNECTION_BYTES + MAX_BYTES) + 2 * receive.calm_bytes;
        let sum = BASE_BYTES + shares + calm + memory / 8;
        assert!(sum <= memory, "{sum} of {memory}");
        let sockets = clients + receive.servers;
        assert!(sockets + 200 <= descriptors, "{sockets} of {descriptors}");
        assert!(receive.server_bytes < memory / 16, "{receive:?}");
    }
}

/// Guards against windows that are too short for a long body over a long link, in calm.
#[test]
fn the_smallest_machine_has_wide_buffers_in_calm() {
    let (limits, receive) = limits(MACHINES[0].0, MACHINES[0].1);
    for port in [Port::Callers, Port::Instances] {
        assert!(receive.waiting[port as usize] >= 100, "{receive:?}");
        let mut buffers = receive.port(port);
        for _ in 0..30 {
            assert_eq!(buffers.initial_size(), MAX_BYTES, "{receive:?}");
            buffers.on_open();
            assert_eq!(buffers.size(), MAX_BYTES, "{receive:?}");
        }
    }
    let mut servers = receive.server_pool();
    assert_eq!(servers.take(), MAX_SERVER_BYTES, "{receive:?}");
    assert!(receive.servers >= 400, "{receive:?}");
    assert!(limits.connections[0] >= 1_000, "{limits:?}");
}

/// Guards against buffers of connections to servers that are together more than their bytes.
#[test]
fn connections_to_servers_share_their_bytes() {
    let (_, receive) = limits(MACHINES[0].0, MACHINES[0].1);
    let mut servers = receive.server_pool();
    let sizes: Vec<usize> = (0..receive.servers).map(|_| servers.take()).collect();
    assert!(sizes.iter().sum::<usize>() <= receive.server_bytes);
    assert_eq!(sizes.last(), Some(&MIN_BYTES));
    for size in sizes {
        servers.release(size);
    }
    assert_eq!(servers, receive.server_pool());
}

/// Guards against a machine that is smaller than any on the platform, or has other limits.
#[test]
fn tiny_machines_have_limits_too() {
    for (memory, descriptors) in [(0, 0), (1 << 20, 64), (48 << 20, 400), (48 << 20, 4_100)] {
        let (_, receive) = limits(memory, descriptors);
        for port in Port::ALL {
            let buffers = receive.port(port);
            assert!(buffers.size() >= MIN_BYTES);
            assert!(buffers.initial_size() >= MIN_BYTES);
            assert!(receive.waiting[port as usize] > 0, "{receive:?}");
        }
        assert!(receive.servers > 0, "{receive:?}");
    }
}

proptest! {
    /// Guards against buffers that are together more than the bytes of their port, in whatever order
    /// connections begin and end, with as many that wait to be accepted as there may be. While few are
    /// open, those that wait have bytes of their own.
    #[test]
    fn buffers_stay_within_their_port(
        machine in prop::sample::select(&MACHINES[..]),
        begins in prop::collection::vec(prop::bool::weighted(0.7), 0..4_000),
    ) {
        let (limits, receive) = limits(machine.0, machine.1);
        for port in Port::ALL {
            let waiting = receive.waiting[port as usize] + 1;
            let mut buffers = receive.port(port);
            let mut open = 0;
            for begins in &begins {
                if *begins && open < limits.connections[port as usize] {
                    open += 1;
                    buffers.on_open();
                } else if !*begins && open > 0 {
                    open -= 1;
                    buffers.on_end();
                }
                let initial = waiting * buffers.initial_size();
                let (within, calm) = if buffers.size() == MAX_BYTES {
                    (open * buffers.size(), initial)
                } else {
                    (open * buffers.size() + initial, 0)
                };
                prop_assert!(within <= receive.bytes[port as usize], "{port:?}, {open} open");
                prop_assert!(calm <= receive.calm_bytes, "{port:?}, {open} open");
            }
        }
    }
}
