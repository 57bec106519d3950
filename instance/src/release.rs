//! What this release calls itself, and which messages between instances it knows.

/// The version of the program.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// The version of the messages between instances and of the items in the store. Rises with each
/// release that adds to them; `docs/design/releases.md` lists what each one knows. Registrations
/// without it are from version 1.
pub const PROTOCOL: u32 = 4;

/// The first version with notices of leafs that limit their requests.
pub const NOTICES: u32 = 2;

/// The first version whose instances send each other datagrams.
pub const DATAGRAMS: u32 = 3;

/// The first version that checks the keys of customers, proves to other instances which configuration
/// is the latest one, and sends them the usage of customers.
pub const CUSTOMERS: u32 = 4;

/// Publishes the release in the metrics.
pub fn describe() {
    let protocol = PROTOCOL.to_string();
    metrics::gauge!("camphorhold_build_info", "version" => VERSION, "protocol" => protocol)
        .set(1.0);
}
