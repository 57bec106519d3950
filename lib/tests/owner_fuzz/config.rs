//! The proptest configuration of the fuzzing runs: a fixed number of cases and a fixed seed, unless
//! environment variables override them.

use std::env;
use std::str::FromStr;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Returns a configuration with this number of cases and this seed. The environment variables
/// `PROPTEST_CASES`, `PROPTEST_RNG_SEED` and `PROPTEST_MAX_SHRINK_ITERS` override its values.
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
