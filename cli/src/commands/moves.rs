//! `moves`: shows the rollouts of the file in force.

use std::time::Duration;

use camphorhold::protocol::control::ControlClient;
use camphorhold::protocol::control::RollbackReason;
use camphorhold::protocol::control::RolloutStage;
use camphorhold::protocol::control::RolloutStatus;
use camphorhold::state::id::ServiceName;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::time::from_unix_millis;

use crate::arguments::Global;
use crate::client;
use crate::error::Error;
use crate::error::Exit;
use crate::output;

pub async fn run(global: &Global) -> Result<Exit, Error> {
    let call = |client: jsonrpsee::http_client::HttpClient| async move { client.rollouts().await };
    let (_, answer) = client::first(&global.instances, call).await?;
    if global.json {
        output::json(&answer)?;
        return Ok(Exit::Done);
    }
    if answer.rollouts.is_empty() {
        output::line("no rollouts")?;
        return Ok(Exit::Done);
    }
    let header = ["MOVE", "SERVICES", "FROM", "TO", "DEADLINE", "STATE"];
    output::table(&header, answer.rollouts.iter().map(row).collect())?;
    Ok(Exit::Done)
}

fn row(rollout: &RolloutStatus) -> Vec<String> {
    let services: Vec<&str> = rollout.services.iter().map(ServiceName::as_str).collect();
    vec![
        rollout.rollout.to_string(),
        services.join(", "),
        rollout.from.to_string(),
        rollout.to.to_string(),
        humantime::format_rfc3339_seconds(from_unix_millis(rollout.deadline_unix_ms)).to_string(),
        state(&rollout.stage),
    ]
}

fn state(stage: &RolloutStage) -> String {
    match stage {
        RolloutStage::Pending => "waiting".into(),
        RolloutStage::Running {
            share_permille,
            since_unix_ms,
        } => format!(
            "running at {} % for {}",
            f64::from(*share_permille) / 10.0,
            age(*since_unix_ms)
        ),
        RolloutStage::Completed => "done".into(),
        RolloutStage::TakenBack { fault } => format!("taken back: {}", reason_text(fault)),
        RolloutStage::Retired => "ended by a later file".into(),
    }
}

fn age(since_unix_ms: u64) -> String {
    let age = SystemClock
        .wall()
        .duration_since(from_unix_millis(since_unix_ms));
    let seconds = age.unwrap_or_default().as_secs();
    humantime::format_duration(Duration::from_secs(seconds)).to_string()
}

fn reason_text(reason: &RollbackReason) -> String {
    match reason {
        RollbackReason::Failing { service, route } => {
            format!("failed more often than the old version on {service} {route}")
        }
        RollbackReason::Slow { service, route } => {
            format!("slower than the old version on {service} {route}")
        }
        RollbackReason::Revoked => "the new version is revoked".into(),
        RollbackReason::Deadline => "not completed by its deadline".into(),
    }
}
