//! Serving on a platform whose store holds the configuration and the list of leafs.
//!
//! Each instance calls the leafs directly. The limits that apply to all instances together (retry
//! budgets, connections to a leaf, the request rate of a cold leaf) are divided by the number of
//! instances, so that a call does not have to wait for another instance. Limits that leafs name
//! themselves are too small for that: one instance grants the calls to such a leaf ([`rate_limit`]).

pub mod alarms;
pub mod change_log;
pub mod concurrency_limit;
pub mod duty;
pub mod fanout;
pub mod fleet;
pub mod freshness;
pub mod instances;
pub mod memory_account;
pub mod precedence;
pub mod rate_limit;
pub mod reachability;
pub mod receive_buffers;
pub mod retry_budget;
pub mod shard_load;
pub mod shutdown;
pub mod split;
pub mod suspects;
pub mod usage;
pub mod watch;

pub use self::alarms::Alarms;
pub use self::change_log::ChangeLog;
pub use self::concurrency_limit::ConcurrencyLimits;
pub use self::duty::Duty;
pub use self::fanout::Fanout;
pub use self::fleet::Fleet;
pub use self::freshness::Freshness;
pub use self::instances::Instances;
pub use self::retry_budget::RetryBudgets;
pub use self::shard_load::ShardLoads;
pub use self::suspects::Suspects;
