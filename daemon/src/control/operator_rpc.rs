//! The control interface for operators.

use std::collections::BTreeMap;
use std::sync::Arc;

use camphorhold::coordination::control::Input;
use camphorhold::coordination::proposal;
use camphorhold::coordination::proposal::Accepted;
use camphorhold::coordination::proposal::StoreRevision;
use camphorhold::coordination::warmth;
use camphorhold::protocol::control::ApplyAnswer;
use camphorhold::protocol::control::ApplyRequest;
use camphorhold::protocol::control::ControlServer;
use camphorhold::protocol::control::Currency;
use camphorhold::protocol::control::FileAnswer;
use camphorhold::protocol::control::InstanceStatus;
use camphorhold::protocol::control::LeafStatus;
use camphorhold::protocol::control::MAX_STATUS_LEAFS;
use camphorhold::protocol::control::Member;
use camphorhold::protocol::control::OperationAnswer;
use camphorhold::protocol::control::Phase;
use camphorhold::protocol::control::Refusal;
use camphorhold::protocol::control::RolloutStatus;
use camphorhold::protocol::control::RolloutsAnswer;
use camphorhold::protocol::control::ServiceStatus;
use camphorhold::protocol::control::Temperature;
use camphorhold::protocol::control::TimelineAnswer;
use camphorhold::protocol::control::TimelineRequest;
use camphorhold::state::file;
use camphorhold::state::file::File;
use camphorhold::state::id::FailureDomain;
use camphorhold::state::id::Generation;
use camphorhold::state::id::OperationId;
use camphorhold::state::id::Revision;
use camphorhold::state::record::Record;
use camphorhold::state::rollout::Stage;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::time::unix_millis;
use camphorhold::state::view;
use camphorhold::state::view::View;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;

use super::Handle;
use super::store::Store;
use super::thread::Dependencies;
use crate::leaf::Pool;
use crate::timeline::Recorder;

/// Answers the calls of operators.
pub struct OperatorRpc {
    control: Handle,
    store: Store,
    recorder: Arc<Recorder>,
    leafs: Arc<Pool>,
    failure_domain: FailureDomain,
}

/// Creates the control interface for operators.
pub fn methods(dependencies: &Dependencies, handle: &Handle, store: &Store) -> OperatorRpc {
    OperatorRpc {
        control: handle.clone(),
        store: store.clone(),
        recorder: Arc::clone(&dependencies.recorder),
        leafs: Arc::clone(&dependencies.leafs),
        failure_domain: dependencies.settings.failure_domain.clone(),
    }
}

#[async_trait]
impl ControlServer for OperatorRpc {
    async fn apply(&self, request: ApplyRequest) -> RpcResult<ApplyAnswer> {
        let file = match File::try_from(&request) {
            Ok(file) => Arc::new(file),
            Err(error) => return Ok(error.into()),
        };
        let operation = request.operation;
        let before = self.control.view();
        let input = Input::Apply {
            operation,
            text: Arc::from(request.text),
            file,
            expected: request.expected_revision,
        };
        let result = self.control.run_operation(operation, input).await;
        Ok(match result {
            None => ApplyAnswer::NotAccepted {
                reason: Refusal::ShuttingDown,
            },
            Some(Ok(Accepted { generation })) => self.accepted(operation, generation).await,
            Some(Err(error)) => self.not_accepted(error, &before).await,
        })
    }

    async fn operation(&self, operation: OperationId) -> RpcResult<OperationAnswer> {
        Ok(match self.store.read(StoreRevision(0)).await {
            Ok(Some(stored)) => find_operation(&stored.record, operation),
            Ok(None) => OperationAnswer::Absent {
                generation: Generation(0),
                oldest: Generation(0),
            },
            Err(_) => OperationAnswer::Unknown,
        })
    }

    async fn file(&self) -> RpcResult<FileAnswer> {
        let view = self.control.view();
        Ok(FileAnswer {
            revision: view.revision(),
            generation: view.generation(),
            text: view.file_text.as_deref().unwrap_or_default().into(),
        })
    }

    async fn status(&self) -> RpcResult<InstanceStatus> {
        Ok(status(
            &self.control.view(),
            &self.leafs,
            &self.failure_domain,
        ))
    }

    async fn rollouts(&self) -> RpcResult<RolloutsAnswer> {
        Ok(rollouts(&self.control.view()))
    }

    async fn timeline(&self, request: TimelineRequest) -> RpcResult<TimelineAnswer> {
        Ok(self.recorder.page(request))
    }
}

impl OperatorRpc {
    /// Answers an accepted change with the revision of its file; revision 0 if it cannot be read.
    async fn accepted(&self, operation: OperationId, generation: Generation) -> ApplyAnswer {
        // This instance applies the accepted generation at its next read of the store. If its view
        // skips that generation, the revision is taken from the record in the store.
        let applied = self
            .control
            .wait_for(|view| view.generation() >= generation)
            .await;
        let revision = match applied {
            Some(view) if view.generation() == generation => view.revision(),
            _ => match self.store.read(StoreRevision(0)).await {
                Ok(Some(stored)) => match find_operation(&stored.record, operation) {
                    OperationAnswer::Accepted { revision, .. } => revision,
                    _ => Revision(0),
                },
                _ => Revision(0),
            },
        };
        ApplyAnswer::Accepted {
            revision,
            generation,
        }
    }

    async fn not_accepted(&self, error: proposal::Error, before: &View) -> ApplyAnswer {
        let refuse = |reason| ApplyAnswer::NotAccepted { reason };
        match error {
            proposal::Error::StoreUnreachable => refuse(Refusal::StoreUnreachable),
            proposal::Error::NoMajority { .. } => refuse(Refusal::NoMajority),
            proposal::Error::Busy(_) | proposal::Error::StageMismatch => refuse(Refusal::Contended),
            proposal::Error::LostRace { revision, .. } => self.conflict(revision, before).await,
            proposal::Error::RevisionMismatch { found, .. } => self.conflict(found, before).await,
            proposal::Error::Unknown => ApplyAnswer::Unknown {
                base: before.generation(),
            },
        }
    }

    /// Answers a conflict with the differences between the file applied before the operation and the
    /// one of `revision` or later; without differences if either is missing.
    async fn conflict(&self, revision: Revision, before: &View) -> ApplyAnswer {
        let after = self
            .control
            .wait_for(|view| view.revision() >= revision)
            .await;
        let changes = match (&before.file, after.and_then(|view| view.file.clone())) {
            (Some(old), Some(new)) => file::difference(old, &new),
            _ => Vec::new(),
        };
        ApplyAnswer::Conflict {
            revision,
            changes: changes.into_iter().map(Into::into).collect(),
        }
    }
}

/// Looks an operation up among the recent ones in the record.
fn find_operation(record: &Record, operation: OperationId) -> OperationAnswer {
    let found = record
        .operations
        .iter()
        .find(|applied| applied.operation == operation);
    match found {
        Some(applied) => OperationAnswer::Accepted {
            revision: record.file.map_or(Revision(0), |file| file.revision),
            generation: applied.generation,
        },
        None => OperationAnswer::Absent {
            generation: record.generation,
            oldest: record
                .operations
                .first()
                .map_or(record.generation, |applied| applied.generation),
        },
    }
}

fn status(view: &View, leafs: &Pool, failure_domain: &FailureDomain) -> InstanceStatus {
    let now = SystemClock.now();
    let own = |member: &&camphorhold::state::record::Member| member.instance == view.instance;
    let owned = view
        .ownership
        .leafs()
        .filter(|(_, assignment)| assignment.owner == view.instance);
    let mut remaining = MAX_STATUS_LEAFS;
    let mut omitted = 0;
    let services = service_statuses(view, leafs, &mut remaining, &mut omitted);
    InstanceStatus {
        instance: view.instance,
        failure_domain: view.record.roster.iter().find(own).map_or_else(
            || failure_domain.clone(),
            |member| member.failure_domain.clone(),
        ),
        generation: view.generation(),
        revision: view.revision(),
        currency: match view.currency {
            view::Currency::Current => Currency::Store,
            view::Currency::Witnessed => Currency::Witnessed,
            view::Currency::Lost => Currency::Lost,
        },
        ready: view.may_act(now) && view.phase == view::Phase::Member && view.file.is_some(),
        phase: match view.phase {
            view::Phase::Joining => Phase::Starting,
            view::Phase::Member => Phase::Running,
            view::Phase::Leaving => Phase::Releasing,
            view::Phase::Left => Phase::Closed,
        },
        owned_leafs: u32::try_from(owned.count()).unwrap_or(u32::MAX),
        roster: view
            .record
            .roster
            .iter()
            .map(|member| Member {
                instance: member.instance,
                address: member.address,
                failure_domain: member.failure_domain.clone(),
                witness: member.witness,
            })
            .collect(),
        services,
        omitted_leafs: omitted,
    }
}

/// Lists the leafs that this instance has tasks for, by service. Stops listing leafs when
/// `remaining` is zero, and counts the others in `omitted`.
fn service_statuses(
    view: &View,
    leafs: &Pool,
    remaining: &mut usize,
    omitted: &mut u32,
) -> Vec<ServiceStatus> {
    let Some(file) = &view.file else {
        return Vec::new();
    };
    let mut services: BTreeMap<_, ServiceStatus> = BTreeMap::new();
    for (service, version, leaf) in file.leafs() {
        let Some(state) = leafs.state(leaf.id) else {
            continue;
        };
        let status = services
            .entry(service.clone())
            .or_insert_with(|| ServiceStatus {
                service: service.clone(),
                in_flight: 0,
                leafs: Vec::new(),
            });
        status.in_flight += state.in_flight;
        if *remaining == 0 {
            *omitted += 1;
            continue;
        }
        *remaining -= 1;
        status.leafs.push(LeafStatus {
            leaf: leaf.id,
            version: version.clone(),
            shard: leaf.shard,
            failure_domain: leaf.failure_domain.clone(),
            temperature: match state.warmth {
                warmth::State::Unknown => Temperature::Unknown,
                warmth::State::Cold { .. } => Temperature::Cold,
                warmth::State::Ramping { .. } => Temperature::Ramping,
                warmth::State::Warm => Temperature::Warm,
            },
            in_flight: state.in_flight,
            limit: state.limit,
            draining: leaf.leaving
                || view.draining_leafs.contains(&leaf.id)
                || !file.in_service(&leaf.failure_domain),
        });
    }
    services.into_values().collect()
}

fn rollouts(view: &View) -> RolloutsAnswer {
    let listed = view.file.iter().flat_map(|file| &file.rollouts);
    let rollouts = listed.map(|(rollout, config)| RolloutStatus {
        rollout: rollout.clone(),
        services: config.services.clone(),
        from: config.from.clone(),
        to: config.to.clone(),
        deadline_unix_ms: unix_millis(config.deadline),
        stage: view
            .rollout(rollout)
            .cloned()
            .unwrap_or(Stage::Pending)
            .into(),
    });
    RolloutsAnswer {
        generation: view.generation(),
        rollouts: rollouts.collect(),
    }
}
