//! `apply`: makes a file the one in force.
//!
//! The request names the revision that it is to follow and carries an operation id. It is
//! therefore safe to send it again after a lost answer: it can neither take effect twice nor
//! overwrite a change that another operator made meanwhile.

use std::net::SocketAddr;
use std::time::Duration;

use camphorhold::protocol::control::ApplyAnswer;
use camphorhold::protocol::control::ApplyRequest;
use camphorhold::protocol::control::Change;
use camphorhold::protocol::control::ControlClient;
use camphorhold::protocol::control::FileAnswer;
use camphorhold::protocol::control::OperationAnswer;
use camphorhold::state::file::File;
use camphorhold::state::file::Problem;
use camphorhold::state::file::difference;
use camphorhold::state::id::Generation;
use camphorhold::state::id::OperationId;
use camphorhold::state::id::Revision;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use jsonrpsee::core::client::Error as CallError;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::types::error::ErrorCode;
use serde::Serialize;

use crate::arguments::Apply;
use crate::arguments::Global;
use crate::client;
use crate::diagnostic;
use crate::error::Error;
use crate::error::Exit;
use crate::output;

/// The pause before an unknown outcome is looked up again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What the program reports in the end.
#[derive(Debug, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
enum Report {
    /// The file is in force.
    Accepted {
        revision: Revision,
        generation: Generation,
    },
    /// Nothing was changed.
    Rejected {
        reason: String,
        /// What another operator changed meanwhile.
        changes: Vec<Change>,
    },
    /// Whether the file is in force could not be found out.
    Unknown { operation: OperationId },
    /// The file would change this.
    DryRun {
        revision: Revision,
        changes: Vec<Change>,
    },
}

pub async fn run(global: &Global, arguments: &Apply) -> Result<Exit, Error> {
    let (text, file) = diagnostic::read(&arguments.file, global.json)?;
    let read = |client: HttpClient| async move { client.file().await };
    let (address, current) = client::first(&global.instances, read).await?;
    let changes = changes(&current.text, &file);
    if arguments.dry_run {
        return report(global, dry_run(arguments, &current, changes));
    }
    if !global.json {
        output::line(&format!("changes to revision {}:", current.revision))?;
        output::changes(&changes)?;
    }
    let operation = arguments
        .operation
        .unwrap_or_else(|| OperationId(rand::random()));
    let mut attempt = Attempt {
        instances: from(&global.instances, address),
        request: ApplyRequest {
            operation,
            text: text.into(),
            expected_revision: Some(arguments.expect_revision.unwrap_or(current.revision)),
        },
        // An operation of an earlier run may have been sent already.
        doubt: arguments.operation.is_some(),
        base: None,
        problems: Vec::new(),
        before: current.text,
    };
    let result = attempt.run(arguments.resolve_for, global.json).await;
    if !attempt.problems.is_empty() {
        let text = &attempt.request.text;
        diagnostic::print(&arguments.file, text, &attempt.problems, global.json)?;
    }
    report(global, result)
}

/// Returns the addresses, beginning with the one that answered.
fn from(instances: &[SocketAddr], first: SocketAddr) -> Vec<SocketAddr> {
    let others = instances
        .iter()
        .copied()
        .filter(|address| *address != first);
    std::iter::once(first).chain(others).collect()
}

/// Lists the differences to a file. An old text that this program cannot read, for instance of a
/// later release, is not compared.
fn changes(old: &str, new: &File) -> Vec<Change> {
    let Ok(old) = File::parse(old) else {
        return Vec::new();
    };
    let changes = difference(&old, new);
    changes.into_iter().map(Change::from).collect()
}

fn dry_run(arguments: &Apply, current: &FileAnswer, changes: Vec<Change>) -> Report {
    match arguments.expect_revision {
        Some(expected) if expected != current.revision => Report::Rejected {
            reason: format!(
                "the revision in force is {}, not {expected}",
                current.revision
            ),
            changes: Vec::new(),
        },
        _ => Report::DryRun {
            revision: current.revision,
            changes,
        },
    }
}

fn report(global: &Global, report: Report) -> Result<Exit, Error> {
    if global.json {
        output::json(&report)?;
    }
    let (text, changes, exit) = match report {
        Report::Accepted {
            revision,
            generation,
        } => {
            let text = format!("accepted at revision {revision} (generation {generation})");
            (text, Vec::new(), Exit::Done)
        }
        Report::Rejected { reason, changes } => {
            (format!("rejected: {reason}"), changes, Exit::Refused)
        }
        Report::Unknown { operation } => {
            let text = format!(
                "unknown: the file may or may not be in force; run the command again with \
                 --operation {operation}"
            );
            (text, Vec::new(), Exit::Unknown)
        }
        Report::DryRun { revision, changes } => {
            let text = if changes.is_empty() {
                format!("no changes to revision {revision}")
            } else {
                format!("would change revision {revision}:")
            };
            (text, changes, Exit::Done)
        }
    };
    if !global.json {
        output::line(&text)?;
        output::changes(&changes)?;
    }
    Ok(exit)
}

/// One operation, over all its requests.
struct Attempt {
    instances: Vec<SocketAddr>,
    request: ApplyRequest,
    /// Whether a request may have taken effect.
    doubt: bool,
    /// The generation that the operation was to follow, where an instance said so.
    base: Option<Generation>,
    /// What an instance found wrong with the file.
    problems: Vec<Problem>,
    /// The text of the file in force at the begin.
    before: Box<str>,
}

/// What one call showed.
enum Step {
    Final(Report),
    /// Nothing was changed by this call; another instance may do better.
    Next(String),
    /// The call may have taken effect.
    Doubt,
}

impl Attempt {
    async fn run(&mut self, resolve_for: Duration, json: bool) -> Report {
        let begin = SystemClock.now();
        loop {
            let mut reasons = Vec::new();
            for address in self.instances.clone() {
                match self.step(address).await {
                    Step::Final(report) => return report,
                    Step::Next(reason) => reasons.push(format!("{address}: {reason}")),
                    Step::Doubt => self.note_doubt(json),
                }
            }
            if !self.doubt {
                return Report::Rejected {
                    reason: reasons.join("; "),
                    changes: Vec::new(),
                };
            }
            if SystemClock.now().saturating_duration_since(begin) >= resolve_for {
                let operation = self.request.operation;
                return Report::Unknown { operation };
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn note_doubt(&mut self, json: bool) {
        if !self.doubt && !json {
            output::warn("the answer was lost; the outcome is unknown, looking it up");
        }
        self.doubt = true;
    }

    /// Looks the operation up if it may have taken effect, and sends it unless it has or cannot.
    async fn step(&mut self, address: SocketAddr) -> Step {
        let client = match client::connect(address) {
            Ok(client) => client,
            Err(error) => return Step::Next(error.to_string()),
        };
        if self.doubt
            && let Some(step) = self.look_up(&client).await
        {
            return step;
        }
        match client.apply(self.request.clone()).await {
            Ok(answer) => self.judge(&client, answer).await,
            Err(error) if is_definite(&error) => Step::Next(error.to_string()),
            Err(_) => Step::Doubt,
        }
    }

    /// Returns `None` if the operation has not taken effect so far.
    async fn look_up(&self, client: &HttpClient) -> Option<Step> {
        match client.operation(self.request.operation).await {
            Ok(OperationAnswer::Accepted {
                revision,
                generation,
            }) => Some(Step::Final(Report::Accepted {
                revision,
                generation,
            })),
            Ok(OperationAnswer::Absent { generation, oldest }) => {
                let base = self.base?;
                if generation <= base || oldest.0 > base.0 + 1 {
                    return None;
                }
                Some(Step::Final(Report::Rejected {
                    reason: format!("another change became generation {}", base.0 + 1),
                    changes: self.changes_by_others(client).await,
                }))
            }
            Ok(OperationAnswer::Unknown) | Err(_) => Some(Step::Doubt),
        }
    }

    async fn changes_by_others(&self, client: &HttpClient) -> Vec<Change> {
        let Ok(now) = client.file().await else {
            return Vec::new();
        };
        File::parse(&now.text).map_or_else(|_| Vec::new(), |file| changes(&self.before, &file))
    }

    async fn judge(&mut self, client: &HttpClient, answer: ApplyAnswer) -> Step {
        match answer {
            ApplyAnswer::Accepted {
                revision,
                generation,
            } => Step::Final(Report::Accepted {
                revision,
                generation,
            }),
            ApplyAnswer::Conflict { revision, changes } => {
                // The revision may have risen by this very operation.
                if self.doubt
                    && let Some(step) = self.look_up(client).await
                {
                    return step;
                }
                let reason = format!(
                    "another change was accepted meanwhile; the revision in force is {revision}"
                );
                Step::Final(Report::Rejected { reason, changes })
            }
            ApplyAnswer::RejectedProblems { problems } => {
                self.problems = problems.into_iter().map(Problem::from).collect();
                Step::Final(Report::Rejected {
                    reason: "the instance found problems in the file".into(),
                    changes: Vec::new(),
                })
            }
            ApplyAnswer::NotAccepted { reason } => Step::Next(reason.to_string()),
            ApplyAnswer::Unknown { base } => {
                self.base = Some(base);
                Step::Doubt
            }
        }
    }
}

/// Tells whether an error shows that the request was not carried out.
fn is_definite(error: &CallError) -> bool {
    let CallError::Call(error) = error else {
        return false;
    };
    matches!(
        ErrorCode::from(error.code()),
        ErrorCode::ParseError
            | ErrorCode::InvalidRequest
            | ErrorCode::MethodNotFound
            | ErrorCode::InvalidParams
            | ErrorCode::OversizedRequest
    )
}
