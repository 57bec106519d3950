//! The choice between the old and the new version for a request.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::state::id::RolloutId;

/// One of the two versions of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Side {
    /// The version that gets all traffic before the rollout.
    Old,
    /// The version that gets all traffic after a completed rollout.
    New,
}

/// Returns the position of a request within a rollout, from 0 to 999.
///
/// The hash includes the rollout, so that each rollout starts with other callers.
#[must_use]
pub fn position(rollout: &RolloutId, request_key: &[u8]) -> u16 {
    let seed = xxh3_64(rollout.as_str().as_bytes());
    let hash = xxh3_64_with_seed(request_key, seed);
    // Multiplication maps the hash to the range without the bias of the remainder operator.
    let position = (u128::from(hash) * u128::from(super::FULL_SHARE)) >> 64;
    u16::try_from(position).unwrap_or(super::FULL_SHARE - 1)
}

/// Returns the version that a request goes to.
///
/// The result is the same on all instances. A request that goes to the new version at one share
/// also goes there at any higher share.
#[must_use]
pub fn side(rollout: &RolloutId, request_key: &[u8], share_permille: u16) -> Side {
    if position(rollout, request_key) < share_permille {
        Side::New
    } else {
        Side::Old
    }
}
