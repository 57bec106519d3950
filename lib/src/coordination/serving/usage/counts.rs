//! What one instance counts.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::WindowId;

/// The most customers that are counted in one window. The names come from the configuration.
const MAX_CUSTOMERS: usize = 10_000;

/// The number of requests of each customer.
pub type ByCustomer = BTreeMap<Arc<str>, u64>;

/// The counts of one window.
#[derive(Clone, Debug, Default)]
pub struct WindowCounts {
    // Rises with each change.
    version: u64,
    by_customer: ByCustomer,
}

impl WindowCounts {
    /// Returns a number that rises with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the counts. A customer whose requests turned out not to have run has a 0.
    #[must_use]
    pub fn by_customer(&self) -> &ByCustomer {
        &self.by_customer
    }
}

/// The counts of an instance, by window and customer.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    windows: BTreeMap<WindowId, WindowCounts>,
}

impl Counts {
    /// Returns the windows that have counts.
    pub fn windows(&self) -> impl Iterator<Item = (WindowId, &WindowCounts)> {
        self.windows
            .iter()
            .map(|(window, counts)| (*window, counts))
    }

    /// Returns the counts of a window.
    #[must_use]
    pub fn get(&self, window: WindowId) -> Option<&WindowCounts> {
        self.windows.get(&window)
    }

    /// Forgets the windows before `first`.
    pub fn forget_before(&mut self, first: WindowId) {
        self.windows = self.windows.split_off(&first);
    }

    fn add(&mut self, window: WindowId, customer: &Arc<str>) {
        let counts = self.windows.entry(window).or_default();
        if let Some(count) = counts.by_customer.get_mut(customer) {
            *count += 1;
        } else if counts.by_customer.len() < MAX_CUSTOMERS {
            counts.by_customer.insert(Arc::clone(customer), 1);
        }
        counts.version += 1;
    }

    fn subtract(&mut self, window: WindowId, customer: &Arc<str>) {
        // A window that was forgotten is not created again.
        if let Some(counts) = self.windows.get_mut(&window) {
            if let Some(count) = counts.by_customer.get_mut(customer) {
                *count = count.saturating_sub(1);
            }
            counts.version += 1;
        }
    }
}

/// One attempt of a caller's request. It counts once, in the window of its first call that was not
/// refused; a call that has no answer yet is taken as not refused.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    // The windows in which calls were sent, each with the number of those that were not refused.
    calls: BTreeMap<WindowId, u32>,
    counted: Option<WindowId>,
}

impl Attempt {
    /// Records a call to a leaf, or a handover, that is sent now. Returns whether the request was not
    /// counted before.
    pub fn on_sent(&mut self, window: WindowId, customer: &Arc<str>, counts: &mut Counts) -> bool {
        let was_counted = self.counted.is_some();
        *self.calls.entry(window).or_default() += 1;
        self.update(customer, counts);
        !was_counted
    }

    /// Records that a call sent in this window has not reached a leaf, or that the leaf did not run
    /// the request.
    pub fn on_refused(&mut self, window: WindowId, customer: &Arc<str>, counts: &mut Counts) {
        if let Some(calls) = self.calls.get_mut(&window) {
            *calls -= 1;
            if *calls == 0 {
                self.calls.remove(&window);
            }
        }
        self.update(customer, counts);
    }

    fn update(&mut self, customer: &Arc<str>, counts: &mut Counts) {
        let first = self.calls.keys().next().copied();
        if first == self.counted {
            return;
        }
        if let Some(before) = self.counted {
            counts.subtract(before, customer);
        }
        if let Some(window) = first {
            counts.add(window, customer);
        }
        self.counted = first;
    }
}
