//! The hosts, stand-ins of the platform and the proxies between them.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use fulmarpath_platform_standin::{
    CrashTrigger, EngineBehaviour, ReceivedResponse, StandInEngine, StandInPlain, StandInStore,
    StreamFraming, configuration, entry, settings_file,
};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

use super::SoakError;
use super::host_process::HostProcess;
use super::proxy::Proxy;

pub(crate) const FIRST_KEY: &str = "key-1";
/// A complete deployment: store, engines, plain upstreams, hosts, and the proxies in between.
pub(crate) struct Deployment {
    pub(crate) store: StandInStore,
    pub(crate) store_link: Proxy,
    pub(crate) hosts: Vec<HostProcess>,
    pub(crate) engines: Vec<StandInEngine>,
    /// Engines that were replaced; their records of started requests are still checked.
    pub(crate) retired_engines: Vec<StandInEngine>,
    /// The framings of the engines' streams, in turn.
    framings: &'static [StreamFraming],
    engines_added: usize,
    pub(crate) engine_links: Vec<Proxy>,
    /// Index of the data centre that each engine is registered in.
    engine_data_centres: HashMap<String, usize>,
    pub(crate) plains: Vec<StandInPlain>,
    /// Plain upstreams that a request has crashed.
    pub(crate) crashed_plains: Vec<StandInPlain>,
    /// Number of engines that a request has crashed.
    pub(crate) crashed_engines: u32,
    /// Plain upstreams that were replaced; their records of started requests are still checked.
    pub(crate) retired_plains: Vec<StandInPlain>,
    /// Start times of plain upstreams that replaced the initial ones, in Unix milliseconds.
    plain_started_at_ms: HashMap<usize, u64>,
    /// The text in a request that crashes a plain upstream.
    crash_on: Option<&'static str>,
    /// What crashes an engine.
    engines_crash_on: Option<CrashTrigger>,
    /// Restarts of engines and plain upstreams, which make their start times distinct.
    restarts: u64,
    /// Requests sent to a data centre after its evacuation had to be complete.
    pub(crate) sent_to_evacuated: usize,
    /// Requests to cold upstreams beyond their rate limit.
    pub(crate) over_cold_rate: usize,
    /// Hosts whose store era differed from the store's.
    pub(crate) another_era: usize,
    /// Requests sent to upstreams after hosts knew that they leave.
    pub(crate) sent_to_leaving: usize,
    /// Requests beyond what may reach upstreams during a backoff that they requested.
    pub(crate) sent_during_backoff: usize,
    /// Requests beyond the limits that upstreams advertised.
    pub(crate) over_limit: usize,
    /// Drafts that surges have sent, and their responses.
    pub(crate) surge_responses: Vec<(String, ReceivedResponse)>,
    pub(crate) folder: PathBuf,
}

pub(crate) const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];
/// Engines that are added where requests crash engines.
const FURTHER_ENGINES: usize = 12;
/// How long a plain upstream stays cold.
pub(crate) const COLD_MS: u64 = 2_000;
/// Request rate of a cold plain upstream in the operator's configuration.
const COLD_PER_SECOND: f64 = 8.0;

/// The operator's configuration, with limits for cold plain upstreams.
pub(crate) fn cold_start_configuration(version: u64, key: &str) -> Value {
    let mut configuration = configuration(version, key);
    configuration["services"][0]["cold-s"] = json!(COLD_MS as f64 / 1_000.0);
    configuration["services"][0]["cold-per-s"] = json!(COLD_PER_SECOND);
    configuration
}

/// Start time of the initial engines, in Unix milliseconds. Each restart adds one.
const FIRST_START_MS: u64 = 1_780_000_000_000;

fn plain_name(index: usize) -> String {
    format!("i-p{index}")
}

/// The loopback network of a seed's hosts. Concurrent seeds must not share one: their hosts would
/// find the ports taken, and callers of one seed would reach hosts of the other.
fn network(seed: u64) -> [u8; 3] {
    let low = seed % 200;
    let high = seed / 200 % 100;
    [127, 77 + high as u8, 10 + low as u8]
}

/// Engines at a usual pace: a response takes 1.3 s.
fn engine_behaviour(framing: StreamFraming) -> EngineBehaviour {
    EngineBehaviour {
        framing,
        events: 60,
        event_interval: std::time::Duration::from_millis(20),
        started_at_ms: Some(FIRST_START_MS),
        ..EngineBehaviour::default()
    }
}

impl Deployment {
    /// Starts a deployment on the loopback addresses of its seed.
    pub(crate) async fn start(
        seed: u64,
        hosts: usize,
        framings: &'static [StreamFraming],
        binary: PathBuf,
    ) -> Result<Self, SoakError> {
        let folder = std::env::temp_dir().join(format!("fulmarpath-soak-{seed}"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).map_err(|source| SoakError::Process { source })?;
        let store = StandInStore::start().await;
        store.put("config", "main", cold_start_configuration(1, FIRST_KEY));
        let store_link = Proxy::start(store.address, CancellationToken::new())
            .await
            .map_err(|source| SoakError::Process { source })?;
        let mut deployment = Self {
            store,
            store_link,
            hosts: Vec::new(),
            engines: Vec::new(),
            retired_engines: Vec::new(),
            engine_links: Vec::new(),
            framings,
            engines_added: 0,
            engine_data_centres: HashMap::new(),
            plains: Vec::new(),
            crashed_plains: Vec::new(),
            crashed_engines: 0,
            retired_plains: Vec::new(),
            plain_started_at_ms: HashMap::new(),
            crash_on: None,
            engines_crash_on: None,
            restarts: 0,
            sent_to_evacuated: 0,
            over_cold_rate: 0,
            over_limit: 0,
            another_era: 0,
            sent_to_leaving: 0,
            sent_during_backoff: 0,
            surge_responses: Vec::new(),
            folder,
        };
        for number in 0..4 {
            deployment.add_engine(&format!("i-e{number}")).await?;
        }
        for number in 0..3 {
            let plain = StandInPlain::start(&plain_name(number)).await;
            deployment.plains.push(plain);
            deployment.register_plain(number);
        }
        let network = network(seed);
        for number in 0..hosts {
            deployment.add_host(network, number, &binary)?;
        }
        Ok(deployment)
    }

    /// Adds an engine behind its own proxy.
    pub(crate) async fn add_engine(&mut self, instance: &str) -> Result<(), SoakError> {
        let framing = self.framings[self.engines_added % self.framings.len()];
        self.engines_added += 1;
        let behaviour = EngineBehaviour {
            crashes_on: self.engines_crash_on,
            ..engine_behaviour(framing)
        };
        let engine = StandInEngine::start(instance, behaviour).await;
        let started = Proxy::start(engine.address, engine.crash_token()).await;
        let link = started.map_err(|source| SoakError::Process { source })?;
        self.engines.push(engine);
        self.engine_links.push(link);
        self.register_engine(self.engines.len() - 1, false);
        Ok(())
    }

    /// Assigns an engine to the data centre of its index and writes its directory entry.
    fn register_engine(&mut self, index: usize, is_draining: bool) {
        let data_centre_index = index % DATA_CENTRES.len();
        let instance = self.engines[index].instance.clone();
        self.engine_data_centres.insert(instance, data_centre_index);
        self.put_engine(index, is_draining);
    }

    fn put_engine(&self, index: usize, is_draining: bool) {
        let engine = &self.engines[index];
        let data_centre_index = self.engine_data_centres[&engine.instance];
        let data_centre = DATA_CENTRES[data_centre_index];
        let mut entry = engine.entry("engines", data_centre, is_draining);
        entry["address"] = self.engine_links[index].address.to_string().into();
        self.store.put("servers", &engine.instance, entry);
    }

    /// Restarts an engine under its name without closing its connections.
    pub(crate) async fn restart_engine(&mut self, index: usize) {
        let previous = self.engines[index].clone();
        self.restarts += 1;
        self.engines[index] = previous.restart(FIRST_START_MS + self.restarts).await;
        self.retired_engines.push(previous);
        self.register_engine(index, false);
    }

    /// Writes the directory entry of a plain upstream.
    pub(crate) fn register_plain(&self, index: usize) {
        self.write_plain_entry(index, 0);
    }

    /// Writes the directory entry of a plain upstream that is cold.
    pub(crate) fn register_cold(&self, index: usize) {
        self.write_plain_entry(index, COLD_MS);
    }

    /// Requests that the upstreams of a data centre have received.
    pub(crate) fn received_in(&self, data_centre: usize) -> usize {
        let engines = self.engines.iter();
        let engines =
            engines.filter(|one| self.engine_data_centres.get(&one.instance) == Some(&data_centre));
        let plains = self.plains.iter().enumerate();
        let plains = plains.filter(|(index, _)| index % DATA_CENTRES.len() == data_centre);
        let at_engines = engines.map(|one| one.received().len());
        let at_plains = plains.map(|(_, one)| one.received().len());
        at_engines.sum::<usize>() + at_plains.sum::<usize>()
    }

    fn write_plain_entry(&self, index: usize, cold_ms: u64) {
        self.put_plain(index, cold_ms, false);
    }

    fn put_plain(&self, index: usize, cold_ms: u64, is_draining: bool) {
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        let address = self.plains[index].address;
        let mut entry = entry("portal", address, data_centre, is_draining);
        entry["cold-remaining-ms"] = json!(cold_ms);
        let started_at_ms = self
            .plain_started_at_ms
            .get(&index)
            .unwrap_or(&FIRST_START_MS);
        entry["born"] = json!(started_at_ms);
        self.store.put("servers", &plain_name(index), entry);
    }

    /// Writes the directory entry of a plain upstream that leaves.
    pub(crate) fn mark_plain_draining(&self, index: usize) {
        self.put_plain(index, 0, true);
    }

    /// Writes unrelated objects, each of which increments the store's revision.
    pub(crate) fn write_unrelated(&self, count: usize) {
        for _ in 0..count {
            let revision = self.store.revision();
            self.store
                .put("notes", "of-others", json!({ "number": revision }));
        }
    }

    /// Rewrites what a store restored from a backup may lack: the operator's configuration and the
    /// entries of all upstreams except the plain one at `except`.
    pub(crate) fn rewrite_entries(&self, except: usize) {
        self.store
            .put("config", "main", cold_start_configuration(1, FIRST_KEY));
        for index in (0..self.plains.len()).filter(|index| *index != except) {
            self.register_plain(index);
        }
        for index in 0..self.engines.len() {
            self.put_engine(index, false);
        }
    }

    /// Number of upstreams of both kinds.
    pub(crate) fn upstream_count(&self) -> usize {
        self.plains.len() + self.engines.len()
    }

    /// Writes the directory entry of an upstream, of either kind.
    pub(crate) fn register_upstream(&self, index: usize) {
        match index.checked_sub(self.plains.len()) {
            None => self.register_plain(index),
            Some(engine) => self.put_engine(engine, false),
        }
    }

    /// Removes the directory entry of a plain upstream.
    pub(crate) fn remove_plain_entry(&self, index: usize) {
        self.store.remove("servers", &plain_name(index));
    }

    /// Removes the directory entries of all upstreams.
    pub(crate) fn remove_entries(&self) {
        (0..self.plains.len()).for_each(|index| self.remove_plain_entry(index));
        for engine in &self.engines {
            self.store.remove("servers", &engine.instance);
        }
    }

    /// Makes plain upstreams crash when they start a request with this text.
    pub(crate) fn crash_plains_on(&mut self, text: &'static str) {
        self.crash_on = Some(text);
        self.plains.iter().for_each(|plain| plain.crash_on(text));
    }

    /// Makes engines crash when they start a request with one of these parts in its prompt, and adds
    /// further ones, so that some always run.
    pub(crate) async fn crash_engines_on(
        &mut self,
        parts: &'static [&'static str],
    ) -> Result<(), SoakError> {
        self.engines_crash_on = Some(CrashTrigger::Part(parts));
        for (index, engine) in self.engines.iter().enumerate() {
            engine.set_behaviour(EngineBehaviour {
                crashes_on: self.engines_crash_on,
                ..engine_behaviour(self.framings[index % self.framings.len()])
            });
        }
        for number in 0..FURTHER_ENGINES {
            self.add_engine(&format!("i-c{number}")).await?;
        }
        Ok(())
    }

    /// Replaces plain upstreams and engines that a request has crashed.
    pub(crate) async fn replace_crashed(&mut self) -> Result<(), SoakError> {
        self.replace_crashed_plains().await;
        while let Some(index) = self.engines.iter().position(StandInEngine::has_crashed) {
            self.crashed_engines += 1;
            self.replace_engine(index).await?;
        }
        Ok(())
    }

    /// Replaces an engine by a new one under another name.
    pub(crate) async fn replace_engine(&mut self, index: usize) -> Result<(), SoakError> {
        let retired = self.engines.remove(index);
        self.engine_links.remove(index);
        self.store.remove("servers", &retired.instance);
        self.retired_engines.push(retired);
        let next: u32 = rand::random();
        self.add_engine(&format!("i-n{next:08x}")).await
    }

    /// Replaces crashed plain upstreams by new instances with the same names and other addresses.
    async fn replace_crashed_plains(&mut self) {
        for index in 0..self.plains.len() {
            if self.plains[index].has_crashed() {
                let crashed = self.restart_plain(index).await;
                self.crashed_plains.push(crashed);
            }
        }
    }

    /// Replaces a plain upstream by a new instance with the same name and another address; returns
    /// the previous one.
    pub(crate) async fn restart_plain(&mut self, index: usize) -> StandInPlain {
        let next = StandInPlain::start(&plain_name(index)).await;
        if let Some(text) = self.crash_on {
            next.crash_on(text);
        }
        self.restarts += 1;
        self.plain_started_at_ms
            .insert(index, FIRST_START_MS + self.restarts);
        let previous = std::mem::replace(&mut self.plains[index], next);
        self.register_plain(index);
        previous
    }

    /// Writes unusable entries to each collection, one of them over a plain upstream's entry.
    /// Returns the index of that upstream.
    pub(crate) fn write_foreign_entries(&self, rng: &mut ChaCha8Rng) -> usize {
        let strange = [
            json!(null),
            json!("an entry"),
            json!({"service": "portal", "address": 5, "state": "ready"}),
            json!({"service": "engines", "address": "127.0.0.1:9", "zone": "dc-a", "state": "asleep"}),
            json!([{"version": "two"}]),
        ];
        let mut draw = || strange[rng.random_range(0..strange.len())].clone();
        self.store.put("servers", "foreign", draw());
        self.store.put("config", "foreign", draw());
        self.store.put("fulmarpath-hosts", "foreign", draw());
        let spec = draw();
        let overwritten = rng.random_range(0..self.plains.len());
        self.store.put("servers", &plain_name(overwritten), spec);
        overwritten
    }

    fn add_host(
        &mut self,
        network: [u8; 3],
        number: usize,
        binary: &Path,
    ) -> Result<(), SoakError> {
        let [first, second, third] = network;
        let ip = IpAddr::V4(Ipv4Addr::new(first, second, third, number as u8 + 1));
        let name = format!("host-{number}");
        let file = self.folder.join(format!("{name}.yaml"));
        let seeds: Vec<SocketAddr> = self
            .hosts
            .iter()
            .take(3)
            .map(HostProcess::peer_address)
            .collect();
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let text = settings_file(&name, ip, data_centre, &seeds, self.store_link.address);
        std::fs::write(&file, text).map_err(|source| SoakError::Process { source })?;
        let mut host = HostProcess {
            log: self.folder.join(format!("{name}.log")),
            name,
            ip,
            file,
            binary: binary.to_owned(),
            child: None,
        };
        host.start()?;
        self.hosts.push(host);
        Ok(())
    }

    /// Writes the directory entry of an engine that leaves.
    pub(crate) fn mark_draining(&mut self, index: usize) {
        self.register_engine(index, true);
    }

    /// Number of hosts whose store era differs from the store's.
    pub(crate) async fn hosts_in_another_era(&self) -> usize {
        let eras = self.hosts.iter().map(HostProcess::era);
        let eras = futures::future::join_all(eras).await;
        let era = Some(self.store.era());
        eras.into_iter().filter(|other| *other != era).count()
    }

    /// Number of log lines that say a plain upstream leaves; each host writes one.
    pub(crate) fn leaving_reports(&self, index: usize) -> usize {
        let line = format!("backpressure: {} says that it leaves", plain_name(index));
        let logs = self
            .hosts
            .iter()
            .map(|host| std::fs::read_to_string(&host.log));
        let counts = logs.map(|log| log.map_or(0, |log| log.matches(&line).count()));
        counts.sum()
    }

    /// Name of a host in logs.
    pub(crate) fn host_name(&self, index: usize) -> &str {
        &self.hosts[index].name
    }
}
