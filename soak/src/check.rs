//! Compares what callers got with what leafs ran, against the promises.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold_testutils::platform::leaf::Leaf;
use camphorhold_testutils::platform::leaf::Run;
use hyper::Response;
use hyper::StatusCode;

use crate::caller::Kind;
use crate::caller::Outcome;
use crate::caller::Record;

/// How long an instance and the store must have been undisturbed for the bounds on changes.
const CONTACT: Duration = Duration::from_secs(4);

/// The time until a configuration is in force, and until a drained leaf gets nothing more.
const CHANGE: Duration = Duration::from_secs(3);

/// The time until an evacuated failure domain gets nothing more.
const EVACUATION: Duration = Duration::from_secs(5);

/// The time in which a request may cross the close of its connection.
const CLOSE_SLACK: Duration = Duration::from_millis(200);

/// Leafs of one service that one attempt of a caller may reach.
const MAX_LEAFS: usize = 2;

/// Attempts that may reach more leafs in one run.
const OVERDRAWN: usize = 3;

/// Records in an answer, and the smallest share of shards, as the configuration says.
const TOP: usize = 2;
const MINIMUM: f64 = 0.5;

/// A time between two moments.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// A version of the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Configured {
    /// When the store had accepted it.
    pub(crate) at: Instant,
    /// The service of the routes to one service.
    pub(crate) first: &'static str,
}

/// A leaf that drained, from its notice until its next incarnation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drained {
    pub(crate) leaf: usize,
    pub(crate) span: Span,
}

/// A failure domain that was to get nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evacuated {
    pub(crate) domain: &'static str,
    pub(crate) span: Span,
}

/// What happened in a run, beside the requests.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// When each instance, or the store for it, was disturbed.
    pub(crate) disturbed: Vec<Vec<Span>>,
    /// When each instance stood still.
    pub(crate) paused: Vec<Vec<Span>>,
    /// When each instance was killed.
    pub(crate) killed: Vec<Vec<Instant>>,
    pub(crate) configured: Vec<Configured>,
    pub(crate) drained: Vec<Drained>,
    pub(crate) evacuated: Vec<Evacuated>,
    /// What was found while it ran.
    pub(crate) violations: Vec<Violation>,
}

impl Evidence {
    pub(crate) fn new(instances: usize) -> Self {
        Self {
            disturbed: vec![Vec::new(); instances],
            paused: vec![Vec::new(); instances],
            killed: vec![Vec::new(); instances],
            ..Self::default()
        }
    }

    /// Tells whether every instance was undisturbed long enough for the bounds to hold at a time.
    /// Any of them may have sent a call, because shards are handed over.
    fn is_calm(&self, at: Instant) -> bool {
        self.disturbed
            .iter()
            .flatten()
            .all(|span| span.from > at || span.to + CONTACT < at)
    }
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub detail: String,
}

impl Violation {
    pub(crate) fn new(promise: &'static str, detail: String) -> Self {
        Self { promise, detail }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.promise, self.detail)
    }
}

/// What a run found.
#[derive(Clone, Debug)]
pub struct Report {
    /// The faults, with their times.
    pub events: Vec<String>,
    /// Requests sent.
    pub requests: usize,
    /// Requests with a useful answer.
    pub served: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// Tells whether a request got a useful answer.
pub(crate) fn is_served(record: &Record) -> bool {
    matches!(&record.outcome, Outcome::Answered(answer) if answer.status() == StatusCode::OK)
}

struct Checker<'a> {
    leafs: &'a [Leaf],
    evidence: &'a Evidence,
    // The runs of each request, with the number of the leaf.
    runs: HashMap<String, Vec<(usize, Run)>>,
    violations: Vec<Violation>,
}

/// Checks a run that has ended.
pub(crate) fn check(records: &[Record], leafs: &[Leaf], evidence: &Evidence) -> Vec<Violation> {
    let mut runs: HashMap<String, Vec<(usize, Run)>> = HashMap::new();
    for (number, leaf) in leafs.iter().enumerate() {
        for run in leaf.runs() {
            runs.entry(run.request.clone())
                .or_default()
                .push((number, run));
        }
    }
    let mut checker = Checker {
        leafs,
        evidence,
        runs,
        violations: evidence.violations.clone(),
    };
    for record in records {
        checker.check_answer(record);
        checker.check_runs(record);
    }
    checker.check_overdrawn(records);
    checker.check_places();
    checker.violations
}

fn header<'a>(answer: &'a Response<Bytes>, name: &str) -> &'a str {
    let value = answer.headers().get(name);
    value.map_or("", |value| value.to_str().unwrap_or_default())
}

impl Checker<'_> {
    fn report(&mut self, promise: &'static str, detail: String) {
        self.violations.push(Violation::new(promise, detail));
    }

    fn runs(&self, id: &str) -> &[(usize, Run)] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    fn leaf(&self, id: &str) -> Option<&Leaf> {
        let number: usize = id.strip_prefix("i-")?.parse().ok()?;
        self.leafs.get(number)
    }

    fn check_answer(&mut self, record: &Record) {
        let id = &record.id;
        let answer = match &record.outcome {
            Outcome::Answered(answer) => answer,
            Outcome::Unsent => return,
            Outcome::Lost | Outcome::Silent => {
                self.check_lost(record);
                return;
            }
        };
        let status = answer.status();
        let echoed = header(answer, "x-camphorhold-request-id");
        if !echoed.is_empty() && echoed != id {
            self.report("mixed", format!("{id} got the answer to {echoed}"));
        }
        if status.is_client_error() {
            self.report("denied", format!("{id} got {status}"));
        }
        if status == StatusCode::SERVICE_UNAVAILABLE
            && record.kind == Kind::Once
            && !self.runs(id).is_empty()
        {
            self.report("refused", format!("{id} is said not to have run, and has"));
        }
        if status.is_success() {
            let problem = match record.kind {
                Kind::All => self.problem_of_merged(id, answer),
                Kind::One | Kind::Once => self.problem_of_single(id, answer),
            };
            if let Some(problem) = problem {
                self.report("mixed", format!("{id}: {problem}"));
            }
        }
    }

    /// A request that has left is answered unless its instance is killed. One that crosses the close
    /// of its connection without reaching a leaf can be sent again; it learns that at once, or when
    /// an instance that stands still goes on.
    fn check_lost(&mut self, record: &Record) {
        let from = record.sent.checked_sub(CLOSE_SLACK).unwrap_or(record.sent);
        let killed = self.evidence.killed[record.instance]
            .iter()
            .any(|killed| (from..=record.ended).contains(killed));
        let overlaps = |spans: &[Span]| {
            let overlaps = |span: &Span| span.from <= record.ended && span.to >= record.sent;
            spans.iter().any(overlaps)
        };
        let disturbed = overlaps(&self.evidence.disturbed[record.instance]);
        let paused = overlaps(&self.evidence.paused[record.instance]);
        let elapsed = record.ended.saturating_duration_since(record.sent);
        let runs = self.runs(&record.id).len();
        let permitted = match record.outcome {
            Outcome::Silent => killed || disturbed,
            _ => killed || (runs == 0 && (elapsed <= CLOSE_SLACK || paused)),
        };
        if !permitted {
            let Record {
                id,
                instance,
                outcome,
                ..
            } = record;
            self.report(
                "lost",
                format!("{id} at instance {instance}: {outcome:?} after {elapsed:?}, {runs} runs"),
            );
        }
    }

    fn problem_of_single(&self, id: &str, answer: &Response<Bytes>) -> Option<&'static str> {
        let stamp = header(answer, "x-camphorhold-server-stamp");
        let Some(leaf) = stamp
            .strip_suffix(&format!("-{id}"))
            .and_then(|leaf| self.leaf(leaf))
        else {
            return Some("the signature is not for this request");
        };
        (answer.body() != &leaf.record()[..]).then_some("the body is not that of the leaf")
    }

    fn problem_of_merged(&self, id: &str, answer: &Response<Bytes>) -> Option<&'static str> {
        let suffix = format!("-{id}");
        let mut records = BTreeMap::new();
        let stamps = header(answer, "x-camphorhold-part-stamps");
        for stamp in stamps.split(',').map(str::trim) {
            let leaf = stamp.strip_suffix(&suffix).and_then(|leaf| self.leaf(leaf));
            let Some(leaf) = leaf else {
                return Some("a signature is not for this request");
            };
            if records.insert(leaf.service(), leaf.record()).is_some() {
                return Some("two parts of one shard");
            }
        }
        let missing: usize = header(answer, "x-camphorhold-missing-parts")
            .parse()
            .unwrap_or(0);
        let services: BTreeSet<&str> = self.leafs.iter().map(Leaf::service).collect();
        if records.len() + missing != services.len() {
            return Some("parts and missing parts are not all shards");
        }
        #[expect(clippy::cast_precision_loss, reason = "there are few shards")]
        let share = records.len() as f64 / services.len() as f64;
        if share < MINIMUM {
            return Some("fewer shards than the minimum");
        }
        let mut greatest: Vec<[u8; 16]> = records.into_values().collect();
        greatest.sort_unstable_by(|a, b| b.cmp(a));
        greatest.truncate(TOP);
        (answer.body() != &greatest.concat()).then_some("not the greatest records of the parts")
    }

    fn check_runs(&mut self, record: &Record) {
        let runs = self.runs(&record.id);
        if record.kind == Kind::Once && runs.len() > 1 {
            let detail = format!("{} ran {} times", record.id, runs.len());
            self.report("twice", detail);
            return;
        }
        if record.kind == Kind::All {
            return;
        }
        // A run may follow any version that was in force since the bound before it was sent.
        for (leaf, run) in runs {
            let service = self.leafs[*leaf].service();
            let configured = &self.evidence.configured;
            let known_since = if self.evidence.is_calm(record.sent) {
                record.sent.checked_sub(CHANGE)
            } else {
                None
            };
            let permitted = configured.iter().enumerate().any(|(index, version)| {
                let replaced = configured.get(index + 1).map(|next| next.at);
                let still = known_since
                    .zip(replaced)
                    .is_none_or(|(since, replaced)| replaced > since);
                version.first == service && version.at <= run.at && still
            });
            if !permitted {
                let detail = format!("{} was run by {service}", record.id);
                self.report("configuration", detail);
                return;
            }
        }
    }

    fn check_overdrawn(&mut self, records: &[Record]) {
        let reaches_too_many = |record: &&Record| {
            let mut leafs: BTreeMap<&str, BTreeSet<usize>> = BTreeMap::new();
            for (leaf, _) in self.runs(&record.id) {
                let service = self.leafs[*leaf].service();
                leafs.entry(service).or_default().insert(*leaf);
            }
            leafs.values().any(|leafs| leafs.len() > MAX_LEAFS)
        };
        let count = records.iter().filter(reaches_too_many).count();
        if count > OVERDRAWN {
            self.report(
                "leafs",
                format!("{count} requests reached more than {MAX_LEAFS} leafs of a service"),
            );
        }
        let sent: BTreeSet<&str> = records.iter().map(|record| &*record.id).collect();
        // The last request of each caller is cut off by the end of the run.
        let last = |id: &str| {
            let (name, number) = id.rsplit_once('-').unwrap_or((id, "0"));
            let before = number
                .parse::<u64>()
                .map_or(0, |number| number.saturating_sub(1));
            before == 0 || sent.contains(format!("{name}-{before}").as_str())
        };
        let unknown: Vec<String> = self
            .runs
            .keys()
            .filter(|id| !sent.contains(id.as_str()) && !last(id))
            .cloned()
            .collect();
        for id in unknown {
            self.report("unasked", format!("{id} ran, and no caller sent it"));
        }
    }

    fn check_places(&mut self) {
        let mut found = Vec::new();
        let late = |span: Span, bound: Duration, at: Instant| {
            at > span.from + bound && at < span.to && self.evidence.is_calm(at)
        };
        for (number, run) in self.runs.values().flatten() {
            let leaf = &self.leafs[*number];
            for drained in &self.evidence.drained {
                if drained.leaf == *number && late(drained.span, CHANGE, run.at) {
                    found.push(("drain", format!("{} ran at {}", run.request, leaf.key())));
                }
            }
            for evacuated in &self.evidence.evacuated {
                if evacuated.domain == leaf.domain() && late(evacuated.span, EVACUATION, run.at) {
                    found.push((
                        "evacuation",
                        format!("{} ran at {}", run.request, leaf.key()),
                    ));
                }
            }
        }
        for (promise, detail) in found {
            self.report(promise, detail);
        }
    }
}
