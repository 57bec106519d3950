//! Data shared by all layers: ids, sizes, time, the operators' file.

pub mod event;
pub mod file;
pub mod hlc;
pub mod id;
pub mod size;
pub mod time;
