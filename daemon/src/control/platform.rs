//! Reads the platform's list of live and leaving instances and backend servers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use camphorhold::coordination::control::Input;
use camphorhold::coordination::gossip::Fact;
use camphorhold::state::id::LeafId;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use super::Handle;

/// The time between two reads. The list itself lags by more than that.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// How long one read of the list may take.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest list that can be read, in bytes. Leaves room for 11,000 entries of about 60 bytes.
const MAX_LIST_BYTES: usize = 1024 * 1024;

#[derive(Deserialize)]
struct Entry {
    address: SocketAddr,
    state: State,
}

#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
enum State {
    Live,
    Leaving,
}

/// Reads the list every [`READ_INTERVAL`] and reports it to the control thread. Never returns.
pub async fn watch(list: SocketAddr, control: Handle) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    loop {
        match tokio::time::timeout(READ_TIMEOUT, read(&client, list)).await {
            Ok(Some(entries)) => report(&entries, &control),
            _ => log::debug!("cannot read the instance list; trying again at the next interval"),
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

async fn read(
    client: &Client<HttpConnector, Empty<Bytes>>,
    list: SocketAddr,
) -> Option<Vec<Entry>> {
    let uri = format!("http://{list}/instances").parse().ok()?;
    let response = client.get(uri).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

/// Reports all listed addresses, and the leafs that the platform lists as leaving.
fn report(entries: &[Entry], control: &Handle) {
    let listed: BTreeSet<SocketAddr> = entries.iter().map(|entry| entry.address).collect();
    control.input(Input::InstanceList(listed));
    let view = control.view();
    let Some(file) = &view.file else { return };
    for (_, _, leaf) in file.leafs() {
        let leaving = |entry: &&Entry| entry.state == State::Leaving;
        let mut leaving = entries.iter().filter(leaving);
        if leaving.any(|entry| LeafId(entry.address) == leaf.id) {
            control.input(Input::FactObserved(Fact::Drain { leaf: leaf.id }));
        }
    }
}
