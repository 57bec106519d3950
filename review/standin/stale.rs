//! The leases of the store run out in an outage. Later the store gives single machines no response for
//! a moment, in which the configuration changes. When do these machines learn of it?

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::platform::Instance;
use crate::platform::Leaf;
use crate::platform::Store;
use crate::traffic;
use crate::traffic::Clients;
use crate::traffic::Record;

/// How long the store is down.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// How long the store turns a machine away, and when in that time the configuration changes.
const TURNED_AWAY: Duration = Duration::from_millis(600);
const CHANGE_AFTER: Duration = Duration::from_millis(150);

/// The time between two changes, and how many there are.
const GAP: Duration = Duration::from_secs(9);
const CHANGES: usize = 5;

/// The bounds `config_apply_ms` and `contact_ms`.
const APPLY: Duration = Duration::from_secs(3);
const CONTACT: Duration = Duration::from_secs(4);

const LIMIT: Duration = Duration::from_secs(6);
const INTERVAL: Duration = Duration::from_millis(100);

/// Version N sends all requests to the service sN.
fn configuration(version: usize) -> String {
    let services: Vec<String> = (1..=CHANGES + 1)
        .map(|number| {
            format!(
                "{{\"name\":\"s{number}\",\"health_path\":\"/health\",\"max_conns\":100,\
                 \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-check\",\"host\":\"q.example\",\
         \"prefix\":\"/check/\",\"kind\":\"safe\",\"timeout_ms\":6000,\"objective_ms\":600,\
         \"priority\":2,\"service\":\"s{version}\",\"max_attempts\":2}}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        services.join(",")
    )
}

fn request(id: &str) -> Vec<u8> {
    format!(
        "GET /check/{id} HTTP/1.1\r\nHost: q.example\r\nX-Camphorhold-Request-Id: {id}\r\n\
         X-Camphorhold-Deadline-Ms: 6000\r\n\r\n"
    )
    .into_bytes()
}

pub fn main() {
    let trouble = traffic::trouble();
    let (outage, silence) = match &*trouble {
        "0" => (false, false),
        "outage" => (true, false),
        "silence" | "reads" => (false, true),
        _ => (true, true),
    };
    let record = Record::create();
    record.say(&format!(
        "outage of the store: {outage}, no response to single machines: {silence}"
    ));
    let folder = traffic::folder("stale");
    let store = Store::start();
    if trouble == "reads" {
        record.say("reads that may be stale are 3 s old");
        store.set_read_age(Duration::from_secs(3));
    }
    store.put("op/config", &configuration(1));
    let leafs: Vec<Leaf> = (1..=CHANGES + 1)
        .map(|number| {
            Leaf::start(
                &format!("i-{number}"),
                &format!("s{number}"),
                "a",
                20,
                &folder,
            )
        })
        .collect();
    for leaf in &leafs {
        leaf.register(&store);
    }
    let ips = crate::http::free_machines(3);
    let zones = ["a", "b", "c"];
    let instances: Vec<Instance> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let ip = &ips[index];
            let address = store.address_for(index);
            Instance::start(&format!("front-{zone}-1"), ip, zone, address, &folder)
        })
        .collect();
    instances.iter().for_each(Instance::wait_ready);
    let clients: Vec<Clients> = zones
        .iter()
        .zip(&instances)
        .map(|(prefix, instance)| {
            Clients::start(
                instance.address(),
                prefix,
                INTERVAL,
                LIMIT,
                &record,
                request,
            )
        })
        .collect();
    std::thread::sleep(Duration::from_secs(5));
    if outage {
        record.say("the store is down for 4.5 s; the leases run out meanwhile");
        store.go_down(OUTAGE, true);
    }
    std::thread::sleep(OUTAGE + Duration::from_secs(6));
    // When each version was accepted, and when the store was last disturbed before the next.
    let mut accepted: Vec<(Instant, Instant)> = vec![(Instant::now(), Instant::now())];
    for change in 0..CHANGES {
        let machine = change % instances.len();
        let begun = Instant::now();
        if silence {
            record.say(&format!(
                "no response to {} for 0.6 s",
                instances[machine].name
            ));
            store.turn_away(machine, TURNED_AWAY);
        }
        std::thread::sleep(CHANGE_AFTER);
        store.put("op/config", &configuration(change + 2));
        accepted.push((Instant::now(), begun + TURNED_AWAY));
        record.say(&format!("the store has accepted version {}", change + 2));
        std::thread::sleep(GAP);
    }
    let mut sent = HashMap::new();
    for clients in clients {
        for request in clients.finish() {
            sent.insert(request.id, request.at);
        }
    }
    let mut checked = 0;
    let mut stale = 0;
    for (index, leaf) in leafs.iter().enumerate() {
        for id in leaf.runs() {
            let Some(at) = sent.get(&id) else { continue };
            // The newest version that has to be in force, and the end of the last disturbance.
            let due = accepted
                .iter()
                .rposition(|(accepted, _)| *accepted + APPLY < *at);
            let last = accepted.iter().rposition(|(accepted, _)| *accepted <= *at);
            let (Some(due), Some(last)) = (due, last) else {
                continue;
            };
            let in_touch = accepted[last].1 + CONTACT < *at;
            if !in_touch || due != last {
                continue;
            }
            checked += 1;
            if index < due {
                stale += 1;
                record.line(&format!(
                    "request {id} was sent {:.1} s after version {} was accepted and run by the service of version {}",
                    at.duration_since(accepted[due].0).as_secs_f64(), due + 1, index + 1
                ));
            }
        }
    }
    for instance in &instances {
        record.line(&instance.log_lines("call to the store failed", 20));
        record.line(&instance.log_lines("registered the instance", 5));
        record.line(&instance.log_lines("\"configuration in force\"", 20));
    }
    drop(instances);
    drop(leafs);
    let _ = std::fs::remove_dir_all(&folder);
    record.say(&format!("requests that were due for a version, with all machines in touch: {checked}, run by an older service: {stale}"));
    if checked < 100 {
        crate::cannot_run();
    }
    record.say(if stale > 0 {
        "CONFIG is broken"
    } else {
        "CONFIG holds"
    });
    std::process::exit(i32::from(stale > 0));
}
