//! Serving on a platform whose store holds the configuration and the list of leafs.
//!
//! Every instance calls the leafs itself. What all instances share (retry budgets, connections of
//! a leaf, the load of a cold leaf) is divided by the number of instances, so that no call waits
//! for another instance.

pub mod concurrency_limit;
pub mod fanout;
pub mod fleet;
pub mod instances;
pub mod retry_budget;
pub mod shutdown;
pub mod split;

pub use self::concurrency_limit::ConcurrencyLimits;
pub use self::fanout::Fanout;
pub use self::fleet::Fleet;
pub use self::instances::Instances;
pub use self::retry_budget::RetryBudgets;
