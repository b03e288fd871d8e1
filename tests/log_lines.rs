//! The format of gateway log lines, which alerts and `fulmarpath explain` parse.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarpath::gateway::{Gateway, GatewaySettings, HostLimits, HostRegistration, Listen};
use fulmarpath::platform::{EngineClient, HeaderDialect, metadata};
use fulmarpath_platform_standin::{
    EngineBehaviour, HOST, RequestKind, StandInEngine, StandInStore, StoreMode, configuration,
    exchange, sample_request,
};
use fulmarpath_policy::RetryBound;
use spdlog::Logger;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::FileSink;
use tokio::sync::oneshot;

const KEY: &str = "key-of-one";
const TIMEOUT: Duration = Duration::from_secs(10);
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Redirects the log of the process to a file, without timestamps and levels.
fn log_to(file: &Path) {
    let formatter = PatternFormatter::new(pattern!("{payload}{eol}"));
    let sink = FileSink::builder().path(file).truncate(true);
    let sink = sink.formatter(formatter).build().expect("a file sink");
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(spdlog::LevelFilter::All)
        .flush_level_filter(spdlog::LevelFilter::All)
        .build()
        .expect("a logger");
    spdlog::set_default_logger(Arc::new(logger));
}

/// Replaces what differs between runs (hashed names, addresses and numbers) by `#`.
fn normalise(line: &str) -> String {
    let mut out = String::new();
    let mut token = String::new();
    for letter in line.chars().chain(['\n']) {
        if letter.is_ascii_alphanumeric() || letter == '.' {
            token.push(letter);
            continue;
        }
        let has_digit = token.chars().any(|letter| letter.is_ascii_digit());
        out.push_str(if has_digit { "#" } else { &token });
        token.clear();
        out.push(letter);
    }
    out.trim_end().to_owned()
}

async fn wait_for_line(file: &Path, wanted: &str) {
    let started = Instant::now();
    loop {
        let written = std::fs::read_to_string(file).unwrap_or_default();
        if written.contains(wanted) {
            return;
        }
        assert!(started.elapsed() < TIMEOUT, "{wanted}: not in {written}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against accidental changes of the log format. A host starts, an engine leaves while it
/// generates, requests are refused, the store becomes unavailable and available again, and the host
/// stops; the format of all these lines is compared with a snapshot.
#[tokio::test]
async fn lines_keep_their_form() {
    let directory = std::env::temp_dir().join(format!("fulmarpath-lines-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let file = directory.join("host.log");
    log_to(&file);
    let store = StandInStore::start().await;
    let listen = Listen {
        callers: ANY_PORT,
        readiness: ANY_PORT,
        metrics: ANY_PORT,
        peers: ANY_PORT,
    };
    let listeners = listen.bind().await.expect("free ports");
    let callers = listeners.callers.local_addr().expect("an address");
    let settings = GatewaySettings {
        host: HostRegistration {
            name: "host-a".to_owned(),
            data_centre: "dc-a".to_owned(),
            address: listeners.peers.local_addr().expect("an address"),
        },
        retries: RetryBound {
            ratio: 0.2,
            extra: 200.0,
            window_ms: 10_000,
        },
        seeds: Vec::new(),
        registration_ttl_ms: 3_600,
        change_bound_ms: 2_000,
        grace_ms: 4_000,
        evacuation_bound_ms: None,
        cold_bound: None,
        event_delay_bound_ms: None,
        limits: HostLimits::default(),
    };
    let (dialect, control) = (Arc::new(HeaderDialect), Arc::new(EngineClient));
    let gateway = Gateway::new(settings, dialect, control, metadata(store.address));
    let (stop, stopped) = oneshot::channel::<()>();
    let running = tokio::spawn(Arc::new(gateway).run(listeners, async {
        let _ = stopped.await;
    }));
    let send = |kind, id: &'static str, key| {
        exchange(callers, sample_request(kind, id, key, HOST), TIMEOUT)
    };

    send(RequestKind::Poll, "a1", KEY).await;
    store.put("config", "main", configuration(1, KEY));
    wait_for_line(&file, "configuration: version 1").await;
    send(RequestKind::Poll, "a2", "no-key").await;
    send(RequestKind::Draft, "a3", KEY).await;
    let behaviour = EngineBehaviour {
        events: 100,
        ..EngineBehaviour::default()
    };
    let leaving_engine = StandInEngine::start("i-1", behaviour).await;
    store.put(
        "servers",
        "i-1",
        leaving_engine.entry("engines", "dc-a", false),
    );
    wait_for_line(&file, "upstreams: 1 known").await;
    let streaming = tokio::spawn(send(RequestKind::Draft, "a4", KEY));
    tokio::time::sleep(Duration::from_millis(150)).await;
    let next_engine = StandInEngine::start("i-2", behaviour).await;
    store.put(
        "servers",
        "i-2",
        next_engine.entry("engines", "dc-a", false),
    );
    wait_for_line(&file, "upstreams: 2 known").await;
    store.put(
        "servers",
        "i-1",
        leaving_engine.entry("engines", "dc-a", true),
    );
    assert!(streaming.await.expect("the caller reads").is_complete);
    store.set_mode(StoreMode::Busy);
    wait_for_line(&file, "store: the upstreams can't be read").await;
    wait_for_line(&file, "store: the configuration can't be read").await;
    store.set_mode(StoreMode::Up);
    wait_for_line(&file, "store: the upstreams can be read again").await;
    wait_for_line(&file, "store: the configuration can be read again").await;
    stop.send(()).expect("the host runs");
    running.await.expect("the host stops");

    let written = std::fs::read_to_string(&file).expect("the log");
    let normalised: BTreeSet<String> = written.lines().map(normalise).collect();
    let normalised: Vec<String> = normalised.into_iter().collect();
    insta::assert_snapshot!(normalised.join("\n"));
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
}
