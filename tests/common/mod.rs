//! Test fixture: `fulmarpath gateway` as separate processes in front of stand-ins.

#![allow(dead_code)]

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use fulmarpath_platform_standin::{
    HOST, ReceivedResponse, RequestKind, StandInPlain, StandInStore, configuration, entry,
    exchange, sample_request, settings_file,
};
use hyper::Request;
use hyper::http::request::Builder;
use tokio::time::sleep;

pub(crate) const KEY: &str = "key-of-one";
/// Upper bound for every wait of a test.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(10);
pub(crate) const CALLER_PORT: u16 = 8_740;
pub(crate) const READY_PORT: u16 = 8_749;
pub(crate) const PEER_PORT: u16 = 8_748;
pub(crate) const METRICS_PORT: u16 = 7_215;

/// A host's process, its address and its files.
pub(crate) struct GatewayProcess {
    pub(crate) ip: Ipv4Addr,
    pub(crate) settings: PathBuf,
    log: PathBuf,
    errors: PathBuf,
    child: Option<Child>,
}

impl GatewayProcess {
    /// Prepares a host without starting it. Each number has its own loopback address and files.
    pub(crate) fn new(test: &str, number: u8) -> Self {
        let process = std::process::id();
        let directory = std::env::temp_dir().join(format!("fulmarpath-{test}-{process}"));
        std::fs::create_dir_all(&directory).expect("a directory");
        let [_, _, high, low] = process.to_be_bytes();
        let in_directory = |suffix: &str| directory.join(format!("host-{number}.{suffix}"));
        Self {
            ip: Ipv4Addr::new(127, 32 + high % 200, low, number),
            settings: in_directory("yaml"),
            log: in_directory("log"),
            errors: in_directory("errors"),
            child: None,
        }
    }

    /// The text of its settings file.
    pub(crate) fn settings_text(&self, store: SocketAddr, seeds: &[SocketAddr]) -> String {
        let name = format!("host-{}", self.ip);
        settings_file(&name, IpAddr::V4(self.ip), "dc-a", seeds, store)
    }

    /// Starts the process, which appends to the log of the process before.
    pub(crate) fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        self.start_logging_to(log.expect("a log file").into());
    }

    /// Starts the process with another destination of its log.
    pub(crate) fn start_logging_to(&mut self, log: Stdio) {
        let append = |file: &Path| {
            let options = File::options().create(true).append(true).open(file);
            Stdio::from(options.expect("a log file"))
        };
        let child = Command::new(env!("CARGO_BIN_EXE_fulmarpath"))
            .arg("gateway")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(append(&self.errors))
            .spawn();
        self.child = Some(child.expect("the process starts"));
    }

    /// Writes its settings file and starts it.
    pub(crate) fn start_with(&mut self, store: SocketAddr, seeds: &[SocketAddr]) {
        std::fs::write(&self.settings, self.settings_text(store, seeds)).expect("it is written");
        self.start();
    }

    pub(crate) fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.as_ref().expect("it was started").id();
        let status = Command::new("kill")
            .args([format!("-{name}"), id.to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits until the process handles SIGTERM.
    pub(crate) async fn handles_signals(&self) {
        const SIGTERM_MASK: u64 = 1 << 14;
        let id = self.child.as_ref().expect("it was started").id();
        let started = Instant::now();
        loop {
            let status = std::fs::read_to_string(format!("/proc/{id}/status"));
            let status = status.expect("its status");
            let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
            let caught = caught.map(|mask| u64::from_str_radix(mask.trim(), 16));
            if matches!(caught, Some(Ok(mask)) if mask & SIGTERM_MASK != 0) {
                return;
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "{}", self.output());
            tokio::task::yield_now().await;
        }
    }

    /// Its resident memory.
    pub(crate) fn resident_mb(&self) -> usize {
        let id = self.child.as_ref().expect("it was started").id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status"));
        let status = status.expect("its status");
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|size| size.trim().strip_suffix(" kB"));
        kilobytes.map_or(0, |size| size.parse::<usize>().expect("a number") / 1_000)
    }

    /// The exit status, if the process has ended.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut().expect("it was started");
        child.try_wait().expect("its state is known")
    }

    /// Waits until the process has ended.
    pub(crate) async fn end(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.ended() {
                return status;
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "{}", self.output());
            sleep(POLL_PERIOD).await;
        }
    }

    /// Waits until the process is ready for callers.
    pub(crate) async fn ready(&mut self) {
        let started = Instant::now();
        while !self.is_ready().await {
            assert_eq!(self.ended(), None, "{}", self.output());
            assert!(started.elapsed() < TEST_TIMEOUT, "{}", self.output());
            sleep(POLL_PERIOD).await;
        }
    }

    pub(crate) async fn is_ready(&self) -> bool {
        let time_limit = Duration::from_millis(500);
        let response = fulmarpath_http::get(self.address(READY_PORT), "/", time_limit).await;
        response.is_ok_and(|response| response.status().as_u16() == 200)
    }

    /// Waits until its log has this text.
    pub(crate) async fn logged(&self, text: &str) {
        self.output_where(text, |output| output.contains(text))
            .await;
    }

    /// Waits for output of this kind.
    pub(crate) async fn output_where(&self, what: &str, is_wanted: impl Fn(&str) -> bool) {
        let started = Instant::now();
        while !is_wanted(&self.output()) {
            let output = self.output();
            assert!(started.elapsed() < TEST_TIMEOUT, "{what}: not in {output}");
            sleep(POLL_PERIOD).await;
        }
    }

    /// What the processes of this host have written.
    pub(crate) fn output(&self) -> String {
        let read = |file| std::fs::read_to_string(file).unwrap_or_default();
        read(&self.log) + &read(&self.errors)
    }

    /// Sends a request that an upstream of the service `portal` answers.
    pub(crate) async fn call(&self, kind: RequestKind) -> ReceivedResponse {
        let request = sample_request(kind, "a1", KEY, HOST);
        exchange(self.address(CALLER_PORT), request, TEST_TIMEOUT).await
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Begins a request on a route of the configuration.
pub(crate) fn request(path: &str, id: &str, deadline_ms: u64) -> Builder {
    Request::builder()
        .uri(path)
        .header("host", HOST)
        .header("authorization", format!("Bearer {KEY}"))
        .header("fulmarpath-request-id", id)
        .header("fulmarpath-request-deadline-ms", deadline_ms)
}

/// Starts a store with a configuration and one upstream of the service `portal`.
pub(crate) async fn store_with_upstream() -> (StandInStore, StandInPlain) {
    store_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await
}

/// The same at an address.
pub(crate) async fn store_at(address: SocketAddr) -> (StandInStore, StandInPlain) {
    let store = StandInStore::start_at(address).await;
    store.put("config", "main", configuration(1, KEY));
    let plain = StandInPlain::start("i-a").await;
    let entry = entry("portal", plain.address, "dc-a", false);
    store.put("servers", "i-a", entry);
    (store, plain)
}
