//! Reports the usage of customers to the platform, while this instance holds the duty.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use camphorhold::coordination::serving::duty::Epoch;
use camphorhold::coordination::serving::duty::RenewalOutcome;
use camphorhold::coordination::serving::duty::Right;
use camphorhold::coordination::serving::usage::WindowId;
use camphorhold::coordination::serving::usage::counts::WindowCounts;
use camphorhold::coordination::serving::usage::report::Action;
use camphorhold::coordination::serving::usage::report::Finalized;
use camphorhold::coordination::serving::usage::report::Ledger;
use camphorhold::coordination::serving::usage::report::PostOutcome;
use camphorhold::coordination::serving::usage::report::Write;
use camphorhold_platform::key;
use camphorhold_platform::key::Key;
use camphorhold_platform::store::Put;
use camphorhold_platform::store::Store;
use camphorhold_platform::store::StoreError;
use camphorhold_platform::usage;
use camphorhold_platform::usage::Report;
use camphorhold_platform::usage::UsageError;
use serde::Deserialize;
use serde::Serialize;

use crate::duty;
use crate::shared::Shared;

/// How often the holder looks for something to do.
const INTERVAL: Duration = Duration::from_millis(100);

/// How often it is checked during a call whether the right to act has ended. Has to be far below the
/// time after a suspension within which calls do not count. A timer alone does not do: the runtime's
/// clock stands still while the machine is suspended.
const RIGHT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a post may take.
const POST_TIMEOUT: Duration = Duration::from_secs(3);

/// The item of the report, as stored in JSON.
#[derive(Deserialize, Serialize)]
struct WireLedger {
    era: u64,
    epoch: u64,
    windows: Vec<WireWindow>,
}

#[derive(Deserialize, Serialize)]
struct WireWindow {
    window: u64,
    counts: BTreeMap<Box<str>, u64>,
    // Whether the report needs no further post.
    #[serde(default)]
    closed: bool,
}

impl From<WireLedger> for Ledger {
    fn from(wire: WireLedger) -> Self {
        let windows = wire.windows.into_iter().map(|window| Finalized {
            window: WindowId(window.window),
            counts: window
                .counts
                .into_iter()
                .map(|(name, count)| (name.into(), count))
                .collect(),
            closed: window.closed,
        });
        Self {
            era: wire.era,
            epoch: Epoch(wire.epoch),
            windows: windows.collect(),
        }
    }
}

impl From<&Ledger> for WireLedger {
    fn from(ledger: &Ledger) -> Self {
        let windows = ledger.windows.iter().map(|finalized| WireWindow {
            window: finalized.window.0,
            counts: finalized
                .counts
                .iter()
                .map(|(name, count)| ((&**name).into(), *count))
                .collect(),
            closed: finalized.closed,
        });
        Self {
            era: ledger.era,
            epoch: ledger.epoch.0,
            windows: windows.collect(),
        }
    }
}

/// Applies the item of the report.
pub fn on_item(shared: &Shared, value: &[u8], revision: u64) {
    match serde_json::from_slice::<WireLedger>(value) {
        Ok(ledger) => {
            let mut reporter = shared.usage.reporter.borrow_mut();
            reporter.on_ledger(ledger.into(), revision);
        }
        Err(error) => {
            log::error!(revision = revision, error:% = error; "invalid item of the usage report ignored");
        }
    }
}

/// Finalizes and posts reports while this instance has the right to, until the process ends.
pub async fn run(shared: Rc<Shared>) {
    let Some(address) = shared.settings.usage_address else {
        return;
    };
    let mut store: Option<(Epoch, Store)> = None;
    loop {
        let now = shared.clock.since_boot();
        let Some(right) = usable_right(&shared) else {
            tokio::time::sleep(INTERVAL).await;
            continue;
        };
        if store
            .as_ref()
            .is_none_or(|(epoch, _)| *epoch != right.epoch)
        {
            // A restore of the store since the duty was acquired has to be noticed by this client.
            let store_address = shared.settings.store_address;
            let client = Store::in_era(store_address, shared.store_era.get());
            store = Some((right.epoch, client));
        }
        let Some((_, client)) = &mut store else {
            continue;
        };
        let unix = shared.usage.unix(now);
        let action = {
            let mut reporter = shared.usage.reporter.borrow_mut();
            reporter.set_delay(shared.bounds.get().usage_delay);
            for window in reporter.take_overdue(unix) {
                log::error!(window = window.0; "the platform has not taken a usage report in time");
                count("overdue", 1);
            }
            reporter.next(right, now, unix)
        };
        match action {
            Action::Wait => tokio::time::sleep(INTERVAL).await,
            Action::Finalize(window) => finalize(&shared, client, window, right).await,
            Action::Post {
                window,
                counts,
                is_repeat,
                time_left,
            } => {
                let report = Report {
                    holder: &shared.settings.name,
                    epoch: right.epoch,
                    window,
                    counts: &counts,
                };
                let timeout = time_left.min(POST_TIMEOUT);
                post(&shared, address, report, is_repeat, timeout).await;
            }
        }
    }
}

fn count(outcome: &'static str, reports: u64) {
    metrics::counter!("camphorhold_usage_reports_total", "outcome" => outcome).increment(reports);
}

/// Returns the right to act, unless it ends before it is looked up again.
fn usable_right(shared: &Shared) -> Option<Right> {
    let now = shared.clock.since_boot();
    let right = shared.usage.duty.borrow().right(now);
    right.filter(|right| right.deadline > now + 2 * RIGHT_CHECK_INTERVAL)
}

/// Returns just before this instance no longer has the right to act in this epoch.
async fn end_of_right(shared: &Shared, epoch: Epoch) {
    while usable_right(shared).is_some_and(|right| right.epoch == epoch) {
        tokio::time::sleep(RIGHT_CHECK_INTERVAL).await;
    }
}

async fn finalize(shared: &Shared, store: &mut Store, window: WindowId, right: Right) {
    let write = {
        let collection = shared.usage.collection.borrow();
        let counts = shared.usage.counts.borrow();
        let own = counts.get(window).map(WindowCounts::by_customer);
        let total = collection.total(window, own);
        shared
            .usage
            .reporter
            .borrow()
            .finalize(window, total, right)
    };
    let result = tokio::select! {
        biased;
        () = end_of_right(shared, right.epoch) => return,
        result = put(store, &write) => result,
    };
    let now = shared.clock.since_boot();
    match result {
        Ok(revision) => {
            let customers = write.ledger.windows.last().map(|last| last.counts.len());
            log::info!(window = window.0, epoch = right.epoch.0, customers:? = customers; "usage window finalized");
            on_written(shared, write, revision);
        }
        Err(StoreError::Conflict(items)) => {
            log::warn!(window = window.0; "another instance has finalized usage windows; taking its content over");
            for item in &items {
                duty::on_item(shared, item);
            }
            shared.usage.reporter.borrow_mut().on_write_failed(now);
        }
        Err(StoreError::Restored(era)) => {
            log::warn!(window = window.0, era:% = era; "the store was restored from a copy; giving the usage duty up");
            let mut duty = shared.usage.duty.borrow_mut();
            duty.on_renewal(RenewalOutcome::Gone, now, now);
        }
        Err(error) => {
            log::warn!(window = window.0, error:% = error; "it is unknown whether a usage window is finalized; reading it");
            shared.usage.reporter.borrow_mut().on_write_failed(now);
            resolve(shared, store, write).await;
        }
    }
}

async fn put(store: &mut Store, write: &Write) -> Result<u64, StoreError> {
    let value = serde_json::to_vec(&WireLedger::from(&write.ledger))?;
    store
        .put(&[Put {
            key: key::USAGE_REPORT,
            value: &value,
            lease: None,
            expected: Some(write.expected),
        }])
        .await
}

/// Reads the item after a write whose answer was lost. If the write took effect, it counts. If this
/// read fails, the next write meets a conflict and takes over what the store holds.
async fn resolve(shared: &Shared, store: &mut Store, write: Write) {
    let listing = match store.list(key::USAGE).await {
        Ok(listing) => listing,
        Err(error) => {
            log::warn!(error:% = error; "cannot read the item of the usage report; retrying");
            return;
        }
    };
    for item in &listing.items {
        if Key::parse(&item.key) != Key::UsageReport {
            continue;
        }
        let value = item.value.as_deref().unwrap_or_default();
        let stored = serde_json::from_slice::<WireLedger>(value).map(Ledger::from);
        if stored.is_ok_and(|stored| stored == write.ledger) {
            on_written(shared, write, item.revision);
            return;
        }
        on_item(shared, value, item.revision);
    }
}

fn on_written(shared: &Shared, write: Write, revision: u64) {
    let mut reporter = shared.usage.reporter.borrow_mut();
    let missed = reporter.on_written(write, revision);
    if missed > 0 {
        log::error!(missed = missed; "usage windows were not reported: nobody could finalize them in time");
        count("missed", missed);
    }
}

async fn post(
    shared: &Shared,
    address: SocketAddr,
    report: Report<'_>,
    is_repeat: bool,
    timeout: Duration,
) {
    let window = report.window;
    let exchange = async {
        let request = report.to_request(address)?;
        let mut connection = usage::connect(address).await?;
        // The right may have ended while the connection was established.
        if usable_right(shared).is_none_or(|right| right.epoch != report.epoch) {
            return Ok(None);
        }
        shared.usage.reporter.borrow_mut().on_post(window);
        usage::post(&mut connection, request).await.map(Some)
    };
    // The connection is reset when the exchange is dropped.
    let result = tokio::select! {
        biased;
        () = end_of_right(shared, report.epoch) => {
            log::warn!(window = window.0, epoch = report.epoch.0; "usage report given up: the lease of the duty ends");
            return;
        }
        result = tokio::time::timeout(timeout, exchange) => result,
    };
    let now = shared.clock.since_boot();
    let outcome = match result {
        Ok(Ok(None)) => return,
        Ok(Ok(Some(status))) => {
            let outcome = usage::outcome(status);
            match outcome {
                PostOutcome::Taken => {
                    log::info!(window = window.0, epoch = report.epoch.0, repeat = is_repeat; "usage reported");
                }
                PostOutcome::Unknown | PostOutcome::Rejected => {
                    log::warn!(window = window.0, epoch = report.epoch.0, status = status.as_u16(), outcome:? = outcome; "usage report not taken");
                }
            }
            outcome
        }
        Ok(Err(error)) => {
            log::warn!(window = window.0, epoch = report.epoch.0, error:% = error; "usage report failed; repeating it");
            match error {
                UsageError::Exchange(_) => PostOutcome::Unknown,
                UsageError::Encode(_) | UsageError::Name => PostOutcome::Rejected,
            }
        }
        Err(_) => {
            log::warn!(window = window.0, epoch = report.epoch.0; "usage report was not answered in time; repeating it");
            PostOutcome::Unknown
        }
    };
    match outcome {
        PostOutcome::Taken if is_repeat => count("repeated", 1),
        PostOutcome::Taken => count("sent", 1),
        PostOutcome::Rejected => count("rejected", 1),
        PostOutcome::Unknown => count("failed", 1),
    }
    let mut reporter = shared.usage.reporter.borrow_mut();
    reporter.on_posted(window, outcome, now);
}
