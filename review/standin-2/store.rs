//! The platform's store: linearizable, loses nothing that it has acknowledged.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json;
use crate::json::Json;
use crate::json::quote;

#[derive(Clone)]
struct Item {
    // In base64, as on the wire.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    // `None` if the key was removed.
    item: Option<Item>,
}

struct Lease {
    lifetime: Duration,
    until: Instant,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
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
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Event {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
        self.revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Event {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// A running store. Clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            revision: 100,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: HashMap::new(),
            next_lease: 1,
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr()?,
        };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        let clock = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                clock.lock().expire();
                clock.state.1.notify_all();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .0
            .lock()
            .expect("no thread panics with the state")
    }

    /// Writes an item as the operator or a leaf does. Returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.lock().put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
        revision
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (status, body) = self.answer(&request);
            let answer = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.second();
        let path = target.split('?').next().unwrap_or("");
        let body = String::from_utf8_lossy(&request.body);
        let parameter = |name| http::parameter(target, name);
        let number = |name| {
            parameter(name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0_u64)
        };
        match path {
            "/api/kv-range" => self.range(
                &parameter("prefix").unwrap_or_default(),
                &parameter("after").unwrap_or_default(),
            ),
            "/api/kv-watch" => {
                self.watch(number("after"), Duration::from_millis(number("wait_ms")))
            }
            "/api/kv-key" => {
                let key = parameter("key").unwrap_or_default();
                let state = self.lock();
                state
                    .items
                    .get(&key)
                    .map_or((404, "{}".to_owned()), |item| {
                        (200, show(&key, item, Some(state.revision)))
                    })
            }
            "/api/kv-txn" => {
                json::parse(&body).map_or((400, "{}".to_owned()), |change| self.change(&change))
            }
            "/api/kv-lease" => {
                let lifetime = json::parse(&body).and_then(|body| body.get("ttl_ms")?.number());
                let lifetime = lifetime.unwrap_or(1_000).clamp(1_000, 600_000);
                let mut state = self.lock();
                let id = state.next_lease;
                state.next_lease += 1;
                let lease = Lease {
                    lifetime: Duration::from_millis(lifetime),
                    until: Instant::now() + Duration::from_millis(lifetime),
                };
                state.leases.insert(id, lease);
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{lifetime}}}"))
            }
            _ => {
                let mut state = self.lock();
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                if path.starts_with("/api/kv-keep/") {
                    return match state.leases.get_mut(&id) {
                        Some(lease) => {
                            lease.until = Instant::now() + lease.lifetime;
                            (
                                200,
                                format!(
                                    "{{\"lease\":{id},\"ttl_ms\":{}}}",
                                    lease.lifetime.as_millis()
                                ),
                            )
                        }
                        None => (404, "{}".to_owned()),
                    };
                }
                if path.starts_with("/api/kv-lease-end/") {
                    state.end_lease(id);
                    return (200, "{}".to_owned());
                }
                (404, "{}".to_owned())
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.lock();
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| show(key, item, None))
            .collect();
        (
            200,
            format!(
                "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
                items.join(","),
                state.revision
            ),
        )
    }

    fn watch(&self, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        while state.revision <= after && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.expect("no thread panics with the state").0;
        }
        let events: Vec<String> = state
            .history
            .iter()
            .filter(|event| event.revision > after)
            .map(|event| match &event.item {
                Some(item) => show(&event.key, item, None),
                None => format!(
                    "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                    quote(&event.key),
                    event.revision
                ),
            })
            .collect();
        (
            200,
            format!(
                "{{\"events\":[{}],\"store_revision\":{}}}",
                events.join(","),
                state.revision
            ),
        )
    }

    fn change(&self, change: &Json) -> (u16, String) {
        let rows = |name: &str| {
            change
                .get(name)
                .map(Json::list)
                .unwrap_or_default()
                .to_vec()
        };
        let text =
            |row: &Json, name: &str| row.get(name).and_then(Json::text).unwrap_or("").to_owned();
        let number = |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0);
        let mut state = self.lock();
        state.expire();
        let expected = rows("expected");
        let holds = expected.iter().all(|row| {
            let stored = state
                .items
                .get(&text(row, "key"))
                .map_or(0, |item| item.revision);
            stored == number(row, "revision")
        });
        if !holds {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = text(row, "key");
                    state.items.get(&key).map(|item| show(&key, item, None))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = rows("puts");
        let has_lease = |row: &Json| {
            number(row, "lease") == 0 || state.leases.contains_key(&number(row, "lease"))
        };
        if !puts.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        let is_protected = |row: &Json| {
            let key = text(row, "key");
            key.starts_with("op/") || key.starts_with("servers/")
        };
        if puts.iter().any(is_protected) {
            return (403, "{}".to_owned());
        }
        for row in &puts {
            state.put(&text(row, "key"), text(row, "value"), number(row, "lease"));
        }
        for key in rows("remove") {
            state.remove(key.text().unwrap_or(""));
        }
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn show(key: &str, item: &Item, store_revision: Option<u64>) -> String {
    let last = store_revision.map_or(String::new(), |revision| {
        format!(",\"store_revision\":{revision}")
    });
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}{last}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0_u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
