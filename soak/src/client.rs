//! A client that nobody controls. It begins requests on several connections at once and finishes none
//! of them but those that no route matches, so that no leaf runs one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The random stream of the client. Callers and faults do not depend on what it draws.
const STREAM: u64 = 3;

/// The range of the number of connections that it holds at the same time.
const CONNECTIONS: std::ops::Range<usize> = 1..16;

/// The ranges of the time for which it holds them and of the pause after it, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 100..1_500;
const PAUSE_MS: std::ops::Range<u64> = 50..500;

/// How much it sends on a connection at most. Less than the limit of bodies and more than the limit of
/// heads in the configuration.
const MAX_BYTES: usize = 60_000;

const HEAD: &str =
    "POST /one/x HTTP/1.1\r\nHost: q.example\r\nX-Camphorhold-Request-Id: unfinished\r\n";

/// A request that no route matches, and how often it is sent without waiting for the answer.
const UNKNOWN: &str =
    "GET /nowhere/ HTTP/1.1\r\nHost: q.example\r\nX-Camphorhold-Request-Id: unknown\r\n\r\n";
const MAX_REPEATS: usize = 2_000;

/// Returns the beginning of a request, or requests behind each other.
fn beginning(random: &mut ChaCha8Rng) -> Vec<u8> {
    let filler = "x".repeat(random.random_range(0..MAX_BYTES));
    match random.random_range(0..6) {
        0 => format!("{HEAD}Content-Length: {MAX_BYTES}\r\n\r\n{filler}"),
        1 => format!(
            "{HEAD}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{filler}",
            filler.len() + 1
        ),
        2 => {
            let chunks = "1\r\nx\r\n".repeat(random.random_range(0..1_000));
            format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n{chunks}")
        }
        3 => format!("{HEAD}X-Filler: {filler}"),
        4 => UNKNOWN.repeat(random.random_range(0..MAX_REPEATS)),
        _ => String::new(),
    }
    .into_bytes()
}

/// Begins requests at random instances, until the task is aborted. Each one is held, and its
/// connection closed.
pub(crate) async fn run(seed: u64, instances: Rc<[SocketAddr]>) -> std::convert::Infallible {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(STREAM);
    loop {
        let instance = instances[random.random_range(0..instances.len())];
        let mut connections = JoinSet::new();
        for _ in 0..random.random_range(CONNECTIONS) {
            let bytes = beginning(&mut random);
            connections.spawn_local(async move {
                // Instances that are down refuse the connection, and others may close it.
                if let Ok(mut stream) = TcpStream::connect(instance).await {
                    let _ = stream.write_all(&bytes).await;
                    std::future::pending::<()>().await;
                }
            });
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(HOLD_MS))).await;
        drop(connections);
        tokio::time::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
    }
}
