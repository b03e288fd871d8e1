//! The form of a gateway's log lines, which alerts and `fulmarpath explain` read.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarpath::gateway::{Gateway, GatewaySettings, HostRegistration, Listen};
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
const PATIENCE: Duration = Duration::from_secs(10);
const ANYWHERE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Sends all of this process's log to a file, without times and levels.
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

/// The line with what differs from run to run left out: names by hash, addresses, numbers.
fn form(line: &str) -> String {
    let mut out = String::new();
    let mut word = String::new();
    for letter in line.chars().chain(['\n']) {
        if letter.is_ascii_alphanumeric() || letter == '.' {
            word.push(letter);
            continue;
        }
        let has_digit = word.chars().any(|letter| letter.is_ascii_digit());
        out.push_str(if has_digit { "#" } else { &word });
        word.clear();
        out.push(letter);
    }
    out.trim_end().to_owned()
}

async fn until(file: &Path, wanted: &str) {
    let started = Instant::now();
    loop {
        let written = std::fs::read_to_string(file).unwrap_or_default();
        if written.contains(wanted) {
            return;
        }
        assert!(started.elapsed() < PATIENCE, "{wanted}: not in {written}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A host starts, an engine leaves while it makes an answer, callers are refused, the store goes
/// away and comes back, the host stops: the lines of all that keep their form.
#[tokio::test]
async fn lines_keep_their_form() {
    let folder = std::env::temp_dir().join(format!("fulmarpath-lines-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("host.log");
    log_to(&file);
    let store = StandInStore::start().await;
    let listen = Listen {
        callers: ANYWHERE,
        readiness: ANYWHERE,
        metrics: ANYWHERE,
        peers: ANYWHERE,
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
    };
    let (dialect, control) = (Arc::new(HeaderDialect), Arc::new(EngineClient));
    let gateway = Gateway::new(settings, dialect, control, metadata(store.address));
    let (stop, stopped) = oneshot::channel::<()>();
    let running = tokio::spawn(Arc::new(gateway).run(listeners, async {
        let _ = stopped.await;
    }));
    let ask = |kind, id: &'static str, key| {
        exchange(callers, sample_request(kind, id, key, HOST), PATIENCE)
    };

    ask(RequestKind::Poll, "a1", KEY).await;
    store.put("config", "main", configuration(1, KEY));
    until(&file, "configuration: version 1").await;
    ask(RequestKind::Poll, "a2", "no-key").await;
    ask(RequestKind::Draft, "a3", KEY).await;
    let rules = EngineBehaviour {
        events: 100,
        ..EngineBehaviour::default()
    };
    let leaving = StandInEngine::start("i-1", rules).await;
    store.put("servers", "i-1", leaving.entry("engines", "dc-a", false));
    until(&file, "upstreams: 1 known").await;
    let streaming = tokio::spawn(ask(RequestKind::Draft, "a4", KEY));
    tokio::time::sleep(Duration::from_millis(150)).await;
    let next = StandInEngine::start("i-2", rules).await;
    store.put("servers", "i-2", next.entry("engines", "dc-a", false));
    until(&file, "upstreams: 2 known").await;
    store.put("servers", "i-1", leaving.entry("engines", "dc-a", true));
    assert!(streaming.await.expect("the caller reads").is_complete);
    store.set_mode(StoreMode::Busy);
    until(&file, "store: the upstreams can't be read").await;
    until(&file, "store: the configuration can't be read").await;
    store.set_mode(StoreMode::Up);
    until(&file, "store: the upstreams can be read again").await;
    until(&file, "store: the configuration can be read again").await;
    stop.send(()).expect("the host runs");
    running.await.expect("the host stops");

    let written = std::fs::read_to_string(&file).expect("the log");
    let forms: BTreeSet<String> = written.lines().map(form).collect();
    let forms: Vec<String> = forms.into_iter().collect();
    insta::assert_snapshot!(forms.join("\n"));
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}
