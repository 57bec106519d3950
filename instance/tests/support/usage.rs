//! Helpers of the tests of usage reports.

use std::collections::BTreeMap;

use camphorhold_testutils::platform::usage::Report;
use camphorhold_testutils::platform::usage::Usage;
use serde_json::json;

use super::Instance;
use super::Platform;
use super::wait_until;

/// Starts an instance with short windows and a short lease.
pub async fn start(platform: &Platform, usage: &Usage, name: &str, domain: &str) -> Instance {
    let address = usage.address();
    Instance::start_with(platform, name, domain, |settings| {
        settings["cloud_api"] = json!({"address": address, "duties": ["usage_report"]});
        let bounds = &mut settings["bounds"];
        bounds["lease_ms"] = 1_500.into();
        bounds["thaw_ms"] = 200.into();
        bounds["usage_window_s"] = 1.into();
        bounds["usage_late_s"] = 30.into();
    })
    .await
}

/// Waits for a number of reports by `holder`, or by any holder.
pub async fn wait_for_reports(usage: &Usage, holder: Option<&str>, count: usize) {
    wait_until(&format!("{count} reports arrive"), || async {
        let reports = usage.reports();
        let by_holder = reports
            .iter()
            .filter(|report| holder.is_none_or(|holder| report.holder == holder));
        by_holder.count() >= count
    })
    .await;
}

/// Asserts what must hold of the reports whatever has happened.
pub fn check(reports: &[Report]) {
    let mut contents: BTreeMap<u64, &Report> = BTreeMap::new();
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut highest = 0;
    for report in reports {
        let first = contents.entry(report.window).or_insert(report);
        assert_eq!(first.counts, report.counts, "window {}", report.window);
        let holder = holders.entry(report.epoch).or_insert(&report.holder);
        assert_eq!(*holder, report.holder, "epoch {}", report.epoch);
        assert!(report.epoch >= highest, "{report:?} after epoch {highest}");
        highest = report.epoch;
    }
}
