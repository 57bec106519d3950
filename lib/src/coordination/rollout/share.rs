//! The choice between the old and the new version of a request.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::state::id::RolloutId;

/// One of the two versions of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Side {
    /// The version that carries traffic before.
    Old,
    /// The version that should carry traffic after.
    New,
}

/// Returns the position of a request within a rollout, from 0 to 999.
///
/// The rollout is part of the hash, so that the same callers are not the first ones in every
/// rollout.
#[must_use]
pub fn position(rollout: &RolloutId, request_key: &[u8]) -> u16 {
    let seed = xxh3_64(rollout.as_str().as_bytes());
    let hash = xxh3_64_with_seed(request_key, seed);
    // Multiplying maps the hash to the range without the bias of a remainder.
    let position = (u128::from(hash) * u128::from(super::FULL_SHARE)) >> 64;
    u16::try_from(position).unwrap_or(super::FULL_SHARE - 1)
}

/// Returns the version that a request goes to.
///
/// All instances agree, and a request that went to the new version at a lower share goes there at
/// any higher share.
#[must_use]
pub fn side(rollout: &RolloutId, request_key: &[u8], share_permille: u16) -> Side {
    if position(rollout, request_key) < share_permille {
        Side::New
    } else {
        Side::Old
    }
}
