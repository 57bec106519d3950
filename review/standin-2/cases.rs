//! What the cases have in common.

mod endless;
mod late;
mod power;
mod rollout;

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use crate::client;
use crate::client::Call;
use crate::client::End;
use crate::instance::Instance;
use crate::leaf::Leaf;
use crate::record::Record;
use crate::store::Store;

/// Runs a case. Returns whether the rule has held.
pub fn run(name: &str, folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary =
        std::env::temp_dir().join(format!("camphorhold-review-2-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    record.say(&format!("case {name}, disruption: {trouble}"));
    let setting = Setting {
        record: record.clone(),
        folder: temporary.clone(),
        trouble,
    };
    let result = match name {
        "endless" => endless::run(&setting),
        "late" => late::run(&setting),
        "power" => power::run(&setting),
        "rollout" => rollout::run(&setting),
        _ => Err(io::Error::other("no such case")),
    };
    let _ = std::fs::remove_dir_all(&temporary);
    match &result {
        Ok(true) => record.say("the rule held"),
        Ok(false) => record.say("the rule was broken"),
        Err(error) => record.say(&format!("could not run: {error}")),
    }
    result
}

/// Where a case runs.
pub struct Setting {
    pub record: Record,
    /// For settings files and logs. Removed at the end.
    pub folder: PathBuf,
    pub trouble: bool,
}

impl Setting {
    /// Returns the same setting, for another thread.
    pub fn share(&self) -> Self {
        Self {
            record: self.record.clone(),
            folder: self.folder.clone(),
            trouble: self.trouble,
        }
    }

    /// Starts an instance and waits until it is ready.
    pub fn instance(&self, name: &str, zone: &str, store: &Store) -> io::Result<Instance> {
        let instance = Instance::start(&self.folder, name, zone, store.address)?;
        if !instance.wait_ready(Duration::from_secs(15)) {
            return Err(io::Error::other(format!("{name} is not ready")));
        }
        self.record
            .write(&format!("{name} is ready at {}", instance.front));
        Ok(instance)
    }

    /// Starts a leaf and registers it.
    pub fn leaf(
        &self,
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        version: &str,
    ) -> io::Result<Leaf> {
        let leaf = Leaf::start(&self.record, id, service, zone, version)?;
        store.put(&leaf.key(), &leaf.entry("ready", 1));
        self.record
            .write(&format!("leaf {id} of {service} in {zone} registered"));
        Ok(leaf)
    }
}

/// What a client has sent, and what came of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: Duration,
    /// 0 without a complete answer.
    pub status: u16,
    /// Whether the answer bears `Server-Leaving: 1`.
    pub leaving: bool,
    pub took: Duration,
}

/// Sends requests at a rate until a time since the start of the case, each on a connection of its own
/// and at its time, whatever becomes of those before. Waits until the last one has ended.
pub fn traffic<F>(
    record: &Record,
    front: SocketAddr,
    per_s: f64,
    until: Duration,
    make: F,
) -> Vec<Sent>
where
    F: Fn(u32) -> Call,
{
    let start = record.elapsed();
    let mut calls = Vec::new();
    let mut number = 0;
    loop {
        let due = start + Duration::from_secs_f64(f64::from(number) / per_s);
        if due >= until {
            break;
        }
        std::thread::sleep(due.saturating_sub(record.elapsed()));
        let call = make(number);
        number += 1;
        let record = record.clone();
        calls.push(std::thread::spawn(move || send(&record, front, call)));
    }
    calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect()
}

fn send(record: &Record, front: SocketAddr, call: Call) -> Sent {
    let at = record.elapsed();
    record.write(&format!("client sends {}", call.id));
    let outcome = client::send(front, &call);
    let took = outcome.took;
    let (text, status, leaving) = match &outcome.end {
        End::Answer(answer) => {
            let leaving = answer.header("server-leaving") == Some("1");
            let note = if leaving { ", Server-Leaving: 1" } else { "" };
            (
                format!("answered {}{note}", answer.status()),
                answer.status(),
                leaving,
            )
        }
        End::Closed(reason) => (format!("closed: {reason}"), 0, false),
        End::Silent => ("not answered, client gives up".to_owned(), 0, false),
    };
    record.write(&format!(
        "client: {} {text} after {:.3} s",
        call.id,
        took.as_secs_f64()
    ));
    Sent {
        id: call.id,
        at,
        status,
        leaving,
        took,
    }
}

/// A GET request with a time limit of 2 s.
pub fn get(path: &str, id: String) -> Call {
    Call {
        id,
        method: "GET",
        path: path.to_owned(),
        body: Vec::new(),
        limit: Duration::from_secs(2),
        watch: Duration::from_secs(5),
    }
}

/// Waits until a time since the start of the case.
pub fn wait(record: &Record, until: Duration) {
    std::thread::sleep(until.saturating_sub(record.elapsed()));
}

/// A route to one service, as the operator writes it.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, objective_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"q.example\",\"prefix\":\"/{name}/\",\"service\":\"{service}\",\
         \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"objective_ms\":{objective_ms},\"priority\":1,\
         \"max_attempts\":2}}"
    )
}

/// A configuration with these routes and services.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":100,\"cold_start_s\":3.0,\
                 \"cold_per_s\":0.0,\"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
