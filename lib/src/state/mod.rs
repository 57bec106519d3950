//! Data shared by all layers: ids, sizes, time, the operators' file, the control record.

pub mod assignment;
pub mod compression;
pub mod customer;
pub mod event;
pub mod file;
pub mod hlc;
pub mod id;
pub mod plan;
pub mod rate;
pub mod record;
pub mod rollout;
pub mod size;
pub mod time;
pub mod view;
