//! The counts that the holder has received from other instances.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use super::WindowId;
use super::counts::ByCustomer;

/// The most processes that are collected for one window, and the most customers in one window of a
/// process. Both are several times as many as the largest fleet has.
const MAX_PROCESSES: usize = 10_000;
const MAX_CUSTOMERS: usize = 10_000;

/// The most names of customers that are remembered.
const MAX_NAMES: usize = 100_000;

/// A random number that tells a process from others of the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProcessId(pub u64);

/// A customer, by its place among the names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Name(usize);

/// The latest count of a customer: the sequence number of its delivery, and the count.
type Latest = (u64, u64);

/// Counts by window, process and customer. A process that was restarted under the same name keeps its
/// earlier counts.
#[derive(Clone, Debug, Default)]
pub struct Collection {
    names: Vec<Arc<str>>,
    by_name: HashMap<Arc<str>, Name>,
    windows: BTreeMap<WindowId, HashMap<ProcessId, BTreeMap<Name, Latest>>>,
}

impl Collection {
    /// Applies counts of a process. Of several counts of a customer, that with the highest sequence
    /// number counts, so datagrams may be late, repeated or reordered.
    pub fn on_delivery<'a, I>(
        &mut self,
        window: WindowId,
        process: ProcessId,
        sequence: u64,
        counts: I,
    ) where
        I: Iterator<Item = (&'a str, u64)>,
    {
        let processes = self.windows.entry(window).or_default();
        if processes.len() >= MAX_PROCESSES && !processes.contains_key(&process) {
            return;
        }
        let latest = processes.entry(process).or_default();
        for (customer, count) in counts {
            let name = match self.by_name.get(customer) {
                Some(name) => *name,
                None if self.names.len() >= MAX_NAMES => continue,
                None => {
                    let name = Name(self.names.len());
                    let customer: Arc<str> = customer.into();
                    self.names.push(Arc::clone(&customer));
                    self.by_name.insert(customer, name);
                    name
                }
            };
            if latest.len() >= MAX_CUSTOMERS && !latest.contains_key(&name) {
                continue;
            }
            let entry = latest.entry(name).or_default();
            if sequence >= entry.0 {
                *entry = (sequence, count);
            }
        }
    }

    /// Returns the sum over all processes, and `own` in addition. Customers without requests are left
    /// out.
    #[must_use]
    pub fn total(&self, window: WindowId, own: Option<&ByCustomer>) -> ByCustomer {
        let mut total = own.cloned().unwrap_or_default();
        let processes = self.windows.get(&window).into_iter().flatten();
        for (name, (_, count)) in processes.flat_map(|(_, latest)| latest) {
            let customer = Arc::clone(&self.names[name.0]);
            let sum = total.entry(customer).or_default();
            *sum = sum.saturating_add(*count);
        }
        total.retain(|_, count| *count > 0);
        total
    }

    /// Forgets the windows before `first`.
    pub fn forget_before(&mut self, first: WindowId) {
        self.windows = self.windows.split_off(&first);
    }
}
