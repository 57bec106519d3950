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
use camphorhold::state::rate::InvalidRate;
use camphorhold::transport::body;
use camphorhold::transport::http;
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

use crate::answer::empty_response;
use crate::peer;
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

/// The claims of one instance.
#[derive(Debug, Deserialize, Serialize)]
struct WireClaims {
    // The name of the claiming instance.
    claimant: Box<str>,
    claims: Vec<WireClaim>,
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
        let age = now.saturating_duration_since(claim.heard_at);
        Self {
            leaf: claim.leaf.clone(),
            domain: claim.domain.clone(),
            limit: claim.limit.per_second(),
            heard_ms_ago: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            wanted: claim.wanted,
            returned: claim.returned,
        }
    }

    fn into_claim(self, now: Instant) -> Result<Claim, InvalidRate> {
        let age = Duration::from_millis(self.heard_ms_ago);
        Ok(Claim {
            leaf: self.leaf,
            domain: self.domain,
            limit: self.limit.try_into()?,
            heard_at: now.checked_sub(age).unwrap_or(now),
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
        let body = serde_json::to_vec(&WireClaims {
            claimant: self.shared.settings.name.clone(),
            claims: claims
                .iter()
                .map(|(_, claim)| WireClaim::new(claim, now))
                .collect(),
        })?;
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = hyper::Uri::from_static(PATH);
        let headers = request.headers_mut();
        headers.insert(HEADER, HeaderValue::from_static("1"));
        if let Ok(host) = address.to_string().parse() {
            headers.insert(HOST, host);
        }
        let mut connection = peer::connect(&self.shared, address).await?;
        let answer = connection.exchange(request, MAX_BODY_BYTES).await?;
        peer::keep(&self.shared, address, connection);
        if answer.status() != StatusCode::OK {
            return Err(ClaimError::Refused(answer.status()));
        }
        let grants: WireGrants = serde_json::from_slice(answer.body())?;
        Ok(grants.granted)
    }
}

fn count(outcome: &'static str) {
    metrics::counter!("camphorhold_token_claims_total", "outcome" => outcome).increment(1);
}

/// Grants tokens for a claim of the instance `claimant`.
fn grant(shared: &Shared, claimant: &str, claim: &Claim) -> u32 {
    let instances = shared.instances.borrow();
    let precedence = instances.grantor_precedence(&claim.leaf, &claim.domain);
    let mut grantor = shared.grantor.borrow_mut();
    grantor.grant(claimant, claim, precedence, shared.now())
}

/// Answers a claim of another instance: 200 with the granted tokens, 400 for a body that is no
/// claim, 409 while this instance is starting or stopping, so that the next one is asked.
pub async fn serve(shared: &Shared, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if shared.phase.get() != Phase::Serving {
        return empty_response(StatusCode::CONFLICT);
    }
    // The claimant does not wait longer.
    let reading = body::read(request.into_body(), MAX_BODY_BYTES, None);
    let Ok(Ok(body)) = tokio::time::timeout(TIMEOUT, reading).await else {
        return empty_response(StatusCode::BAD_REQUEST);
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
