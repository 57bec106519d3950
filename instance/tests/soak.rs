//! Short runs of the soak: one seed, and those that found something.

use std::path::Path;
use std::time::Duration;

use camphorhold_soak::Options;

fn run(seed: u64, seconds: u64) {
    let result = camphorhold_soak::run(&Options {
        program: Path::new(env!("CARGO_BIN_EXE_camphorhold-instance")).into(),
        seed,
        length: Duration::from_secs(seconds),
        instances: 3,
        logs: None,
    });
    let report = result.expect("the run can be made");
    assert!(report.requests > 100, "{report:#?}");
    assert!(report.violations.is_empty(), "{report:#?}");
}

#[test]
fn promises_hold_under_mixed_faults() {
    run(1, 6);
}

/// The end of one order to evacuate a failure domain counted as the end of another.
#[test]
fn seed_2_overlapping_evacuations() {
    run(2, 8);
}

/// An outgoing connection took the port of an instance that was down, and the instance ended.
#[test]
fn seed_12_kills_in_series() {
    run(12, 10);
}

/// Requests that crossed the close of their connection were counted as lost.
#[test]
fn seed_5_overlapping_shutdowns() {
    run(5, 10);
}

/// A leaf that once answered for another one was never asked again.
#[test]
fn seed_27_leafs_with_wrong_answers() {
    run(27, 10);
}

/// Requests that reached an instance while it stood still in its shutdown counted as lost.
#[test]
fn seed_123_pauses_in_shutdowns() {
    run(123, 10);
}
