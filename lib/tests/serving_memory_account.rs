//! Tests of the account of what clients make an instance hold.

use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::memory_account::ConnectionKey;
use camphorhold::coordination::serving::memory_account::Decision;
use camphorhold::coordination::serving::memory_account::Limits;
use camphorhold::coordination::serving::memory_account::MemoryAccount;
use camphorhold::coordination::serving::memory_account::Port;
use camphorhold::coordination::serving::memory_account::Refused;
use camphorhold::coordination::serving::memory_account::Share;

const LIMITS: Limits = Limits {
    bytes: [100_000, 100_000, 100_000],
    connections: [4, 2, 2, 2],
};

const GRANTED: Decision = Decision {
    close: Vec::new(),
    granted: Ok(()),
};

const REFUSED: Decision = Decision {
    close: Vec::new(),
    granted: Err(Refused),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn closes(keys: &[ConnectionKey]) -> Decision {
    Decision {
        close: keys.to_vec(),
        granted: Ok(()),
    }
}

struct World {
    account: MemoryAccount,
    now: Instant,
}

impl World {
    fn new() -> Self {
        Self {
            account: MemoryAccount::new(LIMITS),
            now: Instant::now(),
        }
    }

    fn open(&mut self) -> ConnectionKey {
        let (key, close) = self.account.open(Port::Callers, self.now).expect("a place");
        assert_eq!(close, None);
        key
    }

    fn hold(&mut self, key: ConnectionKey, share: Share, bytes: usize) -> Decision {
        self.account.hold(key, share, bytes, self.now)
    }

    fn transfer(&mut self, key: ConnectionKey, bytes: usize) {
        self.account.on_transfer(key, bytes, self.now);
    }
}

/// Guards against an ordinary caller that is closed instead of a client that has stopped.
#[test]
fn the_connection_that_has_stopped_is_closed_before_one_that_makes_progress() {
    let mut world = World::new();
    let stopped = world.open();
    let ordinary = world.open();
    assert_eq!(world.hold(stopped, Share::Bodies, 40_000), GRANTED);
    assert_eq!(world.hold(ordinary, Share::Bodies, 50_000), GRANTED);
    world.now += ms(500);
    world.transfer(ordinary, 8_000);
    assert_eq!(
        world.hold(ordinary, Share::Bodies, 20_000),
        closes(&[stopped])
    );
}

/// Guards against a client that keeps what it holds with a byte from time to time.
#[test]
fn single_bytes_are_no_progress() {
    let mut world = World::new();
    let dripping = world.open();
    assert_eq!(world.hold(dripping, Share::Bodies, 90_000), GRANTED);
    let ordinary = world.open();
    assert_eq!(world.hold(ordinary, Share::Bodies, 8_000), GRANTED);
    for _ in 0..100 {
        world.now += ms(50);
        world.transfer(ordinary, 2_000);
        world.now += ms(50);
        world.transfer(dripping, 1);
    }
    let other = world.open();
    assert_eq!(
        world.hold(other, Share::Bodies, 20_000),
        closes(&[dripping])
    );
}

/// Guards against a caller that is closed among clients that all send at full speed, because its body
/// has come further than theirs.
#[test]
fn of_those_that_make_progress_a_new_one_is_spared() {
    let mut world = World::new();
    let old = world.open();
    let new = world.open();
    assert_eq!(world.hold(old, Share::Bodies, 40_000), GRANTED);
    world.now += ms(900);
    assert_eq!(world.hold(new, Share::Bodies, 50_000), GRANTED);
    world.now += ms(100);
    world.transfer(old, 8_000);
    world.transfer(new, 8_000);
    assert_eq!(world.hold(new, Share::Bodies, 20_000), closes(&[old]));
}

/// Guards against connections that are closed because they hold little for long, while another one
/// holds nearly everything.
#[test]
fn of_two_that_have_stopped_the_one_that_holds_more_is_closed() {
    let mut world = World::new();
    let small = world.open();
    assert_eq!(world.hold(small, Share::Bodies, 1_000), GRANTED);
    world.now += ms(1_000);
    let large = world.open();
    assert_eq!(world.hold(large, Share::Bodies, 98_000), GRANTED);
    world.now += ms(100);
    let ordinary = world.open();
    assert_eq!(world.hold(ordinary, Share::Bodies, 2_000), closes(&[large]));
}

/// Guards against more connections that are closed than need to be, because those that are being
/// closed count until they have ended.
#[test]
fn what_is_being_closed_makes_room_at_once() {
    let mut world = World::new();
    let first = world.open();
    let second = world.open();
    assert_eq!(world.hold(first, Share::Bodies, 60_000), GRANTED);
    world.now += ms(1);
    assert_eq!(world.hold(second, Share::Bodies, 40_000), GRANTED);
    let third = world.open();
    assert_eq!(world.hold(third, Share::Bodies, 30_000), closes(&[first]));
    assert_eq!(world.hold(third, Share::Bodies, 30_000), GRANTED);
    assert_eq!(world.account.share(Share::Bodies).used, 160_000);
    world.account.release(first, Share::Bodies, 60_000);
    world.account.on_end(first);
    assert_eq!(world.account.share(Share::Bodies).used, 100_000);
    assert_eq!(world.account.share(Share::Bodies).peak, 160_000);
}

/// Guards against a request that is lost although the instance is working on it, and against memory
/// that exceeds the share because nothing can be closed.
#[test]
fn requests_in_progress_are_not_closed_and_new_ones_are_refused() {
    let mut world = World::new();
    let working = world.open();
    assert_eq!(world.hold(working, Share::Bodies, 100_000), GRANTED);
    assert_eq!(world.account.on_request(working), Ok(()));
    world.now += ms(1_000);
    let new = world.open();
    assert_eq!(world.hold(new, Share::Bodies, 30_000), REFUSED);
    assert_eq!(world.account.share(Share::Bodies).used, 100_000);
    assert_eq!(world.account.share(Share::Bodies).refused, 1);
}

/// Guards against small requests that are refused because large ones use all of the share, and against
/// any number of them.
#[test]
fn small_bodies_have_an_eighth_more() {
    let mut world = World::new();
    let working = world.open();
    assert_eq!(world.hold(working, Share::Bodies, 100_000), GRANTED);
    assert_eq!(world.account.on_request(working), Ok(()));
    for _ in 0..2 {
        let small = world.open();
        assert_eq!(world.hold(small, Share::Bodies, 6_000), GRANTED);
        assert_eq!(world.account.on_request(small), Ok(()));
    }
    let third = world.open();
    assert_eq!(world.hold(third, Share::Bodies, 6_000), REFUSED);
}

/// Guards against a caller whose long body is still being read and counts as one that has sent more
/// behind its request.
#[test]
fn an_answer_is_owed_from_the_end_of_a_request_until_it_is_ready() {
    let mut world = World::new();
    let caller = world.open();
    assert_eq!(world.hold(caller, Share::Bodies, 40_000), GRANTED);
    assert!(!world.account.owes_answer(caller));
    assert_eq!(world.account.on_request(caller), Ok(()));
    assert!(world.account.owes_answer(caller));
    world.account.on_answer(caller, world.now);
    assert!(!world.account.owes_answer(caller));
    world.account.close(caller);
    assert_eq!(world.account.port(Port::Callers).closed, 1);
    assert_eq!(world.account.on_request(caller), Err(Refused));
}

/// Guards against a request that is started although its connection is being closed: the caller would
/// learn nothing of its end.
#[test]
fn a_request_is_not_started_once_its_connection_is_being_closed() {
    let mut world = World::new();
    let stopped = world.open();
    assert_eq!(world.hold(stopped, Share::Bodies, 90_000), GRANTED);
    world.now += ms(1_000);
    let other = world.open();
    let decision = world.hold(other, Share::Bodies, 50_000);
    assert_eq!(decision, closes(&[stopped]));
    assert_eq!(world.account.on_request(stopped), Err(Refused));
    assert_eq!(world.hold(stopped, Share::Bodies, 1), REFUSED);
}

/// Guards against a client that grows without bound although it is the one that should be closed.
#[test]
fn the_client_that_asks_may_be_the_one_to_close() {
    let mut world = World::new();
    let greedy = world.open();
    assert_eq!(world.hold(greedy, Share::Bodies, 99_000), GRANTED);
    world.now += ms(1_000);
    let small = world.open();
    assert_eq!(world.hold(small, Share::Bodies, 500), GRANTED);
    assert_eq!(world.hold(greedy, Share::Bodies, 5_000), REFUSED);
    assert_eq!(world.account.on_request(greedy), Err(Refused));
    assert_eq!(world.account.on_request(small), Ok(()));
}

/// Guards against one kind of memory that starves another.
#[test]
fn a_full_share_leaves_the_others_alone() {
    let mut world = World::new();
    let bodies = world.open();
    assert_eq!(world.hold(bodies, Share::Bodies, 100_000), GRANTED);
    world.now += ms(1_000);
    let heads = world.open();
    assert_eq!(world.hold(heads, Share::Heads, 100_000), GRANTED);
    assert_eq!(world.hold(bodies, Share::Answers, 100_000), GRANTED);
}

/// Guards against answers that are thrown away after leafs have worked for them, and against answers
/// that others do not read and that stay nevertheless.
#[test]
fn an_answer_is_never_refused_and_closes_those_that_are_not_read() {
    let mut world = World::new();
    let unread = world.open();
    assert_eq!(world.account.on_request(unread), Ok(()));
    world.account.on_answer(unread, world.now);
    assert_eq!(world.hold(unread, Share::Answers, 150_000), GRANTED);
    world.now += ms(100);
    let reading = world.open();
    assert_eq!(
        world.hold(reading, Share::Answers, 90_000),
        closes(&[unread])
    );
}

/// Guards against a port that new callers cannot use because idle connections hold all of it.
#[test]
fn one_connection_too_many_closes_the_longest_unused() {
    let mut world = World::new();
    let keys: Vec<_> = (0..4)
        .map(|_| {
            world.now += ms(10);
            world.open()
        })
        .collect();
    // The first is in use, the second waits for its next request, the others have sent nothing.
    world.account.on_request(keys[0]).expect("not closing");
    world.account.on_answer(keys[1], world.now);
    world.now += ms(1_000);
    // The connections that are opened meanwhile are not closed: their requests are on the way.
    for expected in [keys[2], keys[3], keys[1]] {
        let (_, close) = world
            .account
            .open(Port::Callers, world.now)
            .expect("a place");
        assert_eq!(close, Some(expected));
        world.account.on_end(expected);
    }
}

/// Guards against callers whose connections are closed because they are old, although they use them.
#[test]
fn of_idle_connections_the_longest_idle_is_closed() {
    let mut world = World::new();
    let old = world.open();
    world.now += ms(100_000);
    let others: Vec<_> = (0..3).map(|_| world.open()).collect();
    for key in [others[0], others[1], others[2], old] {
        world.now += ms(1_000);
        world.account.on_answer(key, world.now);
    }
    world.now += ms(1_000);
    let (_, close) = world
        .account
        .open(Port::Callers, world.now)
        .expect("a place");
    assert_eq!(close, Some(others[0]));
}

/// Guards against requests in progress that are lost because of new connections.
#[test]
fn a_port_whose_connections_are_all_in_use_refuses_more() {
    let mut world = World::new();
    for _ in 0..4 {
        let key = world.open();
        world.account.on_request(key).expect("not closing");
    }
    assert!(world.account.open(Port::Callers, world.now).is_err());
    assert_eq!(world.account.port(Port::Callers).refused, 1);
    assert!(world.account.open(Port::Instances, world.now).is_ok());
}

/// Guards against memory that is forgotten because its connection has ended: a body is kept while
/// leafs need it.
#[test]
fn what_an_ended_connection_holds_counts_until_it_is_released() {
    let mut world = World::new();
    let key = world.open();
    assert_eq!(world.hold(key, Share::Bodies, 100_000), GRANTED);
    world.account.on_request(key).expect("not closing");
    world.account.on_end(key);
    assert_eq!(world.account.port(Port::Callers).used, 0);
    let new = world.open();
    assert_eq!(world.hold(new, Share::Bodies, 30_000), REFUSED);
    world.account.release(key, Share::Bodies, 100_000);
    assert_eq!(world.hold(new, Share::Bodies, 30_000), GRANTED);
}

/// Guards against limits that a client inside the configured ones meets on the smallest machines of
/// the platform, or that are more than the machine has.
#[test]
fn the_limits_of_the_smallest_machine_leave_room_for_ordinary_use() {
    let memory = 160 << 20;
    let descriptors = 4_100;
    let limits = Limits::of_machine(memory, descriptors);
    let [heads, bodies, answers] = limits.bytes;
    // A hundred of the longest bodies and of the longest heads, with the buffers for these.
    assert!(bodies >= 100 * 262_144, "{bodies}");
    assert!(heads >= 100 * (2 * (17 << 10) + (8 << 10)), "{heads}");
    // The longest answer.
    assert!(answers >= 8 << 20, "{answers}");
    let [callers, instances, readiness, metrics] = limits.connections;
    assert!(callers >= 1_000 && instances >= 500, "{limits:?}");
    assert!(readiness >= 32 && metrics >= 32, "{limits:?}");
    let connections = callers + instances + readiness + metrics;
    assert!(connections <= (descriptors - 200) * 3 / 4, "{limits:?}");
    let memory_of_connections = connections * (20 << 10);
    let sum = heads + bodies + answers + memory_of_connections;
    assert!(sum <= memory * 3 / 4, "{sum}");
}

/// Guards against limits of 0 on machines that are smaller than any on the platform.
#[test]
fn tiny_machines_have_limits_too() {
    for (memory, descriptors) in [(1 << 20, 64), (16 << 20, 100), (32 << 20, 250)] {
        let limits = Limits::of_machine(memory, descriptors);
        assert!(limits.bytes.iter().all(|bytes| *bytes > 0), "{limits:?}");
        assert!(
            limits.connections.iter().all(|most| *most >= 2),
            "{limits:?}"
        );
    }
}
