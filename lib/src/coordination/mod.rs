//! State machines for every decision of the tier.

pub mod call;
pub mod dispatch;
pub mod drain;
pub mod idempotency;
pub mod limit;
pub mod poison;
pub mod shutdown;
pub mod warmth;
