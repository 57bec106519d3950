//! Serialised messages, with conversions from and to the state types.

pub mod caller;
pub mod control;
pub mod instance;
pub mod leaf;
pub mod peer;
pub mod store;
