//! The tokens that this instance holds for a leaf.

use std::time::Instant;

/// Tokens with a common expiry. Holds none until the first grant.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::coordination::serving) struct Lease {
    tokens: u32,
    expires_at: Option<Instant>,
}

impl Lease {
    /// Returns whether a call may be sent now.
    pub(in crate::coordination::serving) fn has_token(&self, now: Instant) -> bool {
        self.tokens > 0 && self.expires_at.is_some_and(|at| now < at)
    }

    /// Uses a token for a call.
    pub(in crate::coordination::serving) fn take(&mut self) {
        self.tokens = self.tokens.saturating_sub(1);
    }

    /// Gives up all tokens and returns how many of them could still have been used.
    pub(in crate::coordination::serving) fn withdraw(&mut self, now: Instant) -> u32 {
        let left = if self.has_token(now) { self.tokens } else { 0 };
        self.tokens = 0;
        left
    }

    /// Replaces the tokens by newly granted ones.
    pub(in crate::coordination::serving) fn renew(&mut self, tokens: u32, expires_at: Instant) {
        self.tokens = tokens;
        self.expires_at = Some(expires_at);
    }
}
