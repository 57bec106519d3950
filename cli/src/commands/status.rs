//! `status`: shows instances, services and leafs.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use camphorhold::protocol::control::InstanceStatus;
use camphorhold::protocol::control::Temperature;
use camphorhold::state::id::ServiceName;

use crate::arguments::Global;
use crate::arguments::Reach;
use crate::client;
use crate::error::Error;
use crate::error::Exit;
use crate::output;

pub async fn run(global: &Global, reach: &Reach) -> Result<Exit, Error> {
    let addresses = client::addresses(&global.instances, reach.given_only).await?;
    let answers = client::all(&addresses, client::status).await?;
    if global.json {
        let found: BTreeMap<String, &InstanceStatus> = answers
            .found
            .iter()
            .map(|(address, status)| (address.to_string(), status))
            .collect();
        let failures: BTreeMap<String, &String> = answers
            .failures
            .iter()
            .map(|(address, reason)| (address.to_string(), reason))
            .collect();
        output::json(&serde_json::json!({ "instances": found, "unreachable": failures }))?;
    } else {
        print_instances(&answers.found)?;
        output::line("")?;
        print_services(&answers.found)?;
    }
    for (address, reason) in &answers.failures {
        output::warn(&format!("{address} did not answer: {reason}"));
    }
    Ok(Exit::Done)
}

fn print_instances(found: &[(SocketAddr, InstanceStatus)]) -> Result<(), Error> {
    let header = [
        "INSTANCE",
        "ADDRESS",
        "DOMAIN",
        "GENERATION",
        "REVISION",
        "CURRENCY",
        "READY",
        "PHASE",
        "LEAFS",
        "ROSTER",
    ];
    let row = |(address, status): &(SocketAddr, InstanceStatus)| {
        let witnesses = status.roster.iter().filter(|member| member.witness).count();
        vec![
            status.instance.to_string(),
            address.to_string(),
            status.failure_domain.to_string(),
            status.generation.to_string(),
            status.revision.to_string(),
            output::name(&status.currency),
            if status.ready { "yes" } else { "no" }.into(),
            output::name(&status.phase),
            status.owned_leafs.to_string(),
            format!("{}, {witnesses} witnesses", status.roster.len()),
        ]
    };
    output::table(&header, found.iter().map(row).collect())
}

/// Totals of one service over the leafs of all instances. The leafs are counted by temperature.
#[derive(Default)]
struct ServiceTotals {
    unknown: u32,
    cold: u32,
    ramping: u32,
    warm: u32,
    draining: u32,
    /// Calls in flight at the listed leafs.
    leaf_requests: u32,
    /// Calls in flight at all leafs of the service.
    requests: u32,
}

fn print_services(found: &[(SocketAddr, InstanceStatus)]) -> Result<(), Error> {
    let mut by_service: BTreeMap<&ServiceName, ServiceTotals> = BTreeMap::new();
    let mut omitted = 0;
    for (_, status) in found {
        omitted += status.omitted_leafs;
        for service in &status.services {
            let totals = by_service.entry(&service.service).or_default();
            totals.requests += service.in_flight;
            for leaf in &service.leafs {
                match leaf.temperature {
                    Temperature::Unknown => totals.unknown += 1,
                    Temperature::Cold => totals.cold += 1,
                    Temperature::Ramping => totals.ramping += 1,
                    Temperature::Warm => totals.warm += 1,
                }
                totals.draining += u32::from(leaf.draining);
                totals.leaf_requests += leaf.in_flight;
            }
        }
    }
    let header = [
        "SERVICE",
        "WARM",
        "RAMPING",
        "COLD",
        "UNKNOWN",
        "DRAINING",
        "REQUESTS",
        "LEAF REQUESTS",
    ];
    let row = |(service, totals): (&&ServiceName, &ServiceTotals)| {
        let counts = [
            totals.warm,
            totals.ramping,
            totals.cold,
            totals.unknown,
            totals.draining,
            totals.requests,
            totals.leaf_requests,
        ];
        let counts = counts.iter().map(ToString::to_string);
        std::iter::once(service.to_string()).chain(counts).collect()
    };
    output::table(&header, by_service.iter().map(row).collect())?;
    if omitted > 0 {
        output::warn(&format!("{omitted} leafs are not listed by their owners"));
    }
    Ok(())
}
