//! `timeline`: shows events of all instances in one order.

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

/// The most pages read of one instance. An instance that records events faster than they are read
/// would otherwise keep the program busy for ever.
const MAX_PAGES: u32 = 200;

/// The events of one instance.
struct Part {
    instance: Option<InstanceId>,
    events: Vec<WireEvent>,
    dropped: u64,
    complete: bool,
}

pub async fn run(global: &Global, arguments: Timeline) -> Result<Exit, Error> {
    let addresses = client::reach(&global.instances, arguments.reach.given_only).await?;
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
    let parts: Vec<Part> = answers.found.into_iter().map(|(_, part)| part).collect();
    warn_of_gaps(&parts);
    let events = event::merge(parts.into_iter().map(|part| convert(part.events)));
    if global.json {
        let events: Vec<WireEvent> = events.into_iter().map(WireEvent::from).collect();
        output::json(&events)?;
    } else {
        let header = ["TIME", "INSTANCE", "EVENT", "ABOUT"];
        output::table(&header, events.iter().map(row).collect())?;
    }
    Ok(Exit::Done)
}

async fn read(client: HttpClient, mut request: TimelineRequest) -> Result<Part, CallError> {
    let mut part = Part {
        instance: None,
        events: Vec::new(),
        dropped: 0,
        complete: false,
    };
    for _ in 0..MAX_PAGES {
        let page = client.timeline(request.clone()).await?;
        part.instance = Some(page.instance);
        part.events.extend(page.events);
        part.dropped += page.dropped;
        let Some(next) = page.next else {
            part.complete = true;
            break;
        };
        request.cursor = next;
    }
    Ok(part)
}

fn warn_of_gaps(parts: &[Part]) {
    for part in parts {
        let instance = part.instance.map(|instance| instance.to_string());
        let instance = instance.unwrap_or_default();
        if part.dropped > 0 {
            output::warn(&format!(
                "instance {instance} has dropped {} events, so the timeline has gaps",
                part.dropped
            ));
        }
        if !part.complete {
            output::warn(&format!(
                "instance {instance} has more events than were read"
            ));
        }
    }
}

/// Converts events, and warns of those that this program does not know.
fn convert(events: Vec<WireEvent>) -> Vec<Event> {
    let mut converted = Vec::new();
    for event in events {
        match Event::try_from(event) {
            Ok(event) => converted.push(event),
            Err(error) => output::warn(&format!("an event is left out: {error}")),
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
