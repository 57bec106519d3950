//! `timeline`: shows the events of all instances, merged by their timestamps.

use camphorhold::protocol::control::ControlClient;
use camphorhold::protocol::control::Event as WireEvent;
use camphorhold::protocol::control::MAX_PAGE_EVENTS;
use camphorhold::protocol::control::TimelineRequest;
use camphorhold::state::event;
use camphorhold::state::event::Event;
use camphorhold::state::id::InstanceId;
use camphorhold::state::time::from_unix_millis;
use jsonrpsee::core::client::Error as CallError;
use jsonrpsee::http_client::HttpClient;

use crate::arguments::Global;
use crate::arguments::Timeline;
use crate::client;
use crate::error::Error;
use crate::error::Exit;
use crate::output;

/// The most pages read from one instance. Without a limit, the program would never end if an
/// instance records events faster than they are read.
const MAX_PAGES: u32 = 200;

/// The events read from one instance.
struct InstanceEvents {
    instance: Option<InstanceId>,
    events: Vec<WireEvent>,
    /// Number of events that the instance had dropped before they could be read.
    dropped: u64,
    /// Whether all pages were read.
    complete: bool,
}

pub async fn run(global: &Global, arguments: Timeline) -> Result<Exit, Error> {
    let addresses = client::addresses(&global.instances, arguments.reach.given_only).await?;
    let request = TimelineRequest {
        cursor: 0,
        limit: MAX_PAGE_EVENTS,
        request: arguments.request,
        service: arguments.service,
        leaf: arguments.server,
        failure_domain: arguments.domain,
        rollout: arguments.rollout,
    };
    let answers = client::all(&addresses, |client| read(client, request.clone())).await?;
    for (address, reason) in &answers.failures {
        output::warn(&format!("{address} did not answer: {reason}"));
    }
    let by_instance: Vec<InstanceEvents> = answers
        .found
        .into_iter()
        .map(|(_, collected)| collected)
        .collect();
    warn_of_gaps(&by_instance);
    let events = event::merge(
        by_instance
            .into_iter()
            .map(|collected| convert(collected.events)),
    );
    if global.json {
        let events: Vec<WireEvent> = events.into_iter().map(WireEvent::from).collect();
        output::json(&events)?;
    } else {
        let header = ["TIME", "INSTANCE", "EVENT", "ABOUT"];
        output::table(&header, events.iter().map(row).collect())?;
    }
    Ok(Exit::Done)
}

async fn read(
    client: HttpClient,
    mut request: TimelineRequest,
) -> Result<InstanceEvents, CallError> {
    let mut collected = InstanceEvents {
        instance: None,
        events: Vec::new(),
        dropped: 0,
        complete: false,
    };
    for _ in 0..MAX_PAGES {
        let page = client.timeline(request.clone()).await?;
        collected.instance = Some(page.instance);
        collected.events.extend(page.events);
        collected.dropped += page.dropped;
        let Some(next) = page.next else {
            collected.complete = true;
            break;
        };
        request.cursor = next;
    }
    Ok(collected)
}

fn warn_of_gaps(by_instance: &[InstanceEvents]) {
    for collected in by_instance {
        let instance = collected.instance.map(|instance| instance.to_string());
        let instance = instance.unwrap_or_default();
        if collected.dropped > 0 {
            output::warn(&format!(
                "instance {instance} has dropped {} events, so the timeline has gaps",
                collected.dropped
            ));
        }
        if !collected.complete {
            output::warn(&format!(
                "instance {instance} has more events than were read"
            ));
        }
    }
}

/// Converts events. Leaves out those that this program cannot decode, with a warning.
fn convert(events: Vec<WireEvent>) -> Vec<Event> {
    let mut converted = Vec::new();
    for event in events {
        match Event::try_from(event) {
            Ok(event) => converted.push(event),
            Err(error) => output::warn(&format!("leaving out an event: {error}")),
        }
    }
    converted
}

fn row(event: &Event) -> Vec<String> {
    let time = humantime::format_rfc3339_millis(from_unix_millis(event.at.wall_ms));
    let subject = &event.subject;
    let parts = [
        subject.request.as_ref().map(|id| format!("request {id}")),
        subject.rollout.as_ref().map(|id| format!("move {id}")),
        subject
            .service
            .as_ref()
            .map(|name| format!("service {name}")),
        subject.leaf.as_ref().map(|leaf| format!("server {leaf}")),
        subject
            .failure_domain
            .as_ref()
            .map(|name| format!("domain {name}")),
    ];
    let about: Vec<String> = parts.into_iter().flatten().collect();
    vec![
        time.to_string(),
        event.instance.to_string(),
        event.kind.to_string(),
        about.join(", "),
    ]
}
