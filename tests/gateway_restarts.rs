//! Hosts that are stopped, killed, started and reloaded in random series beside callers.
//!
//! `FULMARPATH_RESTARTS_SEED` and `FULMARPATH_RESTARTS_ROUNDS` select another or a longer series.

mod common;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use common::{CALLER_PORT, GatewayProcess, PEER_PORT, store_at};
use fulmarpath_platform_standin::RequestKind;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

const HOSTS: u8 = 3;
const DEFAULT_ROUNDS: usize = 3;
const IDLE_CONNECTIONS: usize = 5;
const CALL_PERIOD: Duration = Duration::from_millis(20);
/// A caller that was slower to find a host ready does not judge it: the host may have gone since.
const MAX_PROBE: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
enum Action {
    /// A stop with another signal during it, and a start afterwards.
    Stop,
    /// A stop, and the start of another process at once.
    TakeOver,
    /// A kill and a start at once.
    Kill,
    /// SIGHUP in series while the settings are whole, cut or missing.
    Reloads,
    /// SIGTERM while the process starts, and another start.
    EarlyStop,
    /// SIGHUP while the process starts.
    EarlyReload,
    /// A start while the settings are being written.
    UnfinishedSettings,
}

const ACTIONS: [Action; 7] = [
    Action::Stop,
    Action::TakeOver,
    Action::Kill,
    Action::Reloads,
    Action::EarlyStop,
    Action::EarlyReload,
    Action::UnfinishedSettings,
];

struct Series {
    number: u8,
    process: GatewayProcess,
    text: String,
    random: ChaCha8Rng,
    /// Counts the beginnings and the ends of kills: odd while a host is being killed.
    kills: Arc<AtomicU64>,
}

impl Series {
    async fn run(&mut self, actions: Vec<Action>) {
        self.process.ready().await;
        for action in actions {
            let callers = self.process.address(CALLER_PORT);
            let idle: Vec<_> = (0..IDLE_CONNECTIONS)
                .map(|_| TcpStream::connect(callers).expect("it accepts"))
                .collect();
            eprintln!("host {}: {action:?}", self.number);
            self.perform(action).await;
            self.process.ready().await;
            drop(idle);
        }
    }

    async fn perform(&mut self, action: Action) {
        match action {
            Action::Stop => {
                self.process.signal("TERM");
                self.pause(0..3_000).await;
                let again = ["TERM", "INT", "HUP"][self.random.random_range(0..3)];
                self.process.signal(again);
                self.ends_with_success().await;
                self.process.start();
            }
            Action::TakeOver => {
                self.process.signal("TERM");
                let mut next = GatewayProcess::new("restarts", self.number);
                next.start();
                self.ends_with_success().await;
                self.process = next;
            }
            Action::Kill => {
                self.kill().await;
                self.process.start();
            }
            Action::Reloads => {
                for _ in 0..20 {
                    self.write_settings();
                    self.process.signal("HUP");
                    self.pause(0..30).await;
                }
                std::fs::write(&self.process.settings, &self.text).expect("it is written");
            }
            Action::EarlyStop => {
                self.kill().await;
                self.process.start();
                self.process.handles_signals().await;
                self.pause(0..20).await;
                self.process.signal("TERM");
                self.ends_with_success().await;
                self.process.start();
            }
            Action::EarlyReload => {
                self.kill().await;
                self.process.start();
                self.process.handles_signals().await;
                self.pause(0..20).await;
                self.process.signal("HUP");
            }
            Action::UnfinishedSettings => {
                self.kill().await;
                self.write_settings();
                self.process.start();
                self.pause(0..500).await;
                std::fs::write(&self.process.settings, &self.text).expect("it is written");
            }
        }
    }

    async fn kill(&mut self) {
        self.kills.fetch_add(1, Ordering::SeqCst);
        self.process.signal("KILL");
        self.process.end().await;
        self.kills.fetch_add(1, Ordering::SeqCst);
    }

    async fn ends_with_success(&mut self) {
        let status = self.process.end().await;
        assert_eq!(status.code(), Some(0), "{}", self.process.output());
    }

    /// Leaves the settings whole, cut or missing.
    fn write_settings(&mut self) {
        let file = &self.process.settings;
        match self.random.random_range(0..3) {
            0 => std::fs::write(file, &self.text).expect("it is written"),
            1 => {
                let length = self.random.random_range(0..self.text.len() - 2);
                std::fs::write(file, &self.text[..length]).expect("it is written");
            }
            _ => {
                let _ = std::fs::remove_file(file);
            }
        }
    }

    async fn pause(&mut self, range_ms: std::ops::Range<u64>) {
        let pause_ms = self.random.random_range(range_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Calls a host as long as it is ready. Returns how many requests were answered.
async fn call_while_ready(number: u8, kills: Arc<AtomicU64>, is_done: Arc<AtomicBool>) -> u64 {
    let host = GatewayProcess::new("restarts", number);
    let mut answered = 0;
    while !is_done.load(Ordering::SeqCst) {
        sleep(CALL_PERIOD).await;
        let kills_before = kills.load(Ordering::SeqCst);
        let probed = Instant::now();
        let is_ready = host.is_ready().await && probed.elapsed() <= MAX_PROBE;
        if !is_ready || kills_before % 2 == 1 {
            continue;
        }
        let response = host.call(RequestKind::Poll).await;
        let is_answered = response.is_complete && [200, 503].contains(&response.status);
        let is_killed = kills.load(Ordering::SeqCst) > kills_before;
        assert!(is_answered || is_killed, "host {number}: {response:?}");
        answered += u64::from(is_answered);
    }
    answered
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Returns a free address of the loopback interface.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Guards against ends, starts and reloads that leave a host down, end it with an error, or leave
/// requests of ready hosts without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_survive_starts_and_ends_in_series() {
    let seed = variable("FULMARPATH_RESTARTS_SEED").unwrap_or(1);
    let rounds = variable("FULMARPATH_RESTARTS_ROUNDS");
    let rounds = rounds.map_or(DEFAULT_ROUNDS, |rounds| rounds as usize);
    eprintln!("seed {seed}, {rounds} rounds");
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let actions = ACTIONS.iter().cycle().take(rounds * usize::from(HOSTS));
    let mut actions: Vec<Action> = actions.copied().collect();
    actions.shuffle(&mut random);
    let store_address = free_address();
    let new = |number| GatewayProcess::new("restarts", number);
    let mut processes: Vec<_> = (1..=HOSTS).map(|number| (number, new(number))).collect();
    let addresses = processes.iter().map(|(_, host)| host.address(PEER_PORT));
    let seeds: Vec<SocketAddr> = addresses.collect();
    for (_, host) in &mut processes {
        host.start_with(store_address, &seeds);
    }
    // All hosts start at once, and the store later.
    sleep(Duration::from_millis(random.random_range(0..500))).await;
    let (_store, _plain) = store_at(store_address).await;
    let is_done = Arc::new(AtomicBool::new(false));
    let (mut series, mut callers) = (Vec::new(), Vec::new());
    for (number, process) in processes {
        let kills = Arc::new(AtomicU64::new(0));
        let caller = call_while_ready(number, kills.clone(), is_done.clone());
        callers.push(tokio::spawn(caller));
        let text = process.settings_text(store_address, &seeds);
        let random = ChaCha8Rng::seed_from_u64(random.random());
        let actions = actions.split_off(actions.len() - rounds);
        series.push(tokio::spawn(async move {
            let mut series = Series {
                number,
                process,
                text,
                random,
                kills,
            };
            series.run(actions).await;
            series
        }));
    }
    let mut ended = Vec::new();
    for series in series {
        ended.push(series.await.expect("no rule of the series is broken"));
    }
    is_done.store(true, Ordering::SeqCst);
    let mut answered = 0;
    for caller in callers {
        answered += caller.await.expect("each request is answered");
    }
    assert!(answered > 0);
    for host in &mut ended {
        let output = host.process.output();
        assert!(!output.contains("panic"), "{output}");
        host.process.signal("TERM");
    }
    for host in &mut ended {
        host.ends_with_success().await;
    }
    eprintln!("{answered} requests answered");
}
