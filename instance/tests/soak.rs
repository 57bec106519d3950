//! Short runs of the soak test: a general one, and one for each fault that the soak has found, with
//! the seed that found it.

use std::path::Path;
use std::time::Duration;

use camphorhold_soak::Options;

/// Runs one seed and checks that no promise was broken.
fn run(seed: u64, seconds: u64) {
    run_with(seed, seconds, false);
}

fn run_with(seed: u64, seconds: u64, additional: bool) {
    let logs = format!("camphorhold-soak-{}-{seed}", std::process::id());
    let logs = std::env::temp_dir().join(logs);
    std::fs::create_dir_all(&logs).expect("a folder for logs");
    let result = camphorhold_soak::run(&Options {
        program: Path::new(env!("CARGO_BIN_EXE_camphorhold-instance")).into(),
        previous: None,
        seed,
        length: Duration::from_secs(seconds),
        instances: 3,
        additional,
        logs: Some(logs.clone()),
    });
    let report = result.expect("the run can be completed");
    if !report.violations.is_empty() {
        print_start_errors(&logs);
    }
    assert!(report.requests > 100, "{report:#?}");
    assert!(report.violations.is_empty(), "{report:#?}");
    // A folder that is left over is small.
    let _ = std::fs::remove_dir_all(&logs);
}

/// Prints why instances did not start: the lines that are no entries of their logs.
fn print_start_errors(logs: &Path) {
    eprintln!("logs of the instances: {}", logs.display());
    for file in std::fs::read_dir(logs).into_iter().flatten().flatten() {
        let log = std::fs::read_to_string(file.path()).unwrap_or_default();
        for line in log.lines().filter(|line| !line.starts_with('{')) {
            eprintln!("{}: {line}", file.path().display());
        }
    }
}

/// Guards against faults that break a promise to callers or leafs.
#[test]
fn promises_hold_under_mixed_faults() {
    run(1, 6);
}

/// Guards against faults that break a promise while the store is restored from copies and leafs name
/// limits.
#[test]
fn promises_hold_with_restores_and_limits() {
    run_with(5, 12, true);
}

/// Guards against a false finding of the soak: two evacuations of one failure domain overlapped,
/// and the end of the first ended the second, too.
#[test]
fn seed_2_an_evacuation_ends_an_overlapping_one() {
    run(2, 8);
}

/// Guards against an instance that exits when it is started again: while it was down after a kill,
/// an outgoing connection took its port.
#[test]
fn seed_12_a_port_is_taken_between_restarts() {
    run(12, 10);
}

/// Guards against a false finding of the soak: requests that were in transit while a shutdown
/// closed their connection, and that no leaf ran, counted as lost.
#[test]
fn seed_5_requests_cross_the_close_of_their_connection() {
    run(5, 10);
}

/// Guards against a leaf that stays unused: after it had once answered that another leaf has its
/// address, instances never sent it a request again.
#[test]
fn seed_27_a_leaf_stays_unused_after_a_wrong_answer() {
    run(27, 10);
}

/// Guards against a false finding of the soak: requests that reached an instance while it was
/// paused during its shutdown, and that no leaf ran, counted as lost.
#[test]
fn seed_123_requests_reach_an_instance_paused_in_its_shutdown() {
    run(123, 10);
}

/// Guards against a change that is in force too late because all watches miss it while reads that may
/// be old are old.
#[test]
fn seed_773_a_change_that_all_watches_miss_is_in_force_in_time() {
    run_with(773, 12, true);
}
