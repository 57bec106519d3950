//! Connections to backend servers, to other instances and to the key-value service.

pub mod body;
pub mod client;
pub(crate) mod head_limit;
pub mod http;
pub mod leaf;
pub mod peer;
pub mod read_budget;
pub mod receive;
pub mod store;
pub mod supervisor;
