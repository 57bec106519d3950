//! State machines that decide; they hold no socket, clock, thread or random source of their own.

pub mod admission;
pub mod budget;
pub mod correlation;
pub mod hedge;
pub mod merge;
pub mod pin;
pub mod query;
pub mod replica;
