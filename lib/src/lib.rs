//! Coordination parts of the camphorhold query tier.
//!
//! The library makes all decisions of the tier: which configuration is in force, which instance
//! owns which backend server, which replica gets a call, how much load a server may receive, and
//! how answers are merged. The daemon in `daemon/` adds the listeners, threads and clocks. Other
//! programs can embed the parts they need.
//!
//! The layers, lowest first; a layer never imports a higher one:
//!
//! * [`state`]: plain data types (ids, sizes, the operators' file, the control record).
//! * [`coordination`]: state machines. They take typed input and the current time and return typed
//!   actions; they hold no socket, clock, thread or random source of their own.
//! * [`protocol`]: serialised messages and their conversion from and to the state types.
//! * [`transport`]: connections to backend servers, to other instances and to the key-value
//!   service.

pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
