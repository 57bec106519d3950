//! Records what an instance sends to other instances and writes to the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use camphorhold_testutils::platform::leaf::Behaviour;
use camphorhold_testutils::platform::leaf::Leaf;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;

use super::Instance;
use super::Platform;
use super::wait_until;

pub const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];

/// The prefix of the keys of crash records.
pub const CRASHES: &str = "camphorhold/crashes/";

/// The headers of messages between instances begin like this.
const OWN_PREFIX: &str = "camphorhold-";

/// The first protocols whose instances send each other datagrams, and challenges among them.
const FIRST_WITH_DATAGRAMS: u64 = 3;
const FIRST_WITH_CHALLENGES: u64 = 4;

/// A challenge of the peer, which instances answer.
const CHALLENGE: &[u8] = br#"{"kind":"challenge","challenge":1}"#;

/// The revocation time for which instances exchange challenges.
const REVOCATION_TIME: Duration = Duration::from_secs(1);

/// The time within which notices are sent after a claim, by releases that send them.
const NOTICE_TIME: Duration = Duration::from_millis(400);

/// A message between instances. Only the headers of the project's own are kept.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// The status of an answer; 0 for a request.
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Message {
    fn parse(head: &str, body: &[u8]) -> Self {
        let mut lines = head.lines();
        let first = lines.next().unwrap_or_default();
        let status = first.strip_prefix("HTTP/1.1 ").unwrap_or_default();
        let headers = lines.filter_map(|line| line.split_once(": "));
        Self {
            status: status
                .get(..3)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            headers: headers
                .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
                .filter(|(name, _)| name.starts_with(OWN_PREFIX))
                .collect(),
            body: String::from_utf8_lossy(body).into_owned(),
        }
    }
}

impl Message {
    /// Returns the message as it is sent, after its first lines.
    fn to_text(&self, first_lines: &str) -> String {
        let headers = self.headers.iter();
        let headers: Vec<String> = headers
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let (headers, length, body) = (headers.concat(), self.body.len(), &self.body);
        format!("{first_lines}{headers}content-length: {length}\r\n\r\n{body}")
    }
}

/// The messages and items of one release.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Recording {
    pub registration: Value,
    pub crash_record: Value,
    pub handover_request: Message,
    pub handover_answer: Message,
    pub relay_request: Message,
    pub relay_refusal: Message,
    pub token_claims: Value,
    pub token_grants: Value,
    /// Absent in releases without notices.
    pub notices: Option<Value>,
    /// The datagrams by their kind; none in releases without them.
    #[serde(default)]
    pub datagrams: BTreeMap<String, Value>,
}

/// Another instance: takes nothing over, and keeps what it is sent.
#[derive(Clone)]
pub struct Peer {
    pub address: SocketAddr,
    messages: Arc<Mutex<Vec<Message>>>,
    datagrams: Arc<Mutex<Vec<Vec<u8>>>>,
    // The answer to handovers, instead of a refusal.
    answer: Arc<Mutex<Option<Message>>>,
}

impl Peer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let socket = UdpSocket::bind(address).await.unwrap();
        let peer = Self {
            address,
            messages: Arc::default(),
            datagrams: Arc::default(),
            answer: Arc::default(),
        };
        tokio::spawn(peer.clone().serve(listener));
        tokio::spawn(peer.clone().receive(socket));
        peer
    }

    /// Answers handovers with this message from now on.
    pub fn set_answer(&self, answer: Message) {
        *self.answer.lock().unwrap_or_else(PoisonError::into_inner) = Some(answer);
    }

    /// Registers it in the store as an instance of a failure domain.
    pub fn register(&self, platform: &Platform, domain: &str, registration: &Value) {
        self.register_as(platform, "peer", domain, registration);
    }

    /// Registers it as [`Self::register`] does, under this name.
    pub fn register_as(&self, platform: &Platform, name: &str, domain: &str, registration: &Value) {
        let mut registration = registration.clone();
        registration["domain"] = domain.into();
        registration["address"] = self.address.to_string().into();
        let key = format!("camphorhold/instances/{name}");
        platform.store.put(&key, &registration);
    }

    pub fn datagrams(&self) -> Vec<Vec<u8>> {
        let datagrams = self.datagrams.lock();
        datagrams.unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn receive(self, socket: UdpSocket) {
        let mut buffer = [0; 2_048];
        while let Ok((length, sender)) = socket.recv_from(&mut buffer).await {
            let value: Value = serde_json::from_slice(&buffer[..length]).unwrap_or_default();
            if value["kind"] == "challenge" {
                // One that gets lost is sent again at the next challenge.
                let _ = socket.send_to(CHALLENGE, sender).await;
            }
            self.datagrams
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(buffer[..length].to_vec());
        }
    }

    pub fn messages(&self) -> Vec<Message> {
        let messages = self.messages.lock();
        messages.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn find<F>(&self, wanted: F) -> Option<Message>
    where
        F: Fn(&Message) -> bool,
    {
        self.messages().into_iter().find(wanted)
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let peer = self.clone();
            tokio::spawn(async move { peer.serve_connection(stream).await });
        }
    }

    async fn serve_connection(self, mut stream: TcpStream) -> Option<()> {
        loop {
            let (head, body) = read_message(&mut stream).await?;
            let message = Message::parse(&head, &body);
            let claims: Value = serde_json::from_slice(&body).unwrap_or_default();
            let granted = claims["claims"]
                .as_array()
                .map(|claims| vec![0; claims.len()]);
            self.messages
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(message.clone());
            let canned = self
                .answer
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            let is_handover = message.headers.contains_key("camphorhold-handover");
            let answer = match (granted, canned) {
                (Some(granted), _) => Message {
                    status: 200,
                    body: json!({ "granted": granted }).to_string(),
                    ..Message::default()
                },
                (None, Some(canned)) if is_handover => canned,
                (None, _) => Message {
                    status: 409,
                    ..Message::default()
                },
            };
            let first = format!("HTTP/1.1 {} X\r\n", answer.status);
            let text = answer.to_text(&first);
            stream.write_all(text.as_bytes()).await.ok()?;
        }
    }
}

async fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.parse().ok())?
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some((head, body))
}

/// Sends a request on a connection of its own and returns the answer.
async fn exchange(address: SocketAddr, method: &str, path: &str, message: &Message) -> Message {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = message.to_text(&format!(
        "{method} {path} HTTP/1.1\r\nhost: q.example\r\nx-camphorhold-request-id: r1\r\n\
         x-camphorhold-deadline-ms: 1000\r\n"
    ));
    stream.write_all(text.as_bytes()).await.unwrap();
    let (head, body) = read_message(&mut stream).await.unwrap();
    Message::parse(&head, &body)
}

/// Sends a message of another instance to an instance and returns its answer.
pub async fn send_to(instance: &Instance, path: &str, message: &Message) -> Message {
    let is_claim = message.headers.contains_key("camphorhold-token-claims");
    let method = if is_claim { "POST" } else { "GET" };
    exchange(instance.peer_address(), method, path, message).await
}

/// Runs an instance of a release and records one message and item of each kind.
pub async fn record(program: &Path) -> Recording {
    let leafs: Vec<(&str, &str)> = SHARDS.iter().map(|shard| (*shard, "b")).collect();
    let platform = Platform::start(&leafs).await;
    let peer = Peer::start().await;
    peer.register(
        &platform,
        "b",
        &json!({ "capacity": 1.0, "protocol": u32::MAX }),
    );
    let mut instance = Instance::start_program(&platform, program, "1", "a").await;

    let handover = |message: &Message| message.headers.contains_key("camphorhold-handover");
    wait_until("shards are handed over", || async {
        instance.send("r1", "/all/x").await.unwrap();
        peer.find(handover).is_some()
    })
    .await;
    let handover_request = peer.find(handover).unwrap();
    let handover_answer = send_to(&instance, "/all/x", &handover_request).await;

    let wrong_version = Message {
        headers: [("camphorhold-relay".to_owned(), "999".to_owned())].into(),
        ..Message::default()
    };
    let relay_refusal = send_to(&instance, "/one/x", &wrong_version).await;

    for leaf in &platform.leafs {
        leaf.set_behaviour(Behaviour::Answer);
        leaf.set_poison(Some("/once/bad"));
    }
    wait_until("a crash is recorded", || async {
        instance.send("bad", "/once/bad").await.unwrap();
        platform.store.count(CRASHES) > 0
    })
    .await;
    let crash_record = platform.store.items(CRASHES).remove(0).1;

    let relay = |message: &Message| message.headers.contains_key("camphorhold-relay");
    wait_until("a request is relayed", || async {
        platform.leafs.iter().for_each(Leaf::crash);
        instance.send("r2", "/all/x").await.unwrap();
        peer.find(relay).is_some()
    })
    .await;
    wait_until("leafs are reached again", || async {
        instance.gauge("camphorhold_cut_off").await == 0.0
    })
    .await;
    platform.leafs[0].set_limit(Some(1.0));
    let claim = |message: &Message| message.body.contains("\"wanted\"");
    wait_until("tokens are claimed", || async {
        instance.send("r1", "/one/x").await.unwrap();
        peer.find(claim).is_some()
    })
    .await;
    let token_claims = peer.find(claim).unwrap();
    let token_grants = send_to(&instance, "/camphorhold/token-claims", &token_claims).await;
    let notices = |message: &Message| message.body.contains("\"notices\"");
    tokio::time::sleep(NOTICE_TIME).await;
    let notices = peer.find(notices);

    let registration = platform.store.items("camphorhold/instances/1").remove(0).1;
    let parse = |bytes: &[u8]| serde_json::from_slice::<Value>(bytes).unwrap();
    let registration = parse(&registration);
    let datagrams = || -> BTreeMap<String, Value> {
        let datagrams = peer.datagrams();
        let datagrams = datagrams.iter().map(|datagram| parse(datagram));
        let by_kind = datagrams.filter_map(|datagram| {
            let kind = datagram["kind"].as_str()?.to_owned();
            Some((kind, datagram))
        });
        by_kind.collect()
    };
    let protocol = registration["protocol"].as_u64();
    if protocol >= Some(FIRST_WITH_CHALLENGES) {
        instance.set_revocation(REVOCATION_TIME).await;
    }
    let mut kinds = Vec::new();
    if protocol >= Some(FIRST_WITH_DATAGRAMS) {
        kinds.extend(["alarm", "confirmation"]);
    }
    if protocol >= Some(FIRST_WITH_CHALLENGES) {
        kinds.extend(["challenge", "challenge_answer"]);
    }
    kinds.sort_unstable();
    wait_until("datagrams of all kinds are sent", || async {
        datagrams().keys().eq(&kinds)
    })
    .await;
    Recording {
        registration,
        crash_record: parse(&crash_record),
        handover_request,
        handover_answer,
        relay_request: peer.find(relay).unwrap(),
        relay_refusal,
        token_claims: parse(token_claims.body.as_bytes()),
        token_grants: parse(token_grants.body.as_bytes()),
        notices: notices.map(|message| parse(message.body.as_bytes())),
        datagrams: datagrams(),
    }
}
