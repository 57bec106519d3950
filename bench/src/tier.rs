//! Starts the stand-ins and the instances of a tier on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use camphorhold::protocol::control::ApplyAnswer;
use camphorhold::protocol::control::ApplyRequest;
use camphorhold::protocol::control::ControlClient;
use camphorhold::protocol::control::Refusal;
use camphorhold::protocol::control::Temperature;
use camphorhold::state::id::Generation;
use camphorhold::state::id::OperationId;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold_testutils::backend::Change;
use camphorhold_testutils::backend::Counters;
use camphorhold_testutils::client;
use camphorhold_testutils::store;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::File;
use crate::deployment::Ports;
use crate::error::Error;
use crate::instance;
use crate::instance::ADMIN_OFFSET;
use crate::instance::CONDITION_TIMEOUT;
use crate::instance::Instance;
use crate::instance::POLL_INTERVAL;
use crate::instance::PORTS_PER_INSTANCE;
use crate::process::Process;

/// The longest shutdown of an instance that the design permits.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// The settings of a tier.
#[derive(Clone, Debug)]
pub struct Config {
    /// The deployment whose file [`Tier::start`] applies.
    pub deployment: Deployment,
    /// The number of instances.
    pub instances: u16,
    /// The shortest time to serve one leaf call.
    pub service_time: Duration,
    /// The largest random addition to the service time.
    pub jitter: Duration,
    /// The share of leaf calls that take 20 times as long, 0 to 1.
    pub straggler_probability: f64,
    /// The value of the `--baseline` flag of all instances, if any.
    pub baseline: Option<&'static str>,
    /// The seed of the random choices of the backend servers.
    pub seed: u64,
}

/// A running tier. Dropping it kills all its processes.
pub struct Tier {
    /// The instances, in the order of their start.
    pub instances: Vec<Instance>,
    /// The file that was last accepted.
    pub file: File,
    /// The admin address of the stand-in for all backend servers.
    pub backend: SocketAddr,
    /// The address of the stand-in for the key-value service.
    pub store: SocketAddr,
    /// The address of the stand-in for the instance list.
    pub instance_list: SocketAddr,
    standins: Vec<Process>,
    /// The directory of the file and the logs of the processes.
    directory: PathBuf,
}

impl Tier {
    /// Starts the stand-ins and the instances, applies the deployment's file and waits until all
    /// instances are ready.
    pub async fn start(config: &Config) -> Result<Self, Error> {
        Self::start_with(config, |ports| config.deployment.file(ports)).await
    }

    /// Like [`Tier::start`], but with a file from `make_file`, which allocates the leafs' ports.
    pub async fn start_with(
        config: &Config,
        make_file: impl FnOnce(&mut Ports) -> Result<File, Error>,
    ) -> Result<Self, Error> {
        let mut ports = Ports::new();
        let file = make_file(&mut ports)?;
        let directory = run_directory()?;
        let file_path = directory.join("file.toml");
        std::fs::write(&file_path, file.text())?;
        let log = directory.join("standins.log");
        let any_port = || vec!["--listen".to_owned(), "127.0.0.1:0".to_owned()];
        let (store, ready) = Process::spawn_ready("standin-store", &any_port(), &log)?;
        let store_address = address(&ready)?;
        let arguments = backend_arguments(config, &file_path.to_string_lossy());
        let (backend, ready) = Process::spawn_ready("standin-backend", &arguments, &log)?;
        let backend_address = address(&ready)?;
        let (list, ready) = Process::spawn_ready("standin-instances", &any_port(), &log)?;
        let list_address = address(&ready)?;
        let domains = file.domains()?;
        let mut instances = Vec::new();
        for index in 0..config.instances {
            let port = ports.take(PORTS_PER_INSTANCE)?;
            let domain = &domains[usize::from(index) % domains.len()];
            let mut arguments = instance::arguments(port, domain.as_str());
            let more = [
                ("--store", store_address),
                ("--instance-list", list_address),
            ];
            for (flag, address) in more {
                arguments.extend([flag.to_owned(), address.to_string()]);
            }
            if let Some(baseline) = config.baseline {
                arguments.extend(["--baseline".to_owned(), baseline.to_owned()]);
            }
            let log = directory.join(format!("instance-{index}.log"));
            instances.push(Instance::start(arguments, port, log)?);
        }
        let mut tier = Self {
            instances,
            file: file.clone(),
            backend: backend_address,
            store: store_address,
            instance_list: list_address,
            standins: vec![store, backend, list],
            directory,
        };
        tier.set_instance_list(&[]).await?;
        tier.apply(file).await?;
        for instance in &tier.instances {
            instance.wait_until_ready().await?;
        }
        Ok(tier)
    }

    /// Applies a file through the first instance; returns its generation and the time of the
    /// accepting answer. Retries for [`CONDITION_TIMEOUT`] on errors and on refusals that pass.
    pub async fn apply(&mut self, file: File) -> Result<(Generation, Instant), Error> {
        let started = SystemClock.now();
        let request = ApplyRequest {
            operation: OperationId(rand::random()),
            text: file.text().into(),
            expected_revision: None,
        };
        loop {
            let client = self.instances[0].client()?;
            let answer = client.apply(request.clone()).await;
            let may_retry = started.elapsed() < CONDITION_TIMEOUT;
            match answer {
                Ok(ApplyAnswer::Accepted { generation, .. }) => {
                    self.file = file;
                    return Ok((generation, SystemClock.now()));
                }
                Ok(ApplyAnswer::NotAccepted {
                    reason: Refusal::Starting | Refusal::NoMajority | Refusal::Contended,
                })
                | Err(_)
                    if may_retry =>
                {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                Ok(answer) => return Err(Error::NotAccepted(answer)),
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Waits until a generation is in force at every instance; returns the time at which the last
    /// instance reported it.
    pub async fn wait_until_in_force(&self, generation: Generation) -> Result<Instant, Error> {
        let started = SystemClock.now();
        let waits = self.instances.iter().map(|instance| async move {
            while started.elapsed() < CONDITION_TIMEOUT {
                let status = instance.status().await;
                if status.is_ok_and(|status| status.generation >= generation) {
                    return Ok(SystemClock.now());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            let what = "a change to be in force at every instance";
            Err(Error::TimedOut {
                what,
                limit: CONDITION_TIMEOUT,
            })
        });
        let times = futures::future::try_join_all(waits).await?;
        Ok(times.into_iter().max().unwrap_or(started))
    }

    /// Counts the leafs of a service whose owners report them as warm.
    pub async fn warm_leafs(&self, service: &str) -> Result<usize, Error> {
        let mut warm = 0;
        for instance in &self.instances {
            let status = instance.status().await?;
            let services = status.services.iter();
            let leafs = services
                .filter(|listed| listed.service.as_str() == service)
                .flat_map(|listed| &listed.leafs);
            warm += leafs
                .filter(|leaf| leaf.temperature == Temperature::Warm)
                .count();
        }
        Ok(warm)
    }

    /// Returns the index of the first instance that reports a leaf as its own.
    pub async fn owner(&self, leaf: SocketAddr) -> Result<Option<usize>, Error> {
        for (index, instance) in self.instances.iter().enumerate() {
            let status = instance.status().await?;
            let mut leafs = status.services.iter().flat_map(|service| &service.leafs);
            if leafs.any(|listed| listed.leaf.0 == leaf) {
                return Ok(Some(index));
            }
        }
        Ok(None)
    }

    /// Reads the counters of all leafs from the backend servers.
    pub async fn counters(&self) -> Result<Vec<Counters>, Error> {
        let (_, counters) = client::get(self.backend, "/counters").await?;
        Ok(serde_json::from_value(counters)?)
    }

    /// Changes the behaviour or the state of the leafs that match the change.
    pub async fn change_leafs(&self, change: &Change) -> Result<(), Error> {
        client::post(self.backend, "/fault", &serde_json::to_value(change)?).await?;
        Ok(())
    }

    /// Reads the counters of the key-value service.
    pub async fn store_counters(&self) -> Result<store::Counters, Error> {
        let (_, counters) = client::get(self.store, "/counters").await?;
        Ok(serde_json::from_value(counters)?)
    }

    /// Makes the key-value service reset the connection of each request, or ends such an outage.
    pub async fn set_store_outage(&self, outage: bool) -> Result<(), Error> {
        let outage = if outage { "refuse" } else { "off" };
        client::post(self.store, "/fault", &json!({"outage": outage})).await?;
        Ok(())
    }

    /// Replaces the instance list: all instances are live, and the backend servers in `leaving` are
    /// leaving.
    pub async fn set_instance_list(&self, leaving: &[SocketAddr]) -> Result<(), Error> {
        let live = self
            .instances
            .iter()
            .map(|instance| instance.control_address);
        let live = live.map(|address| json!({"address": address, "state": "live"}));
        let leaving = leaving.iter();
        let leaving = leaving.map(|address| json!({"address": address, "state": "leaving"}));
        let entries: Vec<Value> = live.chain(leaving).collect();
        client::post(self.instance_list, "/set", &Value::Array(entries)).await?;
        Ok(())
    }

    /// Starts a balancer in front of all instances; returns the address for callers.
    pub fn start_balancer(&mut self) -> Result<SocketAddr, Error> {
        let mut arguments = vec!["--probe-offset".to_owned(), ADMIN_OFFSET.to_string()];
        for instance in &self.instances {
            arguments.extend(["--instance".to_owned(), instance.caller_address.to_string()]);
        }
        let log = self.directory.join("standins.log");
        let (balancer, ready) = Process::spawn_ready("standin-balancer", &arguments, &log)?;
        self.standins.push(balancer);
        address(&ready)
    }

    /// Returns the addresses of all instances for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let instances = self.instances.iter();
        instances.map(|instance| instance.caller_address).collect()
    }

    /// Sends SIGTERM to all instances and waits until they exit. Fails if one takes longer than
    /// [`SHUTDOWN_TIMEOUT`].
    pub async fn terminate_instances(&mut self) -> Result<(), Error> {
        for instance in &self.instances {
            instance.process.signal(Signal::SIGTERM)?;
        }
        for instance in &mut self.instances {
            instance.process.wait_for_exit(SHUTDOWN_TIMEOUT).await?;
        }
        Ok(())
    }
}

fn backend_arguments(config: &Config, file: &str) -> Vec<String> {
    let time = |time: Duration| {
        humantime::format_duration(time)
            .to_string()
            .replace(' ', "")
    };
    let arguments = [
        ("--file", file.to_owned()),
        ("--service-time", time(config.service_time)),
        ("--jitter", time(config.jitter)),
        (
            "--straggler-probability",
            config.straggler_probability.to_string(),
        ),
        ("--seed", config.seed.to_string()),
    ];
    let arguments = arguments.into_iter();
    arguments
        .flat_map(|(flag, value)| [flag.to_owned(), value])
        .collect()
}

fn run_directory() -> Result<PathBuf, Error> {
    let directory = std::env::current_exe()?.with_file_name("bench-runs");
    let directory = directory.join(std::process::id().to_string());
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}

fn address(ready: &Value) -> Result<SocketAddr, Error> {
    let text = ready["address"].as_str().unwrap_or_default();
    let parsed = text.parse();
    parsed.map_err(|_| Error::NotReady(format!("a stand-in ({ready})")))
}
