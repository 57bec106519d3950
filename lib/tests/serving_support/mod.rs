//! Common fixtures for the tests of serving: leaf entries, fleets and durations.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::Fleet;
use camphorhold::coordination::serving::fleet::LeafEntry;
use camphorhold::coordination::serving::fleet::LeafLimits;
use camphorhold::coordination::serving::fleet::Standing;

/// Limits that are too high to affect a test.
#[allow(dead_code, reason = "not every test file needs it")]
pub const AMPLE_LIMITS: LeafLimits = LeafLimits {
    max_connections: 100,
    cold_rate: None,
};

/// Returns the entry of a ready, warm leaf with two slots.
#[allow(dead_code, reason = "not every test file needs it")]
pub fn entry(id: &str, service: &str, domain: &str) -> LeafEntry {
    LeafEntry {
        id: id.into(),
        started_unix_ms: None,
        write_number: 1,
        service: service.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: domain.into(),
        version: "v1".into(),
        slots: 2,
        standing: Standing::Ready,
        cold_remaining: Duration::ZERO,
    }
}

/// Returns the fleet of an instance in domain `a`, from the id, service and domain of each leaf.
#[allow(dead_code, reason = "not every test file needs it")]
pub fn fleet(leafs: &[(&str, &str, &str)], now: Instant) -> Fleet {
    let mut fleet = Fleet::new("a".into());
    for (id, service, domain) in leafs {
        fleet.update(entry(id, service, domain), now);
    }
    fleet
}

/// Returns a duration of that many milliseconds.
#[allow(dead_code, reason = "not every test file needs it")]
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
