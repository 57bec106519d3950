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
    let addresses = client::reach(&global.instances, reach.given_only).await?;
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

/// The leafs of one service over all instances.
#[derive(Default)]
struct Sum {
    unknown: u32,
    cold: u32,
    ramping: u32,
    warm: u32,
    draining: u32,
    leaf_requests: u32,
    requests: u32,
}

fn print_services(found: &[(SocketAddr, InstanceStatus)]) -> Result<(), Error> {
    let mut sums: BTreeMap<&ServiceName, Sum> = BTreeMap::new();
    let mut omitted = 0;
    for (_, status) in found {
        omitted += status.omitted_leafs;
        for service in &status.services {
            let sum = sums.entry(&service.service).or_default();
            sum.requests += service.in_flight;
            for leaf in &service.leafs {
                match leaf.temperature {
                    Temperature::Unknown => sum.unknown += 1,
                    Temperature::Cold => sum.cold += 1,
                    Temperature::Ramping => sum.ramping += 1,
                    Temperature::Warm => sum.warm += 1,
                }
                sum.draining += u32::from(leaf.draining);
                sum.leaf_requests += leaf.in_flight;
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
    let row = |(service, sum): (&&ServiceName, &Sum)| {
        let counts = [
            sum.warm,
            sum.ramping,
            sum.cold,
            sum.unknown,
            sum.draining,
            sum.requests,
            sum.leaf_requests,
        ];
        let counts = counts.iter().map(ToString::to_string);
        std::iter::once(service.to_string()).chain(counts).collect()
    };
    output::table(&header, sums.iter().map(row).collect())?;
    if omitted > 0 {
        output::warn(&format!("{omitted} leafs are not listed by their owners"));
    }
    Ok(())
}
