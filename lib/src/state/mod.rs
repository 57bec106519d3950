//! Data shared by all layers: ids, sizes, time, the operators' file.

pub mod file;
pub mod id;
pub mod size;
pub mod time;
