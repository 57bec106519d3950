//! The contents of the store: keys, leases, the history of events and the open watches.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::ops::Bound;
use std::ops::RangeBounds;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::message::Base64;
use super::message::Compare;
use super::message::LeaseRequest;
use super::message::Operation;
use super::message::PutRequest;
use super::message::RangeRequest;
use super::message::Relation;
use super::message::RequestError;
use super::message::Target;
use super::message::TxnRequest;
use super::message::WatchCreate;
use super::message::encode;

/// The largest size of a value, the limit of the platform's service.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// The number of events kept for watches that start at an earlier revision. Older ones count as
/// compacted.
const MAX_EVENTS: usize = 10_000;

#[derive(Clone, Debug)]
struct Entry {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    version: i64,
    lease: i64,
}

#[derive(Clone)]
struct Event {
    key: Vec<u8>,
    revision: i64,
    body: Value,
}

struct Lease {
    ttl: i64,
    expires: Instant,
}

struct Watch {
    range: KeyRange,
    sender: mpsc::UnboundedSender<Value>,
}

type Bounds<'a> = (Bound<&'a [u8]>, Bound<&'a [u8]>);

/// The keys selected by a key and a range end as in etcd: without an end, only the key itself; with
/// the end `\0`, all keys from it on; else the keys from it up to but without the end.
#[derive(Clone)]
struct KeyRange {
    start: Vec<u8>,
    end: Vec<u8>,
}

impl KeyRange {
    fn new(key: &Base64, range_end: &Base64) -> Self {
        Self {
            start: key.0.clone(),
            end: range_end.0.clone(),
        }
    }

    /// Returns the bounds, or `None` if the range is empty.
    fn bounds(&self) -> Option<Bounds<'_>> {
        let start = self.start.as_slice();
        match self.end.as_slice() {
            [] => Some((Bound::Included(start), Bound::Included(start))),
            [0] => Some((Bound::Included(start), Bound::Unbounded)),
            end if start < end => Some((Bound::Included(start), Bound::Excluded(end))),
            _ => None,
        }
    }

    fn contains(&self, key: &[u8]) -> bool {
        self.bounds()
            .is_some_and(|bounds| RangeBounds::<[u8]>::contains(&bounds, key))
    }
}

pub(super) struct Engine {
    revision: i64,
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: BTreeMap<i64, Lease>,
    events: VecDeque<Event>,
    /// The revision of the newest event that is no longer kept.
    compacted: i64,
    watches: Vec<Watch>,
}

impl Engine {
    pub(super) fn new() -> Self {
        Self {
            revision: 1,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            events: VecDeque::new(),
            compacted: 0,
            watches: Vec::new(),
        }
    }

    pub(super) fn revision(&self) -> i64 {
        self.revision
    }

    pub(super) fn value(&self, key: &[u8]) -> Option<Vec<u8>> {
        self.entries.get(key).map(|entry| entry.value.clone())
    }

    pub(super) fn waiting_watches(&mut self) -> u64 {
        self.watches.retain(|watch| !watch.sender.is_closed());
        self.watches.len() as u64
    }

    fn header(&self) -> Value {
        json!({
            "cluster_id": "1",
            "member_id": "1",
            "revision": self.revision.to_string(),
            "raft_term": "1",
        })
    }

    pub(super) fn range(&self, request: &RangeRequest) -> Result<Value, RequestError> {
        self.check_range(request)?;
        Ok(self.range_unchecked(request))
    }

    fn check_range(&self, request: &RangeRequest) -> Result<(), RequestError> {
        if request.key.0.is_empty() {
            return Err(RequestError::EmptyKey);
        }
        if request.revision.0 > self.revision {
            return Err(RequestError::FutureRevision);
        }
        let historic = request.revision.0 > 0 && request.revision.0 < self.revision;
        let sorted = request.sort_order.as_deref();
        if historic || sorted.is_some_and(|order| order != "NONE" && order != "ASCEND") {
            return Err(RequestError::Unsupported);
        }
        Ok(())
    }

    fn range_unchecked(&self, request: &RangeRequest) -> Value {
        let range = KeyRange::new(&request.key, &request.range_end);
        let within = |revision: i64, minimum: i64, maximum: i64| {
            revision >= minimum && (maximum == 0 || revision <= maximum)
        };
        // As in etcd, the count covers the whole range and the revisions filter only the keys.
        let count = self.entries_in(&range).count();
        let mut found: Vec<_> = self
            .entries_in(&range)
            .filter(|(_, entry)| {
                let RangeRequest {
                    min_mod_revision,
                    max_mod_revision,
                    min_create_revision,
                    max_create_revision,
                    ..
                } = request;
                within(entry.mod_revision, min_mod_revision.0, max_mod_revision.0)
                    && within(
                        entry.create_revision,
                        min_create_revision.0,
                        max_create_revision.0,
                    )
            })
            .collect();
        let limit = usize::try_from(request.limit.0).unwrap_or(0);
        let more = limit > 0 && found.len() > limit;
        if more {
            found.truncate(limit);
        }
        let mut answer = json!({"header": self.header()});
        if count > 0 {
            answer["count"] = json!(count.to_string());
        }
        if more {
            answer["more"] = json!(true);
        }
        if !request.count_only && !found.is_empty() {
            let pairs = found.into_iter().map(|(key, entry)| {
                let value = if request.keys_only {
                    &[]
                } else {
                    entry.value.as_slice()
                };
                pair(key, entry, value)
            });
            answer["kvs"] = Value::Array(pairs.collect());
        }
        answer
    }

    fn entries_in(&self, range: &KeyRange) -> impl Iterator<Item = (&Vec<u8>, &Entry)> {
        let bounds = range.bounds();
        bounds
            .into_iter()
            .flat_map(|bounds| self.entries.range::<[u8], _>(bounds))
    }

    pub(super) fn put(&mut self, request: PutRequest) -> Result<Value, RequestError> {
        self.check_put(&request)?;
        let answer = self.put_at(self.revision + 1, request);
        self.commit();
        Ok(self.with_header(answer))
    }

    fn check_put(&self, request: &PutRequest) -> Result<(), RequestError> {
        if request.key.0.is_empty() {
            return Err(RequestError::EmptyKey);
        }
        if request.value.0.len() > MAX_VALUE_BYTES {
            return Err(RequestError::TooLarge);
        }
        if request.lease.0 != 0 && !self.leases.contains_key(&request.lease.0) {
            return Err(RequestError::LeaseNotFound);
        }
        Ok(())
    }

    fn put_at(&mut self, revision: i64, request: PutRequest) -> Value {
        let key = request.key.0;
        let previous = self.entries.get(&key);
        let mut answer = json!({});
        if let Some(previous) = previous
            && request.prev_kv
        {
            answer["prev_kv"] = pair(&key, previous, &previous.value);
        }
        let entry = Entry {
            value: request.value.0,
            create_revision: previous.map_or(revision, |previous| previous.create_revision),
            mod_revision: revision,
            version: previous.map_or(1, |previous| previous.version + 1),
            lease: request.lease.0,
        };
        let body = json!({"kv": pair(&key, &entry, &entry.value)});
        self.entries.insert(key.clone(), entry);
        self.record(Event {
            key,
            revision,
            body,
        });
        answer
    }

    pub(super) fn delete_range(&mut self, request: &RangeRequest) -> Result<Value, RequestError> {
        if request.key.0.is_empty() {
            return Err(RequestError::EmptyKey);
        }
        let answer = self.delete_at(self.revision + 1, request);
        self.commit();
        Ok(self.with_header(answer))
    }

    fn delete_at(&mut self, revision: i64, request: &RangeRequest) -> Value {
        let range = KeyRange::new(&request.key, &request.range_end);
        let keys: Vec<Vec<u8>> = self
            .entries_in(&range)
            .map(|(key, _)| key.clone())
            .collect();
        let previous: Vec<Value> = keys
            .iter()
            .filter_map(|key| self.delete_key(revision, key))
            .collect();
        let mut answer = json!({});
        if !previous.is_empty() {
            answer["deleted"] = json!(previous.len().to_string());
            if request.prev_kv {
                answer["prev_kvs"] = Value::Array(previous);
            }
        }
        answer
    }

    fn delete_key(&mut self, revision: i64, key: &[u8]) -> Option<Value> {
        let entry = self.entries.remove(key)?;
        self.record(Event {
            key: key.to_vec(),
            revision,
            body: json!({
                "type": "DELETE",
                "kv": {"key": encode(key), "mod_revision": revision.to_string()},
            }),
        });
        Some(pair(key, &entry, &entry.value))
    }

    /// Evaluates the comparisons and applies one branch. All changes of a transaction share one
    /// revision, and a transaction that is refused changes nothing.
    pub(super) fn transact(&mut self, request: TxnRequest) -> Result<Value, RequestError> {
        for branch in [&request.success, &request.failure] {
            self.check_branch(branch)?;
        }
        let succeeded = request.compare.iter().all(|compare| self.compare(compare));
        let branch = if succeeded {
            request.success
        } else {
            request.failure
        };
        let revision = self.revision + 1;
        let mut responses = Vec::new();
        for operation in branch {
            responses.push(match operation {
                Operation::Range(range) => json!({"response_range": self.range_unchecked(&range)}),
                Operation::Put(put) => json!({"response_put": self.put_at(revision, put)}),
                Operation::DeleteRange(delete) => {
                    json!({"response_delete_range": self.delete_at(revision, &delete)})
                }
            });
        }
        self.commit();
        let header = self.header();
        for response in &mut responses {
            for body in response.as_object_mut().into_iter().flatten() {
                body.1["header"] = header.clone();
            }
        }
        let mut answer = json!({"header": header});
        if succeeded {
            answer["succeeded"] = json!(true);
        }
        if !responses.is_empty() {
            answer["responses"] = Value::Array(responses);
        }
        Ok(answer)
    }

    fn check_branch(&self, branch: &[Operation]) -> Result<(), RequestError> {
        let mut written = BTreeSet::new();
        for operation in branch {
            match operation {
                Operation::Range(range) => self.check_range(range)?,
                Operation::Put(put) => {
                    self.check_put(put)?;
                    if !written.insert(put.key.0.as_slice()) {
                        return Err(RequestError::DuplicateKey);
                    }
                }
                Operation::DeleteRange(delete) if delete.key.0.is_empty() => {
                    return Err(RequestError::EmptyKey);
                }
                Operation::DeleteRange(_) => {}
            }
        }
        Ok(())
    }

    fn compare(&self, compare: &Compare) -> bool {
        let range = KeyRange::new(&compare.key, &compare.range_end);
        let mut entries = self.entries_in(&range).map(|(_, entry)| entry).peekable();
        if entries.peek().is_none() {
            // As in etcd, a missing key has no value, and its version, revisions and lease are 0.
            // Every comparison of its value fails.
            return !matches!(compare.target, Target::Value) && comparison_holds(compare, None);
        }
        entries.all(|entry| comparison_holds(compare, Some(entry)))
    }

    pub(super) fn grant(&mut self, request: &LeaseRequest) -> Result<Value, RequestError> {
        let id = match request.id.0 {
            0 => self.leases.last_key_value().map_or(1, |(id, _)| id + 1),
            id if self.leases.contains_key(&id) => return Err(RequestError::LeaseExists),
            id => id,
        };
        let ttl = request.ttl.0.max(1);
        let expires = Instant::now() + Duration::from_secs(ttl.unsigned_abs());
        self.leases.insert(id, Lease { ttl, expires });
        Ok(json!({"header": self.header(), "ID": id.to_string(), "TTL": ttl.to_string()}))
    }

    pub(super) fn revoke(&mut self, request: &LeaseRequest) -> Result<Value, RequestError> {
        if !self.leases.contains_key(&request.id.0) {
            return Err(RequestError::LeaseNotFound);
        }
        self.end_lease(request.id.0);
        Ok(json!({"header": self.header()}))
    }

    /// Renews a lease. As in etcd, the answer for a lease that no longer exists has a time to live
    /// of 0, which the JSON mapping leaves out.
    pub(super) fn keep_alive(&mut self, request: &LeaseRequest) -> Value {
        let id = request.id.0;
        let mut result = json!({"header": self.header(), "ID": id.to_string()});
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.expires = Instant::now() + Duration::from_secs(lease.ttl.unsigned_abs());
            result["TTL"] = json!(lease.ttl.to_string());
        }
        json!({"result": result})
    }

    pub(super) fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let expired: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let attached = self.entries.iter().filter(|(_, entry)| entry.lease == id);
        let attached: Vec<Vec<u8>> = attached.map(|(key, _)| key.clone()).collect();
        for key in attached {
            self.delete_key(self.revision + 1, &key);
        }
        self.commit();
    }

    /// Opens a watch and returns its messages. The first one confirms the watch; if the start
    /// revision is compacted, the second one cancels it.
    pub(super) fn watch(&mut self, request: &WatchCreate) -> mpsc::UnboundedReceiver<Value> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let range = KeyRange::new(&request.key, &request.range_end);
        let start = request.start_revision.0;
        // The receiver still exists, so sending cannot fail.
        let _ = sender.send(json!({"header": self.header(), "created": true}));
        if start > 0 && start <= self.compacted {
            let _ = sender.send(json!({
                "header": self.header(),
                "canceled": true,
                "compact_revision": self.compacted.to_string(),
            }));
            return receiver;
        }
        let earlier = self
            .events
            .iter()
            .filter(|event| start > 0 && event.revision >= start && range.contains(&event.key));
        let earlier: Vec<Value> = earlier.map(|event| event.body.clone()).collect();
        if !earlier.is_empty() {
            let _ = sender.send(json!({"header": self.header(), "events": earlier}));
        }
        self.watches.push(Watch { range, sender });
        receiver
    }

    fn record(&mut self, event: Event) {
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS
            && let Some(oldest) = self.events.pop_front()
        {
            self.compacted = oldest.revision;
        }
    }

    /// Ends a change: raises the revision if events were recorded, and sends them to the watches.
    fn commit(&mut self) {
        let next = self.revision + 1;
        let changes = self.events.iter().rev();
        let changes = changes.take_while(|event| event.revision == next);
        let mut changes: Vec<Event> = changes.cloned().collect();
        if changes.is_empty() {
            return;
        }
        changes.reverse();
        self.revision = next;
        let header = self.header();
        self.watches.retain(|watch| {
            let seen = changes
                .iter()
                .filter(|event| watch.range.contains(&event.key));
            let seen: Vec<Value> = seen.map(|event| event.body.clone()).collect();
            let message = json!({"header": header, "events": seen});
            if seen.is_empty() {
                !watch.sender.is_closed()
            } else {
                watch.sender.send(message).is_ok()
            }
        });
    }

    fn with_header(&self, mut answer: Value) -> Value {
        answer["header"] = self.header();
        answer
    }
}

/// Encodes a key with its entry. As in etcd's mapping, zero and empty fields are left out.
fn pair(key: &[u8], entry: &Entry, value: &[u8]) -> Value {
    let mut pair = json!({
        "key": encode(key),
        "create_revision": entry.create_revision.to_string(),
        "mod_revision": entry.mod_revision.to_string(),
        "version": entry.version.to_string(),
    });
    if !value.is_empty() {
        pair["value"] = json!(encode(value));
    }
    if entry.lease != 0 {
        pair["lease"] = json!(entry.lease.to_string());
    }
    pair
}

fn comparison_holds(compare: &Compare, entry: Option<&Entry>) -> bool {
    let number = |actual: Option<i64>, expected: i64| actual.unwrap_or(0).cmp(&expected);
    let ordering = match compare.target {
        Target::Version => number(entry.map(|entry| entry.version), compare.version.0),
        Target::Create => number(
            entry.map(|entry| entry.create_revision),
            compare.create_revision.0,
        ),
        Target::Mod => number(
            entry.map(|entry| entry.mod_revision),
            compare.mod_revision.0,
        ),
        Target::Lease => number(entry.map(|entry| entry.lease), compare.lease.0),
        Target::Value => entry
            .map_or(&[][..], |entry| entry.value.as_slice())
            .cmp(&compare.value.0),
    };
    match compare.result {
        Relation::Equal => ordering == Ordering::Equal,
        Relation::NotEqual => ordering != Ordering::Equal,
        Relation::Greater => ordering == Ordering::Greater,
        Relation::Less => ordering == Ordering::Less,
    }
}
