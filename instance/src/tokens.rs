//! Claims tokens of leafs that limit their requests from the instances that grant them, and grants
//! them to other instances.
//!
//! A claim is an HTTP/1.1 request with [`HEADER`] to the peer address of another instance, with all
//! claims for that instance as JSON. An instance of a release without tokens refuses it, and the
//! next instance is asked.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::coordination::serving::rate_limit::CLAIM_INTERVAL;
use camphorhold::coordination::serving::rate_limit::Claim;
use camphorhold::coordination::serving::rate_limit::LEASE_LIFETIME;
use camphorhold::coordination::serving::rate_limit::Notice;
use camphorhold::state::rate::InvalidRate;
use camphorhold::transport::body;
use camphorhold::transport::client;
use camphorhold::transport::http;
use camphorhold::transport::http::Connection;
use futures::StreamExt;
use futures::future::join_all;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::answer::closing_response;
use crate::answer::empty_response;
use crate::peer;
use crate::release;
use crate::shared::Phase;
use crate::shared::Shared;

/// In a request to another instance: marks it as a [`WireClaims`].
pub const HEADER: HeaderName = HeaderName::from_static("camphorhold-token-claims");

/// The path of claims. Instances tell them by [`HEADER`].
const PATH: &str = "/camphorhold/token-claims";

/// How long a grantor may take to answer. Within the lifetime of tokens, two grantors can be asked.
const TIMEOUT: Duration = Duration::from_millis(120);

/// How long a grantor is passed over after it has failed a claim.
const PAUSE: Duration = Duration::from_secs(1);

/// The most grantors that are asked for one claim.
const MAX_ROUNDS: usize = 3;

/// The longest accepted body of a claim or an answer, about 500 leafs.
const MAX_BODY_BYTES: usize = 64 << 10;

/// The most leafs in one request to a grantor.
const MAX_CLAIMS: usize = 256;

/// The most notices that are on their way at a time.
const MAX_PARALLEL_NOTICES: usize = 8;

/// The claims of one instance, or its notices.
#[derive(Debug, Deserialize, Serialize)]
struct WireClaims {
    // The name of the claiming instance.
    claimant: Box<str>,
    claims: Vec<WireClaim>,
    // Earlier releases ignore it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    notices: Vec<WireNotice>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct WireNotice {
    leaf: Box<str>,
    // In requests per second.
    limit: f64,
    // How long ago the leaf last named it.
    heard_ms_ago: u64,
}

impl WireNotice {
    fn new(notice: &Notice, now: Instant) -> Self {
        Self {
            leaf: notice.leaf.clone(),
            limit: notice.limit.per_second(),
            heard_ms_ago: millis_since(notice.heard_at, now),
        }
    }

    fn into_notice(self, now: Instant) -> Result<Notice, InvalidRate> {
        Ok(Notice {
            leaf: self.leaf,
            limit: self.limit.try_into()?,
            heard_at: before(now, self.heard_ms_ago),
        })
    }
}

fn millis_since(time: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(time);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time that many milliseconds before `now`; `now` if that is out of range.
fn before(now: Instant, millis: u64) -> Instant {
    let age = Duration::from_millis(millis);
    now.checked_sub(age).unwrap_or(now)
}

#[derive(Debug, Deserialize, Serialize)]
struct WireClaim {
    leaf: Box<str>,
    domain: Box<str>,
    // In requests per second.
    limit: f64,
    // How long ago the leaf last named it.
    heard_ms_ago: u64,
    wanted: u32,
    returned: u32,
}

/// The answer to [`WireClaims`]: the number of tokens for each claim, in their order.
#[derive(Debug, Deserialize, Serialize)]
struct WireGrants {
    granted: Vec<u32>,
}

impl WireClaim {
    fn new(claim: &Claim, now: Instant) -> Self {
        Self {
            leaf: claim.leaf.clone(),
            domain: claim.domain.clone(),
            limit: claim.limit.per_second(),
            heard_ms_ago: millis_since(claim.heard_at, now),
            wanted: claim.wanted,
            returned: claim.returned,
        }
    }

    fn into_claim(self, now: Instant) -> Result<Claim, InvalidRate> {
        Ok(Claim {
            leaf: self.leaf,
            domain: self.domain,
            limit: self.limit.try_into()?,
            heard_at: before(now, self.heard_ms_ago),
            wanted: self.wanted,
            returned: self.returned,
        })
    }
}

/// Why a grantor has granted nothing.
#[derive(Debug, Error)]
enum ClaimError {
    #[error(transparent)]
    Http(#[from] http::Error),
    #[error("no answer in time")]
    TimedOut,
    #[error("refused with {0}")]
    Refused(StatusCode),
    #[error("the answer cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// Claims tokens while a leaf names a limit, until the process ends.
pub async fn run(shared: Rc<Shared>) {
    let claimant = Claimant {
        shared,
        paused: RefCell::default(),
    };
    loop {
        if !claimant.shared.fleet.borrow().has_limits() {
            claimant.shared.limit_named.notified().await;
        }
        claimant.claim_all().await;
        // A newly named limit needs tokens at once. A timeout needs no handling: it is the interval.
        let _ = tokio::time::timeout(CLAIM_INTERVAL, claimant.shared.limit_named.notified()).await;
    }
}

/// The claims for one grantor.
struct Group {
    grantor: Box<str>,
    address: SocketAddr,
    claims: Vec<(LeafKey, Claim)>,
}

/// Claims tokens for the calls of this instance.
struct Claimant {
    shared: Rc<Shared>,
    // The grantors that have failed claims, and until when they are passed over.
    paused: RefCell<HashMap<Box<str>, Instant>>,
}

impl Claimant {
    async fn claim_all(&self) {
        let now = self.shared.now();
        self.paused.borrow_mut().retain(|_, until| now < *until);
        let mut claims = {
            let mut retry_budgets = self.shared.retry_budgets.borrow_mut();
            let mut fleet = self.shared.fleet.borrow_mut();
            fleet.claim_tokens(|service| retry_budgets.request_rate(service, now), now)
        };
        for _ in 0..MAX_ROUNDS {
            if claims.is_empty() {
                return;
            }
            let groups = self.group_by_grantor(claims).into_iter();
            let failed = join_all(groups.map(|group| self.claim_from(group))).await;
            claims = failed.into_iter().flatten().collect();
        }
    }

    fn group_by_grantor(&self, claims: Vec<(LeafKey, Claim)>) -> Vec<Group> {
        let instances = self.shared.instances.borrow();
        let paused = self.paused.borrow();
        // While it stops, the others do not ask this instance either.
        let is_serving = self.shared.phase.get() == Phase::Serving;
        let is_excluded = |name: &str| {
            paused.contains_key(name) || (!is_serving && *name == *self.shared.settings.name)
        };
        let mut groups: HashMap<&str, Group> = HashMap::new();
        for (key, claim) in claims {
            let grantor = instances.grantor(&claim.leaf, &claim.domain, is_excluded);
            // Without a registered instance there are no tokens either.
            if let Some((name, address)) = grantor {
                let group = groups.entry(name).or_insert_with(|| Group {
                    grantor: name.into(),
                    address,
                    claims: Vec::new(),
                });
                group.claims.push((key, claim));
            }
        }
        groups.into_values().collect()
    }

    /// Claims tokens from one grantor. Returns the claims that it has not answered.
    async fn claim_from(&self, group: Group) -> Vec<(LeafKey, Claim)> {
        let sent_at = self.shared.now();
        let name = &*group.grantor;
        if *name == *self.shared.settings.name {
            for (key, claim) in group.claims {
                let tokens = grant(&self.shared, name, &claim);
                self.record(key, tokens, sent_at);
            }
            return Vec::new();
        }
        let mut claims = &group.claims[..];
        while !claims.is_empty() {
            let (next, rest) = claims.split_at(claims.len().min(MAX_CLAIMS));
            let exchange = self.exchange(group.address, next);
            let result = tokio::time::timeout(TIMEOUT, exchange)
                .await
                .unwrap_or(Err(ClaimError::TimedOut));
            match result {
                Ok(granted) => {
                    for ((key, claim), tokens) in next.iter().zip(granted) {
                        self.record(*key, tokens.min(claim.wanted), sent_at);
                    }
                }
                Err(error) => {
                    count("failed");
                    log::info!(grantor = name, leafs = claims.len(), error:% = error; "instance grants no tokens; asking another one");
                    let until = self.shared.now() + PAUSE;
                    self.paused.borrow_mut().insert(name.into(), until);
                    return claims.to_vec();
                }
            }
            claims = rest;
        }
        Vec::new()
    }

    fn record(&self, leaf: LeafKey, tokens: u32, sent_at: Instant) {
        count("answered");
        metrics::counter!("camphorhold_tokens_total").increment(tokens.into());
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.on_granted(leaf, tokens, sent_at + LEASE_LIFETIME);
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        claims: &[(LeafKey, Claim)],
    ) -> Result<Vec<u32>, ClaimError> {
        let now = self.shared.now();
        let claims = claims.iter().map(|(_, claim)| WireClaim::new(claim, now));
        let message = WireClaims {
            claimant: self.shared.settings.name.clone(),
            claims: claims.collect(),
            notices: Vec::new(),
        };
        Ok(send(&self.shared, address, &message).await?.granted)
    }
}

/// Returns whether an instance responds to an empty claim on a new connection within that time. It may
/// refuse the claim.
pub async fn responds(shared: &Shared, address: SocketAddr, timeout: Duration) -> bool {
    let message = WireClaims {
        claimant: shared.settings.name.clone(),
        claims: Vec::new(),
        notices: Vec::new(),
    };
    let exchange = async {
        let connection = peer::open(shared, address).await?;
        send_on(shared, address, connection, &message).await
    };
    let result = tokio::time::timeout(timeout, exchange).await;
    matches!(result, Ok(Ok(_) | Err(ClaimError::Refused(_))))
}

/// Sends claims or notices to an instance.
async fn send(
    shared: &Shared,
    address: SocketAddr,
    message: &WireClaims,
) -> Result<WireGrants, ClaimError> {
    let connection = peer::connect(shared, address).await?;
    send_on(shared, address, connection, message).await
}

async fn send_on(
    shared: &Shared,
    address: SocketAddr,
    mut connection: Connection,
    message: &WireClaims,
) -> Result<WireGrants, ClaimError> {
    let body = serde_json::to_vec(message)?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static(PATH);
    let headers = request.headers_mut();
    headers.insert(HEADER, HeaderValue::from_static("1"));
    if let Ok(host) = address.to_string().parse() {
        headers.insert(HOST, host);
    }
    let answer = connection.exchange(request, MAX_BODY_BYTES).await?;
    peer::keep(shared, address, connection);
    if answer.status() != StatusCode::OK {
        return Err(ClaimError::Refused(answer.status()));
    }
    Ok(serde_json::from_slice(answer.body())?)
}

fn count(outcome: &'static str) {
    metrics::counter!("camphorhold_token_claims_total", "outcome" => outcome).increment(1);
}

/// Grants tokens for a claim of the instance `claimant`. Sends notices of a leaf that had no claim
/// before.
fn grant(shared: &Rc<Shared>, claimant: &str, claim: &Claim) -> u32 {
    let instances = shared.instances.borrow();
    let precedence = instances.grantor_precedence(&claim.leaf, &claim.domain);
    let mut grantor = shared.grantor.borrow_mut();
    let tokens = grantor.grant(claimant, claim, precedence, shared.now());
    let notices = grantor.take_notices();
    if !notices.is_empty() {
        tokio::task::spawn_local(announce(Rc::clone(shared), notices));
    }
    tokens
}

/// Tells all instances, this one included, which leafs limit their requests.
async fn announce(shared: Rc<Shared>, notices: Vec<Notice>) {
    let now = shared.now();
    let message = WireClaims {
        claimant: shared.settings.name.clone(),
        claims: Vec::new(),
        notices: notices
            .iter()
            .map(|notice| WireNotice::new(notice, now))
            .collect(),
    };
    for notice in &notices {
        on_notice(&shared, notice);
    }
    let others: Vec<SocketAddr> = shared.instances.borrow().others(release::NOTICES).collect();
    let sent = futures::stream::iter(others)
        .map(|address| tokio::time::timeout(TIMEOUT, send(&shared, address, &message)))
        .buffer_unordered(MAX_PARALLEL_NOTICES);
    let failed = sent
        .filter(|result| std::future::ready(!matches!(result, Ok(Ok(_)))))
        .count()
        .await;
    if failed > 0 {
        // These instances hear of the limit when they call the leaf.
        log::info!(failed = failed, leafs = notices.len(); "instances did not take notices of limited leafs");
    }
}

/// Applies that a leaf limits its requests, unless this instance has heard from the leaf later.
fn on_notice(shared: &Shared, notice: &Notice) {
    let mut fleet = shared.fleet.borrow_mut();
    let Some(leaf) = fleet.find(&notice.leaf) else {
        return;
    };
    let change = fleet.on_limit(leaf, Some(notice.limit), notice.heard_at, shared.now());
    if change.is_some() {
        shared.limit_named.notify_one();
        log::info!(leaf = &*notice.leaf, limit = notice.limit.per_second(); "another instance says that the leaf limits its requests");
    }
}

/// Answers a claim of another instance: 200 with the granted tokens, 400 for a body that is no
/// claim, 409 while this instance is starting or stopping, so that the next one is asked.
pub async fn serve(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    client: &client::Connection,
) -> Response<Full<Bytes>> {
    if shared.phase.get() != Phase::Serving {
        return empty_response(StatusCode::CONFLICT);
    }
    // The claimant does not wait longer.
    let reading = body::read_request(request.into_body(), MAX_BODY_BYTES, client);
    let body = match tokio::time::timeout(TIMEOUT, reading).await {
        Ok(Ok(body)) => body,
        // The claimant asks another instance.
        Ok(Err(body::Error::Refused(_))) => return closing_response(StatusCode::CONFLICT),
        Ok(Err(_)) | Err(_) => return empty_response(StatusCode::BAD_REQUEST),
    };
    let claims = match serde_json::from_slice::<WireClaims>(&body) {
        Ok(claims) if claims.claims.len() <= MAX_CLAIMS => claims,
        Ok(_) => return empty_response(StatusCode::BAD_REQUEST),
        Err(error) => {
            log::info!(error:% = error; "invalid token claim refused");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let now = shared.now();
    for wire in claims.notices.into_iter().take(MAX_CLAIMS) {
        match wire.into_notice(now) {
            Ok(notice) => on_notice(shared, &notice),
            Err(error) => log::info!(error:% = error; "invalid notice of a limited leaf ignored"),
        }
    }
    let granted = claims.claims.into_iter().map(|wire| {
        // A claim with an impossible limit gets nothing.
        let claim = wire.into_claim(now);
        claim.map_or(0, |claim| grant(shared, &claims.claimant, &claim))
    });
    let grants = WireGrants {
        granted: granted.collect(),
    };
    match serde_json::to_vec(&grants) {
        Ok(body) => Response::new(Full::new(body.into())),
        Err(error) => {
            log::error!(error:% = error; "cannot write granted tokens");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
