//! Finds out which customer a request belongs to, by its key or by what another instance says.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use camphorhold::state::customer::Customers;
use camphorhold::state::customer::KeyDigest;
use camphorhold::state::plan::Plan;
use camphorhold::state::plan::Route;
use camphorhold_platform::header;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;

use crate::answer::empty_response;
use crate::answer::refuse;
use crate::call::request_id;
use crate::freshness;
use crate::relay;
use crate::request::Source;
use crate::shared::Shared;

/// Whom a request belongs to, and its effective priority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The customer; `None` if the route needs no key.
    pub customer: Option<Arc<str>>,
    /// The priority of the customer, or of the route if the customer has none.
    pub priority: u32,
}

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It carries no key.
    Missing,
    /// It carries several key headers.
    Several,
    /// Its key belongs to no customer, or to several.
    Unknown,
    /// This instance has no proof that its configuration is the latest one.
    Unproven(Duration),
    /// Another instance that does not check keys has sent it.
    Unchecked,
}

impl Refusal {
    fn reason(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Several => "several",
            Self::Unknown => "unknown",
            Self::Unproven(_) => "unproven",
            Self::Unchecked => "unchecked",
        }
    }

    /// Returns the response to the request.
    pub fn respond(self) -> Response<Full<Bytes>> {
        match self {
            Self::Missing | Self::Several | Self::Unknown => {
                empty_response(StatusCode::UNAUTHORIZED)
            }
            Self::Unproven(pause) => refuse(pause),
            Self::Unchecked => relay::refusal(),
        }
    }
}

/// Returns whom a request belongs to.
///
/// # Errors
///
/// Returns why the request is refused. No leaf has received it.
pub fn identify(
    shared: &Shared,
    plan: &Plan,
    route: &Route,
    headers: &HeaderMap,
    source: Source,
) -> Result<Identity, Refusal> {
    let customers = plan.customers_of(route);
    let customer = match source {
        Source::Caller => customers
            .map(|customers| check_key(shared, customers, headers))
            .transpose(),
        Source::Instance | Source::Relay => told_customer(customers, headers),
    };
    let customer = customer.inspect_err(|refusal| {
        metrics::counter!("camphorhold_key_refusals_total", "reason" => refusal.reason())
            .increment(1);
        log::info!(request = request_id(headers), route = &*route.name, reason = refusal.reason(), config_version = plan.version(); "request refused for its key");
    })?;
    let own = customers
        .zip(customer.as_deref())
        .and_then(|(customers, name)| customers.get(name)?.priority);
    Ok(Identity {
        customer,
        priority: own.unwrap_or(route.priority),
    })
}

/// Returns the customer that the key of a caller's request belongs to.
fn check_key(
    shared: &Shared,
    customers: &Customers,
    headers: &HeaderMap,
) -> Result<Arc<str>, Refusal> {
    let mut keys = headers.get_all(header::CUSTOMER_KEY).iter();
    let key = match (keys.next(), keys.next()) {
        (Some(key), None) if !key.is_empty() => key.as_bytes(),
        (_, None) => return Err(Refusal::Missing),
        (_, Some(_)) => return Err(Refusal::Several),
    };
    freshness::check(shared).map_err(Refusal::Unproven)?;
    let customer = customers.find(KeyDigest::new(key));
    customer
        .map(|customer| Arc::clone(&customer.name))
        .ok_or(Refusal::Unknown)
}

/// Returns the customer that another instance names, which has checked the key. An instance that does
/// not check keys forwards them, names no customer where one is needed, or passes on the header of a
/// caller.
fn told_customer(
    customers: Option<&Customers>,
    headers: &HeaderMap,
) -> Result<Option<Arc<str>>, Refusal> {
    let name = headers.get(header::CUSTOMER);
    if headers.contains_key(header::CUSTOMER_KEY) || name.is_some() != customers.is_some() {
        return Err(Refusal::Unchecked);
    }
    let Some(name) = name else {
        return Ok(None);
    };
    let name = std::str::from_utf8(name.as_bytes()).map_err(|_| Refusal::Unchecked)?;
    Ok(Some(name.into()))
}

/// Removes the key of a request and what it says about the customer, and names the right customer
/// instead.
pub fn replace_headers(headers: &mut HeaderMap, customer: Option<&str>) {
    headers.remove(header::CUSTOMER_KEY);
    headers.remove(header::CUSTOMER);
    // Names that cannot be sent have no keys.
    if let Some(customer) = customer
        && let Ok(customer) = HeaderValue::from_bytes(customer.as_bytes())
    {
        headers.insert(header::CUSTOMER, customer);
    }
}
