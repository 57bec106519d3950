//! Limits that leafs set on the requests from all instances together.
//!
//! A leaf names its limit in its answers, and no instance sees what the others send. Each call to
//! such a leaf therefore takes a token. One instance, the grantor of the leaf, creates tokens at the
//! rate of the limit. The others claim them in advance, every [`CLAIM_INTERVAL`], by the requests
//! that they have, and return what they did not use. Tokens expire after [`LEASE_LIFETIME`], so the
//! requests in any span follow from the tokens that were created in it and shortly before,
//! whichever instances start, stop or fall silent. The grantor sends the other instances a notice
//! at the first claim, so that they do not each call the leaf once before they know.
//!
//! A grantor that is not the first choice grants only a part of the limit: the one that it replaces
//! may still grant tokens to other instances.

mod grantor;
mod lease;

use std::time::Duration;
use std::time::Instant;

pub use self::grantor::Grantor;
pub use self::grantor::Precedence;
pub(in crate::coordination::serving) use self::lease::Lease;
use crate::state::rate::RequestRate;

/// How often an instance claims tokens.
pub const CLAIM_INTERVAL: Duration = Duration::from_millis(250);

/// How long claimed tokens may be used, from when the claim was sent. Covers a claim interval and a
/// claim that is repeated at another grantor.
pub const LEASE_LIFETIME: Duration = Duration::from_millis(420);

/// How many tokens are wanted for each request that is expected until they expire. Arrivals are
/// uneven, and tokens that are not used are returned.
const TOKENS_PER_REQUEST: f64 = 1.5;

/// The most tokens in one claim.
const MAX_WANTED: u32 = 10_000;

/// A claim for tokens of one leaf.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// The leaf's id.
    pub leaf: Box<str>,
    /// The leaf's failure domain.
    pub domain: Box<str>,
    /// The limit that the leaf names.
    pub limit: RequestRate,
    /// When the claiming instance last received an answer with the limit.
    pub heard_at: Instant,
    /// How many tokens are wanted.
    pub wanted: u32,
    /// How many tokens of the last claim were not used. They cannot be used any more.
    pub returned: u32,
}

/// Tells an instance that a leaf limits its requests, before it has called the leaf itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// The leaf's id.
    pub leaf: Box<str>,
    /// The limit that the leaf names.
    pub limit: RequestRate,
    /// When an instance last received an answer with the limit.
    pub heard_at: Instant,
}

/// Returns how many tokens to claim for that many requests per second.
#[must_use]
pub fn wanted_tokens(requests_per_second: f64) -> u32 {
    let wanted = requests_per_second * LEASE_LIFETIME.as_secs_f64() * TOKENS_PER_REQUEST;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range"
    )]
    let wanted = wanted.ceil().clamp(0.0, f64::from(MAX_WANTED)) as u32;
    wanted
}
