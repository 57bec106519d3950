//! Decisions as plain state machines: typed input and a time go in, typed actions come out.

pub mod control;
pub mod currency;
pub mod gossip;
pub mod membership;
pub mod ownership;
pub mod proposal;
