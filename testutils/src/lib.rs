//! Stand-ins for the platform, for tests and demonstrations.
//!
//! The crate does not depend on the `camphorhold` library: it implements the published protocols
//! on its own, so that a test against a stand-in also checks the library's encoding.

pub mod backend;
pub mod balancer;
pub mod client;
pub mod instances;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod server;
pub mod store;
