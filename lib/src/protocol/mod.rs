//! Serialised messages, converted from and to the state types.

pub mod control;
