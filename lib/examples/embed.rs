//! Embeds the currency rule in another program: decides from evidence and the time alone whether a
//! process may act on the configuration that it holds.
//!
//! The state machines hold no socket, clock or thread. The program passes in what it observed and
//! when, so the same code runs with a virtual clock. Run with `cargo run -p camphorhold --example
//! embed`.

use std::collections::BTreeSet;
use std::error::Error;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::currency::Evidence;
use camphorhold::coordination::currency::Heartbeat;
use camphorhold::state::id::Generation;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::OperationId;
use camphorhold::state::record::Candidate;
use camphorhold::state::record::Record;
use camphorhold::state::view::Currency;

/// Evidence that is older does not count.
const CURRENCY_BOUND: Duration = Duration::from_secs(3);

/// Returns a record with three members, all of which are witnesses.
fn record() -> Result<Record, Box<dyn Error>> {
    let mut members = Vec::new();
    for number in 1..=3_u8 {
        members.push(Candidate {
            instance: InstanceId(number.into()),
            address: format!("10.0.0.{number}:7200").parse()?,
            traffic_address: format!("10.0.0.{number}:7100").parse()?,
            failure_domain: "north".parse()?,
        });
    }
    Ok(Record::empty().with_roster_change(OperationId(1), &members, &BTreeSet::new()))
}

/// Returns the heartbeat of a witness. `highest` is the highest generation that it has seen or
/// promised.
fn heartbeat(witness: u64, sequence: u64, highest: Generation) -> Heartbeat {
    Heartbeat {
        witness: InstanceId(witness),
        sequence,
        highest,
        age_ms: 0,
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let record = record()?;
    let generation = record.generation;
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut evidence = Evidence::default();
    let report = |evidence: &Evidence, seconds: u64| {
        let (currency, _) = evidence.assess(&record, CURRENCY_BOUND, at(seconds));
        println!("after {seconds} s: {currency:?}");
        currency
    };

    // The program has read the store, which still holds this generation.
    evidence.note_store(generation, at(0));
    assert_eq!(report(&evidence, 1), Currency::Current);

    // The store is down. Two of the three witnesses have neither seen nor promised a newer
    // generation.
    for witness in [1, 2] {
        evidence.note_heartbeat(&heartbeat(witness, 1, generation), at(4));
    }
    assert_eq!(report(&evidence, 5), Currency::Witnessed);

    // One of them promises the next generation, so a majority no longer supports this one.
    let promised = Generation(generation.0 + 1);
    evidence.note_heartbeat(&heartbeat(1, 2, promised), at(5));
    assert_eq!(report(&evidence, 6), Currency::Lost);
    Ok(())
}
