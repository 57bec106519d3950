//! A stand-in for the users' platform: its store, and leafs with the failures that the platform's
//! documentation describes.

pub mod leaf;
pub mod process;
pub mod store;
pub mod usage;

use serde_json::Value;
use serde_json::json;

/// The key in the store of the configuration with the routes and services.
pub const CONFIGURATION_KEY: &str = "op/config";

/// Returns the key that evacuates a failure domain: while it exists, instances send nothing to the
/// domain's leafs.
#[must_use]
pub fn evacuation_key(domain: &str) -> String {
    format!("op/evacuate/{domain}")
}

/// The number of connections that each leaf accepts according to [`configuration`].
pub const CONNECTIONS: usize = 50;

/// Returns a configuration for the host `q.example` with three routes. `/all/` calls one leaf of
/// each service; `/one/` and `/once/` call the first service. A request to `/once/` runs at most
/// once.
#[must_use]
pub fn configuration(version: u64, services: &[&str]) -> Value {
    configuration_with_connections(version, services, CONNECTIONS)
}

/// Returns a configuration as [`configuration`] does, in which each leaf accepts that many
/// connections.
#[must_use]
pub fn configuration_with_connections(
    version: u64,
    services: &[&str],
    connections: usize,
) -> Value {
    let first = services.first();
    let all = json!({"fan_out": services, "top_k": 2, "min_coverage": 0.5});
    let service = |name: &&str| {
        json!({
            "name": name, "health_path": "/health", "max_conns": connections, "protocol": "h1",
            "tls": false, "cold_start_s": 3.0, "cold_per_s": 0.0,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("all", "safe", &all),
            route("one", "safe", &json!({"service": first})),
            route("once", "unsafe", &json!({"service": first})),
        ],
        "services": services.iter().map(service).collect::<Vec<_>>(),
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 65_536, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    })
}

fn route(name: &str, kind: &str, target: &Value) -> Value {
    let mut route = json!({
        "name": name, "host": "q.example", "prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 4_000, "objective_ms": 1_000, "priority": 1, "max_attempts": 2,
    });
    for (key, value) in target.as_object().into_iter().flatten() {
        route[key] = value.clone();
    }
    route
}
