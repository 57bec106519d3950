//! Faulty leafs send bytes after a complete answer: the same answer again, late, without the id of its
//! request. Does any caller get it for another request?

use std::time::Duration;

use crate::platform::Instance;
use crate::platform::Leaf;
use crate::platform::Store;
use crate::platform::Trouble;
use crate::traffic;
use crate::traffic::Clients;
use crate::traffic::Record;

/// How many of a hundred answers the faulty leafs spoil.
const SPOILT_PERCENT: u32 = 5;

/// How long they are faulty.
const TROUBLE: Duration = Duration::from_millis(5_500);

const LIMIT: Duration = Duration::from_secs(6);

/// The time between two requests at one instance.
const INTERVAL: Duration = Duration::from_millis(25);

fn configuration() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"r-check\",\"host\":\"q.example\",\
     \"prefix\":\"/check/\",\"kind\":\"safe\",\"timeout_ms\":6000,\"objective_ms\":600,\
     \"priority\":2,\"service\":\"ledger\",\"max_attempts\":2}],\
     \"services\":[{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_conns\":100,\
     \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":0.0}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
        .into()
}

fn request(id: &str) -> Vec<u8> {
    format!(
        "GET /check/{id} HTTP/1.1\r\nHost: q.example\r\nX-Camphorhold-Request-Id: {id}\r\n\
         X-Camphorhold-Deadline-Ms: 6000\r\n\r\n"
    )
    .into_bytes()
}

pub fn main() {
    let trouble = traffic::trouble() != "0";
    let record = Record::create();
    record.say(&format!(
        "leafs send late bytes after complete answers: {trouble}"
    ));
    let folder = traffic::folder("crossed");
    let store = Store::start();
    store.put("op/config", &configuration());
    let leafs: Vec<Leaf> = ["a", "b", "c"]
        .iter()
        .flat_map(|zone| (0..3).map(move |number| (zone, number)))
        .map(|(zone, number)| {
            Leaf::start(&format!("i-{zone}{number}"), "ledger", zone, 20, &folder)
        })
        .collect();
    for leaf in &leafs {
        leaf.register(&store);
    }
    let ips = crate::http::free_machines(3);
    let instances: Vec<Instance> = ["a", "b", "c"]
        .iter()
        .zip(&ips)
        .map(|(zone, ip)| {
            let name = format!("front-{zone}-1");
            Instance::start(&name, ip, zone, store.address(), &folder)
        })
        .collect();
    instances.iter().for_each(Instance::wait_ready);
    std::thread::sleep(Duration::from_secs(1));
    let clients: Vec<Clients> = ["a", "b", "c"]
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
    std::thread::sleep(Duration::from_secs(4));
    // Half of the leafs are faulty, at several moments.
    for _ in 0..3 {
        if trouble {
            record.say("five of nine leafs are faulty for 5.5 s");
            for leaf in leafs.iter().step_by(2) {
                leaf.set_trouble(Some((Trouble::Repeat, SPOILT_PERCENT)));
            }
        }
        std::thread::sleep(TROUBLE);
        if trouble {
            for leaf in leafs.iter().step_by(2) {
                leaf.set_trouble(None);
            }
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let mut all = 0;
    let mut foreign = 0;
    for clients in clients {
        for sent in clients.finish() {
            all += 1;
            // The stamp of the stand-in's leafs ends with the id of the request that they have run.
            if sent.served && !sent.stamp.ends_with(&format!(".{}", sent.id)) {
                foreign += 1;
                record.line(&format!(
                    "request {} got the answer {}",
                    sent.id, sent.stamp
                ));
            }
        }
    }
    drop(instances);
    drop(leafs);
    let _ = std::fs::remove_dir_all(&folder);
    record.say(&format!(
        "requests: {all}, answered with the answer to another request: {foreign}"
    ));
    if all < 1_000 {
        crate::cannot_run();
    }
    record.say(if foreign > 0 {
        "MIXED is broken"
    } else {
        "MIXED holds"
    });
    std::process::exit(i32::from(foreign > 0));
}
