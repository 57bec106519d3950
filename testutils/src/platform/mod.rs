//! Stand-in of the users' platform: its store, and leafs with the failures that its pages name.

pub mod leaf;
pub mod store;
