//! State machines: typed input and the current time go in, typed actions come out.

pub mod rollout;
