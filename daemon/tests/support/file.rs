//! The operators' file with which the tests configure the daemons.

use std::fmt::Write as _;
use std::net::SocketAddr;

/// The failure domains. One instance runs in each.
pub const DOMAINS: [&str; 3] = ["north", "south", "west"];

/// The service for idempotent requests.
pub const SEARCH: &str = "round-app";

/// The number of shards of [`SEARCH`], each with two leafs in different failure domains.
pub const SEARCH_SHARDS: u32 = 3;

/// The service for non-idempotent requests.
pub const LEDGER: &str = "gift-ledger";

/// The number of shards of [`LEDGER`], each with two leafs in different failure domains.
pub const LEDGER_SHARDS: u32 = 2;

/// The tenant that may call all services.
pub const TENANT: &str = "households";

/// A tenant that may not call the ledger.
pub const OTHER_TENANT: &str = "coordinators";

/// The longest deadline of a request, in milliseconds. Long enough for a busy machine.
pub const DEADLINE_MS: u64 = 10_000;

/// A leaf as the file lists it.
#[derive(Clone, Copy, Debug)]
pub struct Leaf {
    pub address: SocketAddr,
    pub service: &'static str,
    pub shard: u32,
    pub failure_domain: &'static str,
}

/// The parts of the file that tests vary, besides its leafs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// The failure domain that the file takes out of service, if any.
    pub out: Option<&'static str>,
    /// Whether unknown requests to [`SEARCH`] run on one leaf before all others.
    pub canary: bool,
    /// A number in a comment, so that the text differs from that of another file.
    pub mark: u32,
}

/// Returns the text of the file.
pub fn text(leafs: &[Leaf], options: Options) -> String {
    let mut text = format!(
        "# {}\nsystem = \"almisse\"\nobjective = \"coverage\"\n",
        options.mark
    );
    for name in DOMAINS {
        let in_service = options.out != Some(name);
        let _ = writeln!(
            text,
            "[[failure_domain]]\nname = \"{name}\"\nin_service = {in_service}"
        );
    }
    for name in [TENANT, OTHER_TENANT] {
        let _ = writeln!(text, "[[tenant]]\nname = \"{name}\"");
    }
    service(&mut text, SEARCH, SEARCH_SHARDS, leafs, options);
    service(&mut text, LEDGER, LEDGER_SHARDS, leafs, options);
    text
}

fn service(text: &mut String, name: &'static str, shards: u32, leafs: &[Leaf], options: Options) {
    let canary = options.canary && name == SEARCH;
    let tenants = if name == LEDGER { TENANT } else { "" };
    let tenants = if tenants.is_empty() {
        String::new()
    } else {
        format!("tenants = [\"{tenants}\"]\n")
    };
    let _ = write!(
        text,
        "[[service]]\nname = \"{name}\"\n{tenants}deadline = \"{DEADLINE_MS}ms\"\n\
         canary = {canary}\nslots = 4\nconnections = 25\n\
         cold_start = {{ concurrency = 1, duration = \"300ms\", answers = 5 }}\n\
         shards = {shards}\nserving = \"v1\"\n[[service.version]]\nname = \"v1\"\nleafs = [\n"
    );
    for leaf in leafs.iter().filter(|leaf| leaf.service == name) {
        let Leaf {
            address,
            shard,
            failure_domain,
            ..
        } = leaf;
        let _ = writeln!(
            text,
            "  {{ address = \"{address}\", shard = {shard}, failure_domain = \"{failure_domain}\" }},"
        );
    }
    text.push_str("]\n");
}
