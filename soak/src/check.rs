//! Checks the promises: compares the answers that callers got with the requests that leafs ran.

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

/// How long the instances and the store must have been undisturbed before the bounds on changes
/// apply: `contact_ms` of the instances' settings.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// The time within which a new configuration takes effect, and after which a draining leaf gets no
/// requests: `config_apply_ms` and `drain_ms` of the instances' settings.
const CHANGE_BOUND: Duration = Duration::from_secs(3);

/// The time after which an evacuated failure domain gets no requests.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// How long a request may be in transit while the instance closes its connection.
const CLOSE_SLACK: Duration = Duration::from_millis(200);

/// The span over which the requests to a leaf with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// How many leafs of one service a single request of a caller may reach, whatever retries and
/// hedges the instances make.
const MAX_LEAFS: usize = 2;

/// How many requests of a run may exceed [`MAX_LEAFS`].
const MAX_EXCEEDING_REQUESTS: usize = 3;

/// How many records an answer holds, and the smallest fraction of the shards that it covers:
/// `top_k` and `min_coverage` of the configuration.
const TOP_K: usize = 2;
const MIN_COVERAGE: f64 = 0.5;

/// A period from one point in time to another, such as that of a fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// A version of the configuration that was written to the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Configured {
    /// The time at which the store had accepted it.
    pub(crate) at: Instant,
    /// The first of its services, to which the routes to a single service lead.
    pub(crate) first: &'static str,
}

/// A drain of a leaf, from its announcement to the start of the next incarnation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drained {
    pub(crate) leaf: usize,
    pub(crate) span: Span,
}

/// An evacuation of a failure domain, whose leafs must get no requests meanwhile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evacuated {
    pub(crate) domain: &'static str,
    pub(crate) span: Span,
}

/// A time in which a leaf named a limit on requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limited {
    pub(crate) leaf: usize,
    /// In requests per second from all instances together.
    pub(crate) limit: u32,
    pub(crate) span: Span,
}

/// What happened in a run besides the requests. The outer lists are by number of the instance.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// The periods in which a fault affected each instance, or the store that it uses.
    pub(crate) disturbed: Vec<Vec<Span>>,
    /// The periods in which each instance was stopped by SIGSTOP.
    pub(crate) paused: Vec<Vec<Span>>,
    /// The times at which each instance was killed.
    pub(crate) killed: Vec<Vec<Instant>>,
    pub(crate) configured: Vec<Configured>,
    pub(crate) drained: Vec<Drained>,
    pub(crate) evacuated: Vec<Evacuated>,
    pub(crate) limited: Vec<Limited>,
    /// Broken promises that were found during the run.
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

    /// Returns whether all instances had been undisturbed for long enough that the bounds on
    /// changes apply at the given time. All are considered because instances hand shards over, so
    /// any of them may have sent a call.
    fn is_undisturbed(&self, at: Instant) -> bool {
        self.disturbed
            .iter()
            .flatten()
            .all(|span| span.from > at || span.to + SETTLING_TIME < at)
    }
}

/// A promise that was broken in a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// A short fixed name of the promise.
    pub promise: &'static str,
    /// The request or instance that broke it, and what was observed.
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

/// The result of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The faults of the schedule as text, with their beginnings and lengths.
    pub events: Vec<String>,
    /// The number of requests that ended before the run did, whatever their outcome.
    pub requests: usize,
    /// The number of requests that were answered with status 200.
    pub served: usize,
    /// All broken promises, those found during the run first.
    pub violations: Vec<Violation>,
}

/// Returns whether a request was answered with status 200, that is, with a result.
pub(crate) fn is_served(record: &Record) -> bool {
    matches!(&record.outcome, Outcome::Answered(answer) if answer.status() == StatusCode::OK)
}

struct Checker<'a> {
    leafs: &'a [Leaf],
    evidence: &'a Evidence,
    // The runs of each request by its id, each with the number of the leaf.
    runs: HashMap<String, Vec<(usize, Run)>>,
    violations: Vec<Violation>,
}

/// Checks the promises after the end of a run, when all callers and instances have stopped.
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
    checker.check_request_counts(records);
    checker.check_excluded_leafs();
    checker.check_limited_leafs();
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
            self.report(
                "refused",
                format!("{id} was refused as not run, but a leaf ran it"),
            );
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

    /// Checks that a request without an answer was allowed to have none.
    ///
    /// An instance answers each request that it has read unless it is killed. A connection may also
    /// close while a request is in transit. That is allowed if no leaf ran the request, which the
    /// caller can then send again, and if the caller saw the close at once or the instance was
    /// paused meanwhile. No answer before the time-out is allowed only while the instance is killed
    /// or disturbed.
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
            return Some("the server stamp is not for this request");
        };
        (answer.body() != &leaf.record()[..])
            .then_some("the body is not the record of the leaf in the server stamp")
    }

    fn problem_of_merged(&self, id: &str, answer: &Response<Bytes>) -> Option<&'static str> {
        let suffix = format!("-{id}");
        let mut records = BTreeMap::new();
        let stamps = header(answer, "x-camphorhold-part-stamps");
        for stamp in stamps.split(',').map(str::trim) {
            let leaf = stamp.strip_suffix(&suffix).and_then(|leaf| self.leaf(leaf));
            let Some(leaf) = leaf else {
                return Some("a part stamp is not for this request");
            };
            if records.insert(leaf.service(), leaf.record()).is_some() {
                return Some("two parts are from one shard");
            }
        }
        let missing: usize = header(answer, "x-camphorhold-missing-parts")
            .parse()
            .unwrap_or(0);
        let services: BTreeSet<&str> = self.leafs.iter().map(Leaf::service).collect();
        if records.len() + missing != services.len() {
            return Some("parts and missing parts do not add up to the number of shards");
        }
        #[expect(clippy::cast_precision_loss, reason = "there are few shards")]
        let coverage = records.len() as f64 / services.len() as f64;
        if coverage < MIN_COVERAGE {
            return Some("the answer covers fewer shards than the minimum");
        }
        let mut greatest: Vec<[u8; 16]> = records.into_values().collect();
        greatest.sort_unstable_by(|a, b| b.cmp(a));
        greatest.truncate(TOP_K);
        (answer.body() != &greatest.concat())
            .then_some("the body is not the greatest records of the parts")
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
        // A leaf may run a request by any version that was still in force `CHANGE_BOUND` before the
        // request was sent. If instances were disturbed, it may run it by any earlier version.
        for (leaf, run) in runs {
            let service = self.leafs[*leaf].service();
            let configured = &self.evidence.configured;
            let known_since = if self.evidence.is_undisturbed(record.sent) {
                record.sent.checked_sub(CHANGE_BOUND)
            } else {
                None
            };
            let permitted = configured.iter().enumerate().any(|(index, version)| {
                let replaced = configured.get(index + 1).map(|next| next.at);
                let still_in_force = known_since
                    .zip(replaced)
                    .is_none_or(|(since, replaced)| replaced > since);
                version.first == service && version.at <= run.at && still_in_force
            });
            if !permitted {
                let detail = format!(
                    "{} ran at service {service}, to which no permitted configuration routes it",
                    record.id
                );
                self.report("configuration", detail);
                return;
            }
        }
    }

    fn check_request_counts(&mut self, records: &[Record]) {
        let reaches_too_many = |record: &&Record| {
            let mut leafs: BTreeMap<&str, BTreeSet<usize>> = BTreeMap::new();
            for (leaf, _) in self.runs(&record.id) {
                let service = self.leafs[*leaf].service();
                leafs.entry(service).or_default().insert(*leaf);
            }
            leafs.values().any(|leafs| leafs.len() > MAX_LEAFS)
        };
        let count = records.iter().filter(reaches_too_many).count();
        if count > MAX_EXCEEDING_REQUESTS {
            self.report(
                "leafs",
                format!("{count} requests ran at more than {MAX_LEAFS} leafs of a service"),
            );
        }
        let sent: BTreeSet<&str> = records.iter().map(|record| &*record.id).collect();
        // The last request of each caller has no record, because the end of the run aborts it. Its
        // number is 1 or follows that of a recorded request.
        let was_cut_off = |id: &str| {
            let (name, number) = id.rsplit_once('-').unwrap_or((id, "0"));
            let before = number
                .parse::<u64>()
                .map_or(0, |number| number.saturating_sub(1));
            before == 0 || sent.contains(format!("{name}-{before}").as_str())
        };
        let unknown: Vec<String> = self
            .runs
            .keys()
            .filter(|id| !sent.contains(id.as_str()) && !was_cut_off(id))
            .cloned()
            .collect();
        for id in unknown {
            self.report("unasked", format!("{id} ran, but no caller sent it"));
        }
    }

    fn check_excluded_leafs(&mut self) {
        let mut found = Vec::new();
        let is_too_late = |span: Span, bound: Duration, at: Instant| {
            at > span.from + bound && at < span.to && self.evidence.is_undisturbed(at)
        };
        for (number, run) in self.runs.values().flatten() {
            let leaf = &self.leafs[*number];
            for drained in &self.evidence.drained {
                if drained.leaf == *number && is_too_late(drained.span, CHANGE_BOUND, run.at) {
                    found.push((
                        "drain",
                        format!("{} ran at draining {}", run.request, leaf.key()),
                    ));
                }
            }
            for evacuated in &self.evidence.evacuated {
                if evacuated.domain == leaf.domain()
                    && is_too_late(evacuated.span, EVACUATION_BOUND, run.at)
                {
                    found.push((
                        "evacuation",
                        format!("{} ran at evacuated {}", run.request, leaf.key()),
                    ));
                }
            }
        }
        for (promise, detail) in found {
            self.report(promise, detail);
        }
    }

    /// Checks the windows that begin after the bound has come into force, by when every instance
    /// knows the limit, and in which no instance was disturbed: one that restarts has to be told
    /// again.
    fn check_limited_leafs(&mut self) {
        let mut found = Vec::new();
        for limited in &self.evidence.limited {
            let leaf = &self.leafs[limited.leaf];
            let overlaps = |other: &&Limited| {
                other.leaf == limited.leaf
                    && other.span.from < limited.span.to
                    && limited.span.from < other.span.to
            };
            // Overlapping limits replace and end each other.
            if self.evidence.limited.iter().filter(overlaps).count() > 1 {
                continue;
            }
            let since = limited.span.from + SETTLING_TIME;
            let counts = |at: &Instant| {
                (since..limited.span.to).contains(at) && self.evidence.is_undisturbed(*at)
            };
            let runs = leaf.runs();
            let counted: Vec<Instant> = runs.iter().map(|run| run.at).filter(counts).collect();
            let in_window = |start: &Instant| {
                let in_window = |at: &&Instant| **at >= *start && **at < *start + LIMIT_WINDOW;
                counted.iter().filter(in_window).count()
            };
            let busiest = counted.iter().map(in_window).max().unwrap_or(0);
            if busiest > permitted_requests(limited.limit) {
                let limit = limited.limit;
                found.push(format!(
                    "{} got {busiest} requests in 4 s, its limit is {limit} a second",
                    leaf.key()
                ));
            }
        }
        for detail in found {
            self.report("limit", detail);
        }
    }
}

/// Returns how many requests a leaf with a limit may get within [`LIMIT_WINDOW`]: one and a half
/// times what it permits, and 5 more.
fn permitted_requests(limit: u32) -> usize {
    usize::try_from(limit * 4 * 3 / 2 + 5).unwrap_or(usize::MAX)
}
