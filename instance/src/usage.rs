//! Counts the requests of customers that leafs begin to run, and holds the state of their reports.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use camphorhold::coordination::serving::Duty;
use camphorhold::coordination::serving::usage::Attempt;
use camphorhold::coordination::serving::usage::Collection;
use camphorhold::coordination::serving::usage::Counts;
use camphorhold::coordination::serving::usage::Outbox;
use camphorhold::coordination::serving::usage::Reporter;
use camphorhold::coordination::serving::usage::WallClock;
use camphorhold::coordination::serving::usage::WindowId;
use camphorhold::coordination::serving::usage::Windows;
use camphorhold::coordination::serving::usage::collection::ProcessId;
use camphorhold::state::time::Clock;
use camphorhold_platform::settings::Settings;
use tokio::sync::Notify;

use crate::call::ForwardedRequest;
use crate::duty;
use crate::request::Source;
use crate::shared::Shared;

/// The most customers that the metrics name. Further ones are counted together.
const MAX_NAMED_CUSTOMERS: usize = 100;

/// The state of the duty and of the counts. All of it is idle where no usage is reported.
pub struct State {
    is_enabled: bool,
    /// Tells this process from an earlier one of the same name.
    pub process: ProcessId,
    /// The windows. Their length is that of the settings at the start: the numbers of windows change
    /// their meaning with it.
    pub windows: Windows,
    /// The wall clock of the windows.
    pub clock: RefCell<WallClock>,
    /// What this instance has counted.
    pub counts: RefCell<Counts>,
    /// What it has to deliver to the holder.
    pub outbox: RefCell<Outbox>,
    /// What it has received from others as the holder.
    pub collection: RefCell<Collection>,
    /// The reports.
    pub reporter: RefCell<Reporter>,
    /// The duty.
    pub duty: RefCell<Duty>,
    /// Wakes the tasks of the duty and of the reports.
    pub changed: Notify,
    named: RefCell<Vec<Arc<str>>>,
}

impl State {
    /// Creates the state of a process that starts now.
    pub fn new(settings: &Settings, clock: &dyn Clock) -> Self {
        let now = clock.since_boot();
        let wall_clock = WallClock::new(wall(clock), now);
        let windows = Windows::new(settings.bounds.usage_window);
        let delay = settings.bounds.usage_delay;
        let reporter = Reporter::new(windows, delay, wall_clock.unix(now));
        Self {
            is_enabled: settings.usage_address.is_some(),
            process: ProcessId(rand::random()),
            windows,
            clock: RefCell::new(wall_clock),
            counts: RefCell::default(),
            outbox: RefCell::default(),
            collection: RefCell::default(),
            reporter: RefCell::new(reporter),
            duty: RefCell::new(Duty::new(
                settings.name.clone(),
                duty::times(settings.bounds),
                now,
            )),
            changed: Notify::new(),
            named: RefCell::default(),
        }
    }

    /// Returns whether the settings ask for reports of usage.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Returns the time since the start of 1970, by a clock that ignores jumps.
    pub fn unix(&self, since_boot: Duration) -> Duration {
        self.clock.borrow().unix(since_boot)
    }

    /// Applies what the wall clock shows, and forgets what is no longer needed.
    pub fn update(&self, clock: &dyn Clock) {
        let now = clock.since_boot();
        if self.clock.borrow_mut().observe(wall(clock), now) {
            log::warn!("the wall clock was set; usage windows follow it now");
        }
        let first = self.windows.first_kept(self.unix(now));
        self.counts.borrow_mut().forget_before(first);
        self.collection.borrow_mut().forget_before(first);
    }

    fn record_request(&self, customer: &Arc<str>) {
        let mut named = self.named.borrow_mut();
        let is_named = named.contains(customer);
        if !is_named && named.len() < MAX_NAMED_CUSTOMERS {
            named.push(Arc::clone(customer));
        }
        let label = if is_named || named.contains(customer) {
            customer.to_string()
        } else {
            "other".to_owned()
        };
        metrics::counter!("camphorhold_customer_requests_total", "customer" => label).increment(1);
    }
}

fn wall(clock: &dyn Clock) -> Duration {
    let wall = clock.wall().duration_since(UNIX_EPOCH);
    wall.unwrap_or_default()
}

/// Counts one attempt of a request at the instance that has admitted it from a caller or a relay.
#[derive(Debug, Default)]
pub struct Tracker {
    // `None` at an instance that serves a handover.
    attempt: Option<RefCell<Attempt>>,
}

impl Tracker {
    /// Creates the tracker of a request that has no call yet.
    pub fn new(source: Source) -> Self {
        Self {
            attempt: (source != Source::Instance).then(RefCell::default),
        }
    }
}

/// One call to a leaf or one handover of a request that is counted. Dropped without
/// [`Self::on_refused`], the call counts as one that was not refused.
pub struct Call {
    shared: Rc<Shared>,
    forwarded: Rc<ForwardedRequest>,
    window: Cell<Option<WindowId>>,
}

impl Call {
    /// Creates a call that is not sent yet.
    pub fn new(shared: &Rc<Shared>, forwarded: &Rc<ForwardedRequest>) -> Self {
        Self {
            shared: Rc::clone(shared),
            forwarded: Rc::clone(forwarded),
            window: Cell::new(None),
        }
    }

    /// Records that the call is about to be sent.
    pub fn on_sent(&self) {
        let usage = &self.shared.usage;
        let (Some(attempt), Some(customer)) =
            (&self.forwarded.usage.attempt, &self.forwarded.customer)
        else {
            return;
        };
        if !usage.is_enabled() {
            return;
        }
        let unix = usage.unix(self.shared.clock.since_boot());
        let window = usage.windows.at(unix);
        self.window.set(Some(window));
        let mut counts = usage.counts.borrow_mut();
        let is_first = attempt.borrow_mut().on_sent(window, customer, &mut counts);
        if is_first {
            usage.record_request(customer);
        }
    }

    /// Records that no leaf has run the request because of this call.
    pub fn on_refused(&self) {
        if let Some(window) = self.window.take()
            && let Some(attempt) = &self.forwarded.usage.attempt
            && let Some(customer) = &self.forwarded.customer
        {
            let mut counts = self.shared.usage.counts.borrow_mut();
            attempt
                .borrow_mut()
                .on_refused(window, customer, &mut counts);
        }
    }
}
