//! `apply`: puts a file in force.
//!
//! The request contains an operation id and the revision that the file replaces. It can therefore
//! be sent again after a lost answer: it neither takes effect twice nor overwrites a change that
//! another operator made in the meantime.

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

/// The pause before an unknown outcome is looked up once more.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The final result that the program prints.
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
        /// What another operator has changed in the meantime, if that is the reason.
        changes: Vec<Change>,
    },
    /// The file may or may not be in force.
    Unknown { operation: OperationId },
    /// Nothing was changed. Contains the changes that the file would make to the revision in force.
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
    let mut apply = ApplyOperation {
        instances: starting_with(&global.instances, address),
        request: ApplyRequest {
            operation,
            text: text.into(),
            expected_revision: Some(arguments.expect_revision.unwrap_or(current.revision)),
        },
        // An operation of an earlier run may have been sent already.
        may_have_applied: arguments.operation.is_some(),
        base: None,
        problems: Vec::new(),
        initial_text: current.text,
    };
    let result = apply.run(arguments.resolve_for, global.json).await;
    if !apply.problems.is_empty() {
        let text = &apply.request.text;
        diagnostic::print(&arguments.file, text, &apply.problems, global.json)?;
    }
    report(global, result)
}

/// Returns the addresses, starting with `first`.
fn starting_with(instances: &[SocketAddr], first: SocketAddr) -> Vec<SocketAddr> {
    let others = instances
        .iter()
        .copied()
        .filter(|address| *address != first);
    std::iter::once(first).chain(others).collect()
}

/// Lists the differences between two files. Lists none if this program cannot parse the old text,
/// for instance because a later release wrote it.
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

/// One operation, with all requests that it takes.
struct ApplyOperation {
    instances: Vec<SocketAddr>,
    request: ApplyRequest,
    /// Whether a request with the operation's id may have taken effect.
    may_have_applied: bool,
    /// The generation that the change was based on, if an instance has reported it.
    base: Option<Generation>,
    /// The problems that an instance has found in the file.
    problems: Vec<Problem>,
    /// The text of the file in force when the command started.
    initial_text: Box<str>,
}

/// The result of one call to an instance.
enum Step {
    /// The operation has ended.
    Final(Report),
    /// The call changed nothing, for the given reason. Another instance may accept the change.
    TryNext(String),
    /// The call may have taken effect.
    OutcomeUnknown,
}

impl ApplyOperation {
    async fn run(&mut self, resolve_for: Duration, json: bool) -> Report {
        let started_at = SystemClock.now();
        loop {
            let mut reasons = Vec::new();
            for address in self.instances.clone() {
                match self.step(address).await {
                    Step::Final(report) => return report,
                    Step::TryNext(reason) => reasons.push(format!("{address}: {reason}")),
                    Step::OutcomeUnknown => self.mark_outcome_unknown(json),
                }
            }
            if !self.may_have_applied {
                return Report::Rejected {
                    reason: reasons.join("; "),
                    changes: Vec::new(),
                };
            }
            if SystemClock.now().saturating_duration_since(started_at) >= resolve_for {
                let operation = self.request.operation;
                return Report::Unknown { operation };
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn mark_outcome_unknown(&mut self, json: bool) {
        if !self.may_have_applied && !json {
            output::warn("the outcome of the request is unknown; looking it up");
        }
        self.may_have_applied = true;
    }

    /// Looks the operation up if it may have taken effect. Sends the request unless the look-up
    /// gives a result.
    async fn step(&mut self, address: SocketAddr) -> Step {
        let client = match client::connect(address) {
            Ok(client) => client,
            Err(error) => return Step::TryNext(error.to_string()),
        };
        if self.may_have_applied
            && let Some(step) = self.look_up(&client).await
        {
            return step;
        }
        match client.apply(self.request.clone()).await {
            Ok(answer) => self.handle_answer(&client, answer).await,
            Err(error) if proves_not_executed(&error) => Step::TryNext(error.to_string()),
            Err(_) => Step::OutcomeUnknown,
        }
    }

    /// Looks the operation up. Returns `None` if it has not taken effect, but still may.
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
            Ok(OperationAnswer::Unknown) | Err(_) => Some(Step::OutcomeUnknown),
        }
    }

    async fn changes_by_others(&self, client: &HttpClient) -> Vec<Change> {
        let Ok(now) = client.file().await else {
            return Vec::new();
        };
        File::parse(&now.text)
            .map_or_else(|_| Vec::new(), |file| changes(&self.initial_text, &file))
    }

    async fn handle_answer(&mut self, client: &HttpClient, answer: ApplyAnswer) -> Step {
        match answer {
            ApplyAnswer::Accepted {
                revision,
                generation,
            } => Step::Final(Report::Accepted {
                revision,
                generation,
            }),
            ApplyAnswer::Conflict { revision, changes } => {
                // This operation itself may have raised the revision.
                if self.may_have_applied
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
            ApplyAnswer::NotAccepted { reason } => Step::TryNext(reason.to_string()),
            ApplyAnswer::Unknown { base } => {
                self.base = Some(base);
                Step::OutcomeUnknown
            }
        }
    }
}

/// Returns whether an error proves that the instance did not carry out the request.
fn proves_not_executed(error: &CallError) -> bool {
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
