//! Configuration of the fuzzing runs: fixed seeds, overridden by the environment.

use std::env;
use std::str::FromStr;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Returns a configuration with fixed cases and seed, unless `PROPTEST_CASES` and
/// `PROPTEST_RNG_SEED` say otherwise.
pub fn fixed(cases: u32, seed: u64) -> Config {
    Config {
        cases: from_environment("PROPTEST_CASES").unwrap_or(cases),
        rng_seed: RngSeed::Fixed(from_environment("PROPTEST_RNG_SEED").unwrap_or(seed)),
        failure_persistence: None,
        max_shrink_iters: from_environment("PROPTEST_MAX_SHRINK_ITERS").unwrap_or(20_000),
        ..Config::default()
    }
}

fn from_environment<T>(name: &str) -> Option<T>
where
    T: FromStr,
{
    env::var(name).ok()?.parse().ok()
}
