//! A stand-in for the control interface of an instance, and helpers that run the program against
//! it.

#![allow(dead_code, reason = "not every test file uses every part")]

use std::collections::BTreeMap;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use camphorhold::protocol::control::ApplyAnswer;
use camphorhold::protocol::control::ApplyRequest;
use camphorhold::protocol::control::Change;
use camphorhold::protocol::control::ControlServer;
use camphorhold::protocol::control::FileAnswer;
use camphorhold::protocol::control::InstanceStatus;
use camphorhold::protocol::control::OperationAnswer;
use camphorhold::protocol::control::Refusal;
use camphorhold::protocol::control::RolloutsAnswer;
use camphorhold::protocol::control::TimelineAnswer;
use camphorhold::protocol::control::TimelineRequest;
use camphorhold::state::event::Ring;
use camphorhold::state::file::File;
use camphorhold::state::file::difference;
use camphorhold::state::id::Generation;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::OperationId;
use camphorhold::state::id::Revision;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::Server;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

pub const FILE: &str = r#"system = "almisse"
objective = "coverage"

[[failure_domain]]
name = "a"

[[service]]
name = "roster"
deadline = "120ms"
slots = 2
connections = 25
partition = 1
shards = 1
serving = "v1"

[[service.version]]
name = "v1"

[[service.version.leafs]]
address = "10.0.0.1:7001"
shard = 0
failure_domain = "a"
"#;

/// What the stand-in does with the next request to apply a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Script {
    /// Answers that the change was not accepted, and changes nothing.
    Refuse(Refusal),
    /// Applies the file at once, but answers that the outcome is unknown.
    ApplyUnknown,
    /// Drops the change, and answers that the outcome is unknown.
    DropUnknown,
    /// Answers that the outcome is unknown, and applies the file only when the next request
    /// arrives.
    ApplyLate,
    /// Drops the change, accepts one of another operator instead, and answers that the outcome is
    /// unknown.
    DropForOther,
}

/// The control record, which several stand-ins can share.
#[derive(Debug)]
pub struct State {
    pub revision: u64,
    pub generation: u64,
    pub files: BTreeMap<u64, String>,
    pub operations: BTreeMap<OperationId, (u64, u64)>,
    /// How many changes of the program under test have taken effect.
    pub applied: usize,
    /// How the next requests to apply a file are handled; later ones succeed.
    pub script: Vec<Script>,
    /// All requests to apply a file, in the order of their arrival.
    pub requests: Vec<ApplyRequest>,
    /// A change that takes effect when the next request arrives.
    pub late: Option<ApplyRequest>,
    /// Whether the key-value service cannot be read.
    pub store_down: bool,
}

impl State {
    fn accept(&mut self, text: &str, operation: OperationId) -> (u64, u64) {
        self.revision += 1;
        self.generation += 1;
        self.applied += 1;
        self.files.insert(self.revision, text.into());
        self.operations
            .insert(operation, (self.revision, self.generation));
        (self.revision, self.generation)
    }

    /// Accepts a change of another operator.
    pub fn other_change(&mut self) {
        let text = self.files[&self.revision].replace("slots = 2", "slots = 3");
        self.accept(&text, OperationId(1));
        self.applied -= 1;
    }
}

/// A stand-in for one instance. Clones share the control record and the events.
#[derive(Clone)]
pub struct Instance {
    pub state: Arc<Mutex<State>>,
    pub ring: Arc<Mutex<Ring>>,
    pub id: InstanceId,
    pub status: Option<InstanceStatus>,
    pub rollouts: RolloutsAnswer,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Instance {
    pub fn new(id: u64) -> Self {
        let state = State {
            revision: 4,
            generation: 9,
            files: BTreeMap::from([(4, FILE.into())]),
            operations: BTreeMap::new(),
            applied: 0,
            script: Vec::new(),
            requests: Vec::new(),
            late: None,
            store_down: false,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            ring: Arc::new(Mutex::new(Ring::new(1_000))),
            id: InstanceId(id),
            status: None,
            rollouts: RolloutsAnswer {
                generation: Generation(9),
                rollouts: Vec::new(),
            },
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    pub fn push(&self, event: camphorhold::state::event::Event) {
        lock(&self.ring).push(event);
    }

    /// Serves the control interface until the runtime ends. Returns its address.
    pub async fn serve(self) -> SocketAddr {
        let server = Server::builder()
            .build("127.0.0.1:0")
            .await
            .expect("a free port");
        let address = server.local_addr().expect("bound");
        let handle = server.start(self.into_rpc());
        tokio::spawn(handle.stopped());
        address
    }
}

#[async_trait]
impl ControlServer for Instance {
    async fn apply(&self, request: ApplyRequest) -> RpcResult<ApplyAnswer> {
        let mut state = self.state();
        if let Some(late) = state.late.take() {
            state.accept(&late.text, late.operation);
        }
        state.requests.push(request.clone());
        let base = Generation(state.generation);
        if let Some((revision, generation)) = state.operations.get(&request.operation) {
            return Ok(ApplyAnswer::Accepted {
                revision: Revision(*revision),
                generation: Generation(*generation),
            });
        }
        if state.store_down {
            return Ok(ApplyAnswer::NotAccepted {
                reason: Refusal::StoreUnreachable,
            });
        }
        if let Err(error) = File::try_from(&request) {
            return Ok(error.into());
        }
        if let Some(expected) = request.expected_revision
            && expected.0 != state.revision
        {
            let old = File::parse(&state.files[&expected.0]).expect("valid");
            let new = File::parse(&state.files[&state.revision]).expect("valid");
            return Ok(ApplyAnswer::Conflict {
                revision: Revision(state.revision),
                changes: difference(&old, &new)
                    .into_iter()
                    .map(Change::from)
                    .collect(),
            });
        }
        let script = if state.script.is_empty() {
            None
        } else {
            Some(state.script.remove(0))
        };
        match script {
            Some(Script::Refuse(reason)) => Ok(ApplyAnswer::NotAccepted { reason }),
            Some(Script::DropUnknown) => Ok(ApplyAnswer::Unknown { base }),
            Some(Script::ApplyLate) => {
                state.late = Some(request);
                Ok(ApplyAnswer::Unknown { base })
            }
            Some(Script::DropForOther) => {
                state.other_change();
                Ok(ApplyAnswer::Unknown { base })
            }
            Some(Script::ApplyUnknown) => {
                state.accept(&request.text, request.operation);
                Ok(ApplyAnswer::Unknown { base })
            }
            None => {
                let (revision, generation) = state.accept(&request.text, request.operation);
                Ok(ApplyAnswer::Accepted {
                    revision: Revision(revision),
                    generation: Generation(generation),
                })
            }
        }
    }

    async fn operation(&self, operation: OperationId) -> RpcResult<OperationAnswer> {
        let state = self.state();
        if state.store_down {
            return Ok(OperationAnswer::Unknown);
        }
        Ok(match state.operations.get(&operation) {
            Some((revision, generation)) => OperationAnswer::Accepted {
                revision: Revision(*revision),
                generation: Generation(*generation),
            },
            None => OperationAnswer::Absent {
                generation: Generation(state.generation),
                oldest: Generation(1),
            },
        })
    }

    async fn file(&self) -> RpcResult<FileAnswer> {
        let state = self.state();
        Ok(FileAnswer {
            revision: Revision(state.revision),
            generation: Generation(state.generation),
            text: state.files[&state.revision].as_str().into(),
        })
    }

    async fn status(&self) -> RpcResult<InstanceStatus> {
        let status = self.status.clone();
        status.ok_or_else(|| jsonrpsee::types::ErrorCode::MethodNotFound.into())
    }

    async fn rollouts(&self) -> RpcResult<RolloutsAnswer> {
        Ok(self.rollouts.clone())
    }

    async fn timeline(&self, request: TimelineRequest) -> RpcResult<TimelineAnswer> {
        Ok(request.answer(self.id, &lock(&self.ring)))
    }
}

/// Starts a proxy that forwards connections to `target`. It closes the first `losses` connections
/// that contain a request to apply a file when the answer arrives, and does not forward the answer.
pub async fn lossy_proxy(target: SocketAddr, losses: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let losses = Arc::new(AtomicUsize::new(losses));
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(forward(client, target, Arc::clone(&losses)));
        }
    });
    address
}

async fn forward(mut client: TcpStream, target: SocketAddr, losses: Arc<AtomicUsize>) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let (mut from_client, mut from_server) = ([0; 8_192], [0; 8_192]);
    let mut apply = false;
    loop {
        tokio::select! {
            read = client.read(&mut from_client) => match read {
                Ok(length) if length > 0 => {
                    let text = String::from_utf8_lossy(&from_client[..length]);
                    apply |= text.contains("control_apply");
                    if server.write_all(&from_client[..length]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
            read = server.read(&mut from_server) => match read {
                Ok(length) if length > 0 => {
                    let left = losses.load(Ordering::SeqCst);
                    if apply && left > 0 {
                        losses.store(left - 1, Ordering::SeqCst);
                        return;
                    }
                    if client.write_all(&from_server[..length]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
        }
    }
}

/// The exit code and the output of one run of the program.
pub struct Output {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

/// Runs the program on a blocking thread, so that the stand-ins can answer it.
pub async fn run(arguments: &[&str]) -> Output {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let run = move || {
        Command::new(env!("CARGO_BIN_EXE_camphorhold"))
            .args(arguments)
            .env_remove("CAMPHORHOLD_INSTANCES")
            .env_remove("CAMPHORHOLD_ENTRIES")
            .env_remove("COLUMNS")
            .output()
            .expect("the program starts")
    };
    let output = tokio::task::spawn_blocking(run).await.expect("no panic");
    Output {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Writes a temporary file for the program to read. It is deleted when the result is dropped.
pub fn file(text: &str) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file");
    file.write_all(text.as_bytes()).expect("written");
    file
}

/// Returns the path of a temporary file as text.
pub fn path(file: &tempfile::NamedTempFile) -> &str {
    file.path().to_str().expect("a path in UTF-8")
}

/// An address that refuses connections: port 1 is reserved, and no process listens on it.
pub const CLOSED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
