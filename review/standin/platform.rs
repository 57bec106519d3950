//! A stand-in for the users' platform: its store, its leafs as processes, and the instances.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json;
use crate::json::Json;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn to_json(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
            json::quote(key),
            self.value,
            self.revision,
            self.created,
            self.lease
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    // Each change as its revision, its key and the JSON of the event.
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    calls: u64,
    // Until when it answers 503, and how many times it has cut the waiting watches.
    busy_until: Option<Instant>,
    cuts: u64,
    // By machine, until when it gets no response.
    silent_until: BTreeMap<usize, Instant>,
    // How old the reads are that may be stale, and when each revision was reached.
    read_age: Duration,
    reached: Vec<(Instant, u64)>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.reached.push((Instant::now(), self.revision));
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        let event = format!("{}}}", item.to_json(key));
        self.items.insert(key.into(), item);
        self.events.push((self.revision, key.into(), event));
    }

    /// Returns the revision that a read shows which may be stale.
    fn stale_revision(&self) -> u64 {
        let Some(then) = Instant::now().checked_sub(self.read_age) else {
            return self.revision;
        };
        let shown = self.reached.iter().rev().find(|(at, _)| *at <= then);
        shown.map_or(self.revision, |(_, revision)| *revision)
    }

    fn remove(&mut self, key: &str) {
        self.reached.push((Instant::now(), self.revision));
        if self.items.remove(key).is_some() {
            let event = format!(
                "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                json::quote(key),
                self.revision
            );
            self.events.push((self.revision, key.into(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

/// The platform's store. Clones share it.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Self {
            address: listener.local_addr().expect("the address of the store"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let server = store.clone();
        std::thread::spawn(move || {
            server.accept(&listener, 0);
        });
        store
    }

    /// Returns another address of the store, for one machine. The store can turn that one away.
    pub fn address_for(&self, machine: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("the address of the store");
        let server = self.clone();
        std::thread::spawn(move || server.accept(&listener, machine));
        address
    }

    fn accept(&self, listener: &TcpListener, machine: usize) {
        for stream in listener.incoming().flatten() {
            let server = self.clone();
            std::thread::spawn(move || server.serve(stream, machine));
        }
    }

    /// Is down for a while: answers 503 to all machines and cuts the waiting watches. With `lapse`, the
    /// leases run out meanwhile.
    pub fn go_down(&self, time: Duration, lapse: bool) {
        let mut state = self.state.0.lock().unwrap();
        state.busy_until = Some(Instant::now() + time);
        state.cuts += 1;
        if lapse {
            let leases: Vec<u64> = state.leases.keys().copied().collect();
            for lease in leases {
                state.end_lease(lease);
            }
        }
        self.state.1.notify_all();
    }

    /// Gives one machine no response for a while. A connection on which a response was lost returns
    /// nothing further.
    pub fn turn_away(&self, machine: usize, time: Duration) {
        let mut state = self.state.0.lock().unwrap();
        state.silent_until.insert(machine, Instant::now() + time);
    }

    /// Sets how old the reads are that may be stale.
    pub fn set_read_age(&self, age: Duration) {
        self.state.0.lock().unwrap().read_age = age;
    }

    fn is_silent(&self, machine: usize) -> bool {
        let state = self.state.0.lock().unwrap();
        let until = state.silent_until.get(&machine);
        until.is_some_and(|until| Instant::now() < *until)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an item, as the operator and the leafs do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, json::base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.state.1.notify_all();
    }

    /// Returns the keys and decoded values below a prefix.
    pub fn list(&self, prefix: &str) -> Vec<(String, String)> {
        let state = self.state.0.lock().unwrap();
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        items
            .map(|(key, item)| {
                let value = json::unbase64(&item.value);
                (key.clone(), String::from_utf8_lossy(&value).into_owned())
            })
            .collect()
    }

    fn serve(&self, mut stream: TcpStream, machine: usize) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read_request(&mut stream, &mut buffer) {
            let mut lost = self.is_silent(machine);
            let Some((status, body)) = (if lost {
                Some((0, String::new()))
            } else {
                self.answer(&request)
            }) else {
                return;
            };
            lost |= self.is_silent(machine);
            if lost {
                while matches!(http::read_request(&mut stream, &mut buffer), Ok(Some(_))) {}
                return;
            }
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and the body of the answer, or `None` for a watch that is cut.
    fn answer(&self, request: &http::Request) -> Option<(u16, String)> {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let value = |name: &str| {
            let pair = query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            json::percent_decode(pair.unwrap_or_default())
        };
        let mut state = self.state.0.lock().unwrap();
        state.calls += 1;
        state.expire();
        if state.busy_until.is_some_and(|until| Instant::now() < until) {
            return Some((503, "{}".into()));
        }
        let answer = match (&*request.method, path) {
            ("GET", "/api/kv-key") => {
                let key = value("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let is_stale = value("stale_ok") == "1";
                        let shown = if is_stale {
                            state.stale_revision()
                        } else {
                            state.revision
                        };
                        (
                            200,
                            format!("{},\"store_revision\":{shown}}}", item.to_json(&key)),
                        )
                    }
                    None => (404, format!("{{\"store_revision\":{}}}", state.revision)),
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (value("prefix"), value("after"));
                let mut found = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let page: Vec<String> = found
                    .by_ref()
                    .take(500)
                    .map(|(key, item)| format!("{}}}", item.to_json(key)))
                    .collect();
                let has_more = found.next().is_some();
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has_more\":{has_more},\"store_revision\":{}}}",
                        page.join(","),
                        state.revision
                    ),
                )
            }
            ("GET", "/api/kv-watch") => {
                let prefix = value("prefix");
                let after: u64 = value("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(value("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                let cuts = state.cuts;
                loop {
                    if state.cuts != cuts {
                        return None;
                    }
                    let events: Vec<&str> = state
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(_, _, event)| &**event)
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        break (
                            200,
                            format!(
                                "{{\"events\":[{}],\"store_revision\":{}}}",
                                events.join(","),
                                state.revision
                            ),
                        );
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => self.change(&mut state, &json::parse(&request.body)),
            ("POST", "/api/kv-lease") => {
                let ttl = json::parse(&request.body).get("ttl_ms").number();
                let ttl = ttl.clamp(1_000, 600_000);
                let lease = 77_000 + state.calls;
                let ttl_time = Duration::from_millis(ttl);
                state
                    .leases
                    .insert(lease, (ttl_time, Instant::now() + ttl_time));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            _ => (404, "{}".into()),
        };
        Some(answer)
    }

    fn change(&self, state: &mut State, change: &Json) -> (u16, String) {
        for row in change.get("expected").rows() {
            let revision = state
                .items
                .get(&row.get("key").text())
                .map_or(0, |item| item.revision);
            if revision != row.get("revision").number() {
                return (412, "{\"items\":[]}".into());
            }
        }
        for put in change.get("puts").rows() {
            let lease = put.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
            let key = put.get("key").text();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".into());
            }
        }
        state.revision += 1;
        for put in change.get("puts").rows() {
            let lease = put.get("lease").number();
            state.put(&put.get("key").text(), put.get("value").text(), lease);
        }
        for key in change.get("remove").rows() {
            state.remove(&key.text());
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

/// A leaf as a process of its own. The stand-in registers it in the store.
pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub log: PathBuf,
    work_ms: u64,
    child: Option<Child>,
}

impl Leaf {
    pub fn start(id: &str, service: &str, zone: &str, work_ms: u64, folder: &Path) -> Self {
        let mut leaf = Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: http::free_address(),
            log: folder.join(format!("leaf-{id}.log")),
            work_ms,
            child: None,
        };
        leaf.run();
        leaf
    }

    fn run(&mut self) {
        let program = std::env::current_exe().expect("the path of this program");
        let mut command = Command::new(program);
        let arguments = [
            "leaf",
            &self.id,
            &self.address.to_string(),
            &self.work_ms.to_string(),
        ];
        command.args(arguments).arg(&self.log).stdout(Stdio::null());
        let child = crate::start(&mut command);
        self.child = Some(child);
        http::wait_until("a leaf listens", || {
            TcpStream::connect(self.address).is_ok()
        });
    }

    /// Starts it again at the same address as a new lifetime.
    pub fn restart(&mut self, id: &str) {
        self.kill();
        self.id = id.into();
        self.run();
    }

    /// Brings it into trouble with that many of a hundred requests; `None` ends the trouble.
    pub fn set_trouble(&self, trouble: Option<(Trouble, u32)>) {
        let path = trouble_file(&self.log);
        let result = match trouble {
            Some((Trouble::Flood, percent)) => std::fs::write(path, format!("flood {percent}")),
            Some((Trouble::Repeat, percent)) => std::fs::write(path, format!("repeat {percent}")),
            None => std::fs::remove_file(path),
        };
        result.expect("the state of the leaf changes");
    }

    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            crate::end(child);
        }
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"concurrency\":4,\"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":1}}",
            self.service, self.address, self.zone
        )
    }

    pub fn register(&self, store: &Store) {
        store.put(&self.key(), &self.entry("ready"));
    }

    /// Returns the ids of the requests that it has run, in their order.
    pub fn runs(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let ids = text.lines().filter_map(|line| line.strip_prefix("run "));
        ids.map(|line| line.split(' ').next().unwrap_or_default().to_owned())
            .collect()
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Serves as a leaf until the process is killed: `leaf ID ADDRESS WORK_MS LOG`.
pub fn leaf_main(arguments: &[String]) {
    let [id, address, work_ms, log] = arguments else {
        panic!("leaf ID ADDRESS WORK_MS LOG");
    };
    let work = Duration::from_millis(work_ms.parse().expect("a number of milliseconds"));
    let listener = http::bind_retrying(address.parse().expect("an address"));
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("the log of the leaf");
    let log = Arc::new(log);
    let trouble = trouble_file(Path::new(&arguments[3]));
    for stream in listener.incoming().flatten() {
        let (id, log, trouble) = (id.clone(), Arc::clone(&log), trouble.clone());
        std::thread::spawn(move || serve_leaf(stream, &id, work, &log, &trouble));
    }
}

/// Returns the path of the file whose existence says that a leaf with this log is in trouble.
fn trouble_file(log: &Path) -> PathBuf {
    log.with_extension("trouble")
}

/// What a leaf in trouble does to some of its requests.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// It sends interim heads without end.
    Flood,
    /// It sends the answer again, a little later and without the id of the request.
    Repeat,
}

/// Returns what a leaf in trouble does to this request. The file holds the kind of trouble and how many
/// in a hundred requests it affects.
fn trouble_of(file: &Path, attempt: &str) -> Option<Trouble> {
    let text = std::fs::read_to_string(file).ok()?;
    let (kind, percent) = text.split_once(' ')?;
    let percent: u32 = percent.parse().ok()?;
    let hash = attempt.bytes().fold(7_u32, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    });
    let is_affected = (hash.wrapping_mul(2_654_435_761) >> 16) & 0xffff < percent * 655;
    let trouble = if kind == "flood" {
        Trouble::Flood
    } else {
        Trouble::Repeat
    };
    is_affected.then_some(trouble)
}

/// Sends an answer once more, without the id of its request, a little later.
fn send_late(stream: &TcpStream, id: &str, attempt: &str) {
    let bytes = format!(
        "HTTP/1.1 200 OK\r\nX-Camphorhold-Server-Stamp: {id}.{attempt}\r\nContent-Length: 16\r\n\r\n\
         0123456789abcdef"
    );
    if let Ok(mut stream) = stream.try_clone() {
        std::thread::spawn(move || {
            std::thread::sleep(LATE);
            let _ = stream.write_all(bytes.as_bytes());
        });
    }
}

/// Sends interim heads, which are no answer, without end until the caller closes.
fn flood(stream: &mut TcpStream) {
    let heads = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(2_600);
    while stream.write_all(&heads).is_ok() {}
}

fn serve_leaf(mut stream: TcpStream, id: &str, work: Duration, log: &File, trouble_file: &Path) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = http::read_request(&mut stream, &mut buffer) {
        let attempt = request.header("x-camphorhold-request-id");
        let expected = request.header("x-camphorhold-expect-instance");
        let answer = if !expected.is_empty() && expected != id {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Camphorhold-Instance-Id: {id}\r\n\
                 Content-Length: 0\r\n\r\n"
            )
        } else {
            let line = format!("run {attempt} {} {}\n", request.method, request.target);
            let _ = (&mut &*log).write_all(line.as_bytes());
            let trouble = trouble_of(trouble_file, attempt);
            if trouble == Some(Trouble::Flood) {
                return flood(&mut stream);
            }
            std::thread::sleep(work);
            if trouble == Some(Trouble::Repeat) {
                send_late(&stream, id, attempt);
            }
            format!(
                "HTTP/1.1 200 OK\r\nX-Camphorhold-Request-Id: {attempt}\r\n\
                 X-Camphorhold-Server-Stamp: {id}.{attempt}\r\nContent-Length: 16\r\n\r\n\
                 0123456789abcdef"
            )
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// How long after an answer a faulty leaf sends it again.
const LATE: Duration = Duration::from_millis(30);

/// An instance, started with the command of the deploy file at a loopback address of its own.
pub struct Instance {
    pub name: String,
    pub ip: String,
    pub log: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

pub const CALLER_PORT: u16 = 8104;
pub const READY_PORT: u16 = 8108;

impl Instance {
    pub fn start(name: &str, ip: &str, zone: &str, store: SocketAddr, folder: &Path) -> Self {
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "node_name: \"{name}\"\nrole: \"instance\"\nmachine_class: \"front\"\nip: \"{ip}\"\n\
             zone: \"{zone}\"\nregion: \"r\"\n\
             listen:\n  front: \"{ip}:{CALLER_PORT}\"\n  ready_address: \"{ip}:{READY_PORT}\"\n\
             internal_ports:\n  - 7380\n  - 7395\n\
             limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n\
             heartbeat_ms: 1200\n\
             bounds:\n  contact_ms: 4000\n  config_apply_ms: 3000\n  drain_ms: 3000\n  grace_s: 6\n\
             \x20 loss_slack_ms: 200\n  retry_budget_ratio: 0.2\n  retry_window_s: 10\n\
             \x20 retry_budget_extra: 54\n  recovery_s: 12\n\
             platform:\n  address: \"{store}\"\n  form: \"kv\"\n"
        );
        std::fs::write(&settings, text).expect("the settings file is written");
        let mut instance = Self {
            name: name.into(),
            ip: ip.into(),
            log: folder.join(format!("{name}.log")),
            settings,
            child: None,
        };
        instance.run();
        instance
    }

    /// Starts the process.
    pub fn run(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let mut command = Command::new("target/release/camphorhold-instance");
        command
            .args(["--metrics-port", "7390"])
            .env("CAMPHORHOLD_CONFIG", &self.settings)
            .stdout(log);
        let child = crate::start(&mut command);
        self.child = Some(child);
    }

    pub fn address(&self) -> SocketAddr {
        format!("{}:{CALLER_PORT}", self.ip)
            .parse()
            .expect("an address")
    }

    /// Asks as the platform does whether the instance is ready.
    pub fn is_ready(&self) -> bool {
        let address = format!("{}:{READY_PORT}", self.ip)
            .parse()
            .expect("an address");
        let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::exchange_once(address, request.as_bytes(), Duration::from_secs(1));
        matches!(answer, http::Outcome::Answer(answer) if answer.status == 200)
    }

    pub fn wait_ready(&self) {
        http::wait_until("an instance is ready", || self.is_ready());
    }

    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            crate::end(child);
        }
    }

    /// Returns the log lines with a text, at most `most`.
    pub fn log_lines(&self, text: &str, most: usize) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let mut found = String::new();
        for line in log.lines().filter(|line| line.contains(text)).take(most) {
            let _ = writeln!(found, "    {} log: {line}", self.name);
        }
        found
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
