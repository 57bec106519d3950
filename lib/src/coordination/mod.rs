//! Decisions as plain state machines: typed input and a time go in, typed actions come out.

pub mod call;
pub mod control;
pub mod currency;
pub mod dispatch;
pub mod drain;
pub mod gossip;
pub mod idempotency;
pub mod limit;
pub mod membership;
pub mod ownership;
pub mod poison;
pub mod proposal;
pub mod shutdown;
pub mod warmth;
