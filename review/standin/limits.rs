//! A new configuration permits longer request heads. Clients that have kept their connections since
//! before the change send requests within the new limit. Are they handled by the new configuration?

use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Outcome;
use crate::platform::Instance;
use crate::platform::Leaf;
use crate::platform::Store;
use crate::traffic;
use crate::traffic::Record;

/// The connections that clients keep to each instance.
const KEPT: usize = 10;

/// The time between two requests on a connection, far below `idle_timeout_ms`.
const PAUSE: Duration = Duration::from_millis(500);

/// The bound `config_apply_ms`, and a second more.
const APPLIED: Duration = Duration::from_millis(4_000);

const LIMIT: Duration = Duration::from_secs(6);

/// The length of a header in the long requests: within the later limit, above the earlier one.
const LONG_HEADER: usize = 31_000;

fn configuration(version: u64, max_header_bytes: usize) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-check\",\"host\":\"q.example\",\
         \"prefix\":\"/check/\",\"kind\":\"safe\",\"timeout_ms\":6000,\"objective_ms\":600,\
         \"priority\":2,\"service\":\"ledger\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_conns\":100,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":{max_header_bytes},\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn request(id: &str, header: usize) -> Vec<u8> {
    let filler = "c".repeat(header);
    format!(
        "GET /check/{id} HTTP/1.1\r\nHost: q.example\r\nX-Camphorhold-Request-Id: {id}\r\n\
         X-Camphorhold-Deadline-Ms: 6000\r\nCookie: {filler}\r\n\r\n"
    )
    .into_bytes()
}

pub fn main() {
    let trouble = traffic::trouble() != "0";
    let record = Record::create();
    record.say(&format!("the configuration changes: {trouble}"));
    let folder = traffic::folder("limits");
    let store = Store::start();
    store.put(
        "op/config",
        &configuration(1, if trouble { 16_384 } else { 32_768 }),
    );
    let leafs: Vec<Leaf> = [("i-a1", "a"), ("i-b1", "b"), ("i-c1", "c")]
        .iter()
        .map(|(id, zone)| Leaf::start(id, "ledger", zone, 20, &folder))
        .collect();
    for leaf in &leafs {
        leaf.register(&store);
    }
    let ips = crate::http::free_machines(3);
    let instances: Vec<Instance> = ["a", "b", "c"]
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let ip = &ips[index];
            Instance::start(
                &format!("front-{zone}-1"),
                ip,
                zone,
                store.address(),
                &folder,
            )
        })
        .collect();
    instances.iter().for_each(Instance::wait_ready);
    std::thread::sleep(Duration::from_secs(1));
    let mut kept: Vec<(String, Connection)> = Vec::new();
    for instance in &instances {
        for number in 0..KEPT {
            let connection = Connection::open(instance.address()).expect("a connection");
            kept.push((format!("{}-{number}", instance.name), connection));
        }
    }
    let mut all = 0;
    // Requests on kept connections that are within both limits.
    let mut send_short = |kept: &mut Vec<(String, Connection)>, round: usize| {
        for (name, connection) in kept.iter_mut() {
            let id = format!("{name}-short-{round}");
            let outcome = connection.exchange(&request(&id, 20), LIMIT);
            let (status, served, text) = traffic::describe(&outcome);
            record.line(&format!("request {id} on a kept connection: {text}"));
            all += 1;
            if !served {
                eprintln!("a short request got {status}");
                crate::cannot_run();
            }
        }
    };
    for round in 0..4 {
        send_short(&mut kept, round);
        std::thread::sleep(PAUSE);
    }
    if trouble {
        store.put("op/config", &configuration(2, 32_768));
        record.say("the store has accepted version 2: max_header_bytes is 32768, was 16384");
    }
    let accepted = Instant::now();
    let mut round = 4;
    while accepted.elapsed() < APPLIED {
        send_short(&mut kept, round);
        round += 1;
        std::thread::sleep(PAUSE);
    }
    let (mut refused, mut served_kept, mut served_new) = (0, 0, 0);
    for (name, connection) in &mut kept {
        let id = format!("{name}-long");
        let bytes = request(&id, LONG_HEADER);
        let outcome = connection.exchange(&bytes, LIMIT);
        let (status, served, text) = traffic::describe(&outcome);
        record.line(&format!(
            "request {id}, head of {} bytes, on a kept connection {:.1} s after the change: {text}",
            bytes.len(),
            accepted.elapsed().as_secs_f64()
        ));
        refused += usize::from(status == 431 && matches!(outcome, Outcome::Answer(_)));
        served_kept += usize::from(served);
    }
    for instance in &instances {
        let id = format!("{}-new", instance.name);
        let outcome =
            crate::http::exchange_once(instance.address(), &request(&id, LONG_HEADER), LIMIT);
        let (_, served, text) = traffic::describe(&outcome);
        record.line(&format!(
            "request {id}, the same on a new connection: {text}"
        ));
        served_new += usize::from(served);
    }
    let ran: usize = leafs.iter().map(|leaf| leaf.runs().len()).sum();
    record.say(&format!(
        "requests within both limits: {all}, all served; run by leafs in all: {ran}"
    ));
    record.say(&format!("long requests on kept connections: {served_kept} served, {refused} refused with 431, of {}", kept.len()));
    record.say(&format!(
        "long requests on new connections: {served_new} served of {}",
        instances.len()
    ));
    let total = kept.len();
    drop(kept);
    drop(instances);
    drop(leafs);
    let _ = std::fs::remove_dir_all(&folder);
    if served_new < 3 || refused + served_kept < total {
        crate::cannot_run();
    }
    record.say(if refused > 0 {
        "CONFIG is broken"
    } else {
        "CONFIG holds"
    });
    std::process::exit(i32::from(refused > 0));
}
