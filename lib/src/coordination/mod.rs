//! The decisions of the query tier as state machines without I/O: each takes a typed input and the
//! current time, and returns typed actions.

pub mod admission;
pub mod budget;
pub mod call;
pub mod control;
pub mod correlation;
pub mod currency;
pub mod dispatch;
pub mod drain;
pub mod gossip;
pub mod hedge;
pub mod idempotency;
pub mod limit;
pub mod membership;
pub mod merge;
pub mod ownership;
pub mod pin;
pub mod poison;
pub mod proposal;
pub mod query;
pub mod replica;
pub mod rollout;
pub mod serving;
pub mod shutdown;
pub mod warmth;
