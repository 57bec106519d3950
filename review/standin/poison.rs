//! A leaf crashes a few times while it runs several equal requests of different callers. Then all
//! processes of the system are killed, the final fault of a day. Are the requests served afterwards?

use std::time::Duration;
use std::time::Instant;

use crate::platform::Instance;
use crate::platform::Leaf;
use crate::platform::Store;
use crate::traffic;
use crate::traffic::Clients;
use crate::traffic::Record;

const LEAFS: [(&str, &str); 7] = [
    ("i-a1", "a"),
    ("i-a2", "a"),
    ("i-a3", "a"),
    ("i-b1", "b"),
    ("i-b2", "b"),
    ("i-b3", "b"),
    ("i-c1", "c"),
];

/// The mean work of the users' single requests.
const WORK_MS: u64 = 160;

/// The time between two requests at one instance.
const INTERVAL: Duration = Duration::from_millis(55);

/// The users' time limit of a single request.
const LIMIT: Duration = Duration::from_secs(6);

/// How often the leaf crashes, and the time after each return.
const CRASHES: usize = 3;
const BETWEEN: Duration = Duration::from_millis(2_500);

/// How long the leaf is down.
const DOWN: Duration = Duration::from_millis(4_500);

/// The bound `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);

fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-renew\",\"host\":\"q.example\",\
         \"prefix\":\"/renew/\",\"kind\":\"unsafe\",\"timeout_ms\":6000,\"objective_ms\":600,\
         \"priority\":2,\"service\":\"ledger\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_conns\":100,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn request(id: &str) -> Vec<u8> {
    format!(
        "POST /renew/today HTTP/1.1\r\nHost: q.example\r\nX-Camphorhold-Request-Id: {id}\r\n\
         X-Camphorhold-Deadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

pub fn main() {
    let trouble = traffic::trouble();
    let (crash, fault) = match &*trouble {
        "0" => (false, false),
        "crash" => (true, false),
        "fault" => (false, true),
        _ => (true, true),
    };
    let record = Record::create();
    record.say(&format!("a leaf crashes: {crash}, final fault: {fault}"));
    let folder = traffic::folder("poison");
    let store = Store::start();
    store.put("op/config", &configuration(1));
    let mut leafs: Vec<Leaf> = LEAFS
        .iter()
        .map(|(id, zone)| Leaf::start(id, "ledger", zone, WORK_MS, &folder))
        .collect();
    for leaf in &leafs {
        leaf.register(&store);
    }
    let ips = crate::http::free_machines(3);
    let mut instances: Vec<Instance> = ["a", "b", "c"]
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
    record.say("clients start");
    let started = Instant::now();
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
    std::thread::sleep(Duration::from_secs(12));
    for crash_number in 1..=CRASHES {
        let last = leafs.last_mut().expect("there are leafs");
        if crash {
            record.say(&format!("leaf {} crashes", last.id));
            last.kill();
        }
        std::thread::sleep(DOWN);
        if crash {
            // A new lifetime; the platform removes the entry of the old one in the meantime.
            store.remove(&last.key());
            last.restart(&format!("i-c{}", crash_number + 1));
            last.register(&store);
            record.say(&format!("the leaf is back as {}", last.id));
        }
        std::thread::sleep(BETWEEN);
    }
    store.put("op/config", &configuration(2));
    let final_fault = Instant::now();
    if fault {
        record.say("final fault: all processes of the system are killed");
        instances.iter_mut().for_each(Instance::kill);
        std::thread::sleep(Duration::from_secs(1));
        instances.iter_mut().for_each(Instance::run);
    }
    let back = Instant::now();
    instances.iter().for_each(Instance::wait_ready);
    record.say("the instances are ready");
    std::thread::sleep((RECOVERY + Duration::from_secs(12)).saturating_sub(back.elapsed()));
    let mut sent: Vec<traffic::Sent> = Vec::new();
    for clients in clients {
        sent.extend(clients.finish());
    }
    for (key, value) in store.list("camphorhold/crashes/") {
        record.say(&format!("in the store: {key} = {value}"));
    }
    for leaf in &leafs {
        record.line(&format!(
            "leaf {} has run {} requests",
            leaf.id,
            leaf.runs().len()
        ));
    }
    for instance in &instances {
        record.line(&instance.log_lines("leafs ended under a request", 5));
        record.line(&instance.log_lines("is blocked", 2));
    }
    let before = traffic::served(&sent, started, final_fault);
    let after = traffic::served(&sent, back + RECOVERY, Instant::now());
    record.say(&format!(
        "served before the final fault: {} of {}",
        before.0, before.1
    ));
    record.say(&format!(
        "served later than recovery_s after it: {} of {}",
        after.0, after.1
    ));
    drop(instances);
    drop(leafs);
    let _ = std::fs::remove_dir_all(&folder);
    if before.0 * 4 < before.1 || after.1 < 100 {
        crate::cannot_run();
    }
    let broken = after.0 * 4 < after.1;
    record.say(if broken {
        "RECOVER is broken"
    } else {
        "RECOVER holds"
    });
    std::process::exit(i32::from(broken));
}
