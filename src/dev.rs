//! A small complete deployment in one process on loopback, for trials and tests.

pub mod caller;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use fulmarpath_cluster::{Change, Safeguard};
use fulmarpath_settings::{
    Declarations, HostSettings, LogFormat, Model, Organisation, Preset, Service, ServiceKind,
    key_hash,
};
use fulmarpath_standin::{
    EngineSpec, StandinEngine, StandinHostList, StandinObjectApi, StandinPlain,
};
use fulmarpath_store::{HostEntry, ListedState, Role};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use crate::host::{Host, HostError};

/// Caller key of the first organisation in [`declarations`].
pub const CALLER_KEY: &str = "dev-caller";
/// Caller key of the second organisation.
pub const OTHER_CALLER_KEY: &str = "dev-rival";
/// Operator key of a [`Deployment`].
pub const OPERATOR_KEY: &str = "dev-operator";

/// Model that all engines serve.
const MODEL: &str = "drafts";
const DATA_CENTRES: [&str; 3] = ["zrh-a", "zrh-b", "zrh-c"];
const READY_TIMEOUT: Duration = Duration::from_millis(15_000);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The size and the settings of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentSpec {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of engines.
    pub engines: usize,
    /// Capacity and timing of each engine.
    pub engine: EngineSpec,
    /// Time in milliseconds without data after which a stream is resumed.
    pub silence_bound_ms: u64,
    /// Limit of concurrent open requests on a host.
    pub stream_limit: usize,
    /// A safeguard that is disabled on all hosts.
    pub disabled_safeguard: Option<Safeguard>,
}

impl Default for DeploymentSpec {
    fn default() -> Self {
        Self {
            hosts: 3,
            engines: 4,
            engine: EngineSpec::default(),
            silence_bound_ms: 1_000,
            stream_limit: 4_096,
            disabled_safeguard: None,
        }
    }
}

/// A deployment could not start.
#[derive(Debug, thiserror::Error)]
pub enum DevError {
    /// Binding to a loopback port failed.
    #[error("could not listen on loopback")]
    Listen(#[from] std::io::Error),
    /// A host could not start.
    #[error("could not start a host")]
    Host(#[from] HostError),
    /// The declarations were not accepted.
    #[error("could not apply the declarations")]
    Apply(#[from] fulmarpath_cluster::PublishError),
    /// The hosts were not ready within 15 s.
    #[error("could not get all hosts ready within 15 s")]
    NotReady,
}

/// A host on its own runtime, so that all of its tasks can be killed at once.
struct RunningHost {
    host: Host,
    runtime: Runtime,
}

/// A deployment of hosts and stand-ins.
pub struct Deployment {
    hosts: Vec<Option<RunningHost>>,
    /// The engines.
    pub engines: Vec<StandinEngine>,
    /// The plain service `lookup`.
    pub plain: StandinPlain,
    /// The object API.
    pub object_api: StandinObjectApi,
    /// The host list.
    pub host_list: StandinHostList,
    spec: DeploymentSpec,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for host in 0..self.hosts.len() {
            self.kill(host);
        }
    }
}

async fn bind_loopback() -> std::io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await
}

impl Deployment {
    /// Starts all stand-ins and hosts and applies [`declarations`].
    ///
    /// # Errors
    /// [`DevError`]
    pub async fn start(spec: DeploymentSpec) -> Result<Self, DevError> {
        let object_api = StandinObjectApi::start(bind_loopback().await?)?;
        let host_list = StandinHostList::start(bind_loopback().await?)?;
        let plain = StandinPlain::start(bind_loopback().await?)?;
        host_list.put(entry("lookup-1", Role::Plain, 0, "lookup", plain.address));
        let mut engines = Vec::new();
        for number in 0..spec.engines {
            let engine = StandinEngine::start(bind_loopback().await?, spec.engine)?;
            let name = format!("engine-{number}");
            let listed = entry(&name, Role::Engine, number, MODEL, engine.address);
            host_list.put(listed);
            engines.push(engine);
        }
        let mut deployment = Self {
            hosts: Vec::new(),
            engines,
            plain,
            object_api,
            host_list,
            spec,
        };
        for _ in 0..spec.hosts {
            deployment.add_host().await?;
        }
        let change = Change::Apply {
            declarations: Box::new(declarations()),
            onto: None,
        };
        if let Some(host) = deployment.running_hosts().next() {
            host.node.publish(&change).await?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Starts one more host, adds it to the host list and returns its index.
    ///
    /// # Errors
    /// [`DevError`]
    pub async fn add_host(&mut self) -> Result<usize, DevError> {
        let number = self.hosts.len();
        let name = format!("host-{number}");
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let settings = self.host_settings(number, &name);
        let disabled_safeguard = self.spec.disabled_safeguard;
        let start =
            async move { Host::start_with_safeguard_disabled(&settings, disabled_safeguard).await };
        let host = runtime
            .spawn(start)
            .await
            .map_err(|_| DevError::NotReady)??;
        let listed = entry(&name, Role::Entry, number, "", host.peer_address);
        self.host_list.put(listed);
        self.hosts.push(Some(RunningHost { host, runtime }));
        Ok(number)
    }

    /// Simulates a crash of a host: its connections close and its state is lost.
    pub fn kill(&mut self, host: usize) {
        if let Some(running) = self.hosts[host].take() {
            running.runtime.shutdown_background();
        }
    }

    /// Shuts a host down gracefully and returns how many generations were interrupted.
    pub async fn stop(&mut self, host: usize) -> usize {
        let Some(running) = self.hosts[host].take() else {
            return 0;
        };
        let RunningHost { host, runtime } = running;
        let stop = async move { host.stop(std::future::pending()).await };
        let stopped = runtime.spawn(stop).await;
        runtime.shutdown_background();
        stopped.map_or(0, |stopped| stopped.interrupted)
    }

    fn host_settings(&self, number: usize, name: &str) -> HostSettings {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        HostSettings {
            host: name.to_owned(),
            data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].to_owned(),
            caller_address: any_port,
            peer_address: any_port,
            object_api_address: self.object_api.address,
            host_list_address: self.host_list.address,
            linger_ms: 200,
            drain_bound_ms: 30_000,
            silence_bound_ms: self.spec.silence_bound_ms,
            plain_bound_ms: 1_500,
            header_limit_bytes: 16_384,
            body_limit_bytes: 1_048_576,
            stream_limit: self.spec.stream_limit,
            operator_key_sha256: key_hash(OPERATOR_KEY),
            otlp_address: None,
            log_form: LogFormat::Text,
        }
    }

    /// The hosts that were neither stopped nor killed.
    pub fn running_hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().flatten().map(|running| &running.host)
    }

    /// Number of hosts started so far, including those that were stopped.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// The host with this index.
    ///
    /// # Panics
    /// If that host was stopped.
    pub fn host(&self, host: usize) -> &Host {
        let running = self.hosts[host].as_ref();
        &running.expect("the host runs").host
    }

    /// Address of a host for callers.
    ///
    /// # Panics
    /// If that host was stopped.
    pub fn caller_address(&self, host: usize) -> SocketAddr {
        self.host(host).caller_address
    }

    /// Waits until every running host knows all others and accepts work.
    ///
    /// # Errors
    /// [`DevError::NotReady`]
    pub async fn wait_until_ready(&self) -> Result<(), DevError> {
        let expected = self.running_hosts().count();
        let all_ready = async {
            loop {
                let ready = self
                    .running_hosts()
                    .all(|host| host.node.takes_work() && host.node.member_count() >= expected);
                if ready {
                    return;
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(READY_TIMEOUT, all_ready).await;
        waited.map_err(|_| DevError::NotReady)
    }
}

fn entry(name: &str, role: Role, number: usize, serves: &str, address: SocketAddr) -> HostEntry {
    HostEntry {
        name: name.to_owned(),
        role,
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].to_owned(),
        serves: serves.to_owned(),
        address,
        state: ListedState::Live,
    }
}

/// Declarations of two organisations, two generation services and one plain service.
pub fn declarations() -> Declarations {
    let organisation = |name: &str, key: &str, weight| Organisation {
        name: name.to_owned(),
        key_sha256: vec![key_hash(key)],
        weight,
        requests_per_s: 500.0,
        concurrent_requests: 500,
    };
    let generation = |name: &str, output_limit_tokens| Service {
        name: name.to_owned(),
        kind: ServiceKind::Generation {
            model: MODEL.to_owned(),
            output_limit_tokens,
            prompt_limit_tokens: 16_000,
        },
    };
    let preset = |name: &str, closed_services: &[&str]| Preset {
        name: name.to_owned(),
        refuse_after_ms: 10_000,
        stall_weight: 2.0,
        preemptions_weight: 1.0,
        between_tokens_weight: 1.0,
        lend_share: 0.95,
        closed_services: closed_services.iter().map(|&name| name.into()).collect(),
        closed_data_centres: Vec::new(),
    };
    Declarations {
        organisations: vec![
            organisation("inspectors", CALLER_KEY, 2.0),
            organisation("rivals", OTHER_CALLER_KEY, 1.0),
        ],
        services: vec![
            generation("reports", caller::OUTPUT_LIMIT_TOKENS),
            generation("classifications", 200),
            Service {
                name: "lookup".to_owned(),
                kind: ServiceKind::Plain {
                    repeatable_methods: vec!["GET".to_owned()],
                },
            },
        ],
        models: vec![Model {
            name: MODEL.to_owned(),
            version: "1".to_owned(),
            memory_tokens: 30_000,
            prompt_ms_per_token: 0.08,
            checks_fencing: true,
        }],
        presets: vec![
            preset("ordinary", &[]),
            preset("peak", &[]),
            preset("maintenance", &["reports", "classifications", "lookup"]),
        ],
    }
}
