//! Hosts as separate processes, with the signals that a machine gives them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use fulmarpath::dev::caller::{CallerRequest, CallerResponse, complete, expected, open, read};

const OPERATOR_KEY: &str = "change-me-operator";
const CALLER_KEY: &str = "change-me-aerocert-ag";
const READY_BOUND: Duration = Duration::from_secs(20);

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Ports of one test process, below those that the system gives to outgoing connections: a port that
/// was free a moment ago could otherwise be taken by any connection of a test beside this one.
const FIRST_PORT: u16 = 12_000;
const BLOCKS: u16 = 180;
const BLOCK_PORTS: u16 = 100;

/// Holds a block's first port while this process runs, and thereby the rest of the block.
///
/// Looked for one by one, ports were free when they were looked at and taken when the host came to
/// listen, by the host of another test process that had looked at the same moment: it ended at once,
/// and its example was never applied. Six test processes started together failed in 15 of 18 runs.
struct Block {
    first: u16,
    _held: TcpListener,
}

impl Block {
    fn claim() -> Self {
        let offset = (std::process::id() % u32::from(BLOCKS)) as u16;
        let blocks = (0..BLOCKS).map(|step| (offset + step) % BLOCKS);
        let claimed = blocks
            .map(|block| FIRST_PORT + block * BLOCK_PORTS)
            .find_map(|first| {
                let held = TcpListener::bind(("127.0.0.1", first)).ok()?;
                Some(Self { first, _held: held })
            });
        claimed.expect("a free block of ports")
    }
}

/// An address that nothing uses, and no other test process will.
fn free_address() -> SocketAddr {
    static BLOCK: OnceLock<Block> = OnceLock::new();
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let block = BLOCK.get_or_init(Block::claim);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(step < BLOCK_PORTS, "a block has {BLOCK_PORTS} ports");
        let address = SocketAddr::from(([127, 0, 0, 1], block.first + step));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

struct Process(Child);

impl Process {
    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.0.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    fn wait(&mut self) -> ExitStatus {
        self.0.wait().expect("it ends")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Takes whatever comes and answers 200, as a collector of traces would.
struct Collector {
    address: SocketAddr,
    received: Arc<Mutex<Vec<u8>>>,
}

impl Collector {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let sink = received.clone();
        std::thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                let sink = sink.clone();
                std::thread::spawn(move || {
                    let mut buffer = [0; 65_536];
                    while let Ok(count @ 1..) = socket.read(&mut buffer) {
                        sink.lock().expect("a lock").extend(&buffer[..count]);
                        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                        let _ = socket.write_all(answer);
                    }
                });
            }
        });
        Self { address, received }
    }

    fn has(&self, wanted: &[u8]) -> bool {
        let received = self.received.lock().expect("a lock");
        received.windows(wanted.len()).any(|part| part == wanted)
    }
}

struct Hosts {
    collector: Collector,
    directory: PathBuf,
    hosts: Vec<(Process, SocketAddr)>,
    _standin: Process,
}

fn start(name: &str) -> Hosts {
    let directory = std::env::temp_dir().join(format!("fulmarpath-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let centres = ["zrh-a", "zrh-b", "zrh-c"];
    let peers: Vec<SocketAddr> = centres.iter().map(|_| free_address()).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_fulmarpath-standin"));
    for (number, peer) in peers.iter().enumerate() {
        command.args([
            "--host",
            &format!("host-{number}={}={peer}", centres[number]),
        ]);
    }
    let mut standin = command
        .stdout(Stdio::piped())
        .spawn()
        .expect("the stand-ins start");
    let mut lines = BufReader::new(standin.stdout.take().expect("its output")).lines();
    let mut address = || {
        let line = lines.next().expect("a line").expect("text");
        line.split(' ').next_back().expect("an address").to_owned()
    };
    let (object_api, host_list) = (address(), address());
    std::fs::write(directory.join("operator.key"), OPERATOR_KEY).expect("the key is written");
    let collector = Collector::start();
    let hosts = (0..centres.len()).map(|number| {
        let caller = free_address();
        let file = directory.join(format!("host-{number}.yaml"));
        let mut settings = std::fs::File::create(&file).expect("a file");
        writeln!(
            settings,
            "host: host-{number}\ndata_centre: {}\ncaller_address: {caller}\n\
             peer_address: {}\nobject_api_address: {object_api}\n\
             host_list_address: {host_list}\nsilence_bound_ms: 500\nlinger_ms: 200\n\
             otlp_address: {}\noperator_key_sha256: {}",
            centres[number],
            peers[number],
            collector.address,
            fulmarpath::settings::key_hash(OPERATOR_KEY),
        )
        .expect("the settings are written");
        let host = Command::new(env!("CARGO_BIN_EXE_fulmarpath"))
            .arg("serve")
            .arg(&file)
            .stdout(log(&directory, number, "out"))
            .stderr(log(&directory, number, "err"))
            .spawn();
        (Process(host.expect("a host starts")), caller)
    });
    Hosts {
        hosts: hosts.collect(),
        collector,
        directory,
        _standin: Process(standin),
    }
}

/// The file of what a host prints, shown where a test fails before its hosts are ready.
fn log(directory: &Path, number: usize, stream: &str) -> std::fs::File {
    let file = directory.join(format!("host-{number}.{stream}"));
    std::fs::File::create(file).expect("a log file")
}

impl Hosts {
    /// What each host has printed, and whether its process still runs.
    fn printed(&mut self) -> String {
        let mut printed = String::new();
        for (number, (process, _)) in self.hosts.iter_mut().enumerate() {
            let ended = process.0.try_wait().ok().flatten();
            printed.push_str(&format!("host-{number}, ended: {ended:?}\n"));
            for stream in ["out", "err"] {
                let file = self.directory.join(format!("host-{number}.{stream}"));
                printed.push_str(&std::fs::read_to_string(file).unwrap_or_default());
            }
        }
        printed
    }

    fn operate(&self, host: usize, words: &[&str]) -> std::process::Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fulmarpath"));
        command.args(words);
        command.args(["--host", &self.hosts[host].1.to_string()]);
        command.args([
            "--key-file",
            &self.directory.join("operator.key").display().to_string(),
        ]);
        command.output().expect("the command runs")
    }

    /// Applies the association's example as soon as a host answers.
    fn apply(&mut self) {
        let example = root().join("examples/association");
        let example = example.display().to_string();
        let started = Instant::now();
        loop {
            let output = self.operate(0, &["apply", "--wait", &example]);
            if output.status.success() {
                return;
            }
            let error = String::from_utf8_lossy(&output.stderr).into_owned();
            let in_time = started.elapsed() < READY_BOUND;
            assert!(in_time, "{error}\n{}", self.printed());
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    async fn answer(&self, host: usize, prompt: &str) -> CallerResponse {
        let started = Instant::now();
        loop {
            let got = complete(self.hosts[host].1, &ask(prompt)).await;
            let closed = got.problem.as_deref() == Some("not-run/host-closed");
            if !closed || started.elapsed() > READY_BOUND {
                return got;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn ask(prompt: &str) -> CallerRequest {
    CallerRequest {
        key: CALLER_KEY,
        prompt: prompt.to_owned(),
        ..CallerRequest::default()
    }
}

/// From processes and settings files alone: an operator applies the example, callers at all three
/// hosts get whole answers, `plan` shows no difference, an unknown preset is refused.
#[tokio::test(flavor = "multi_thread")]
async fn operators_and_callers_meet_three_processes() {
    let mut hosts = start("meet");
    hosts.apply();
    for host in 0..3 {
        let prompt = format!("by process {host} #20");
        assert_eq!(hosts.answer(host, &prompt).await.text(), expected(&prompt));
    }
    let example = root().join("examples/association").display().to_string();
    let plan = hosts.operate(1, &["plan", &example]);
    let shown = String::from_utf8_lossy(&plan.stdout).into_owned();
    assert!(shown.contains("0 differences from revision"), "{shown}");
    let unknown = hosts.operate(2, &["preset", "use", "holiday"]);
    assert!(!unknown.status.success());
    let refused = String::from_utf8_lossy(&unknown.stderr).into_owned();
    assert!(
        refused.contains("could not find preset `holiday`"),
        "{refused}"
    );
}

/// SIGTERM while an answer streams: the answer is finished, then the process ends with 0. The
/// spans of its hops, in the caller's own trace, have reached the collector by then.
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_process_finishes_its_answers() {
    let mut hosts = start("terminate");
    hosts.apply();
    hosts.answer(0, "ready? #2").await;
    let prompt = "runs into SIGTERM #120";
    let traced = CallerRequest {
        traceparent: Some("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".to_owned()),
        ..ask(prompt)
    };
    let call = open(hosts.hosts[0].1, &traced).await;
    let reading = tokio::spawn(read(call, usize::MAX));
    hosts.hosts[0].0.signal("TERM");
    let got = reading.await.expect("the caller reads");
    assert_eq!(got.text(), expected(prompt));
    let ended = tokio::task::spawn_blocking(move || (hosts.hosts[0].0.wait(), hosts)).await;
    let (status, hosts) = ended.expect("it is waited for");
    assert!(status.success());
    for span in ["entry.request", "home.permit", "engine.generate"] {
        assert!(hosts.collector.has(span.as_bytes()), "{span}");
    }
    let trace_id = [
        0x0a, 0xf7, 0x65, 0x19, 0x16, 0xcd, 0x43, 0xdd, 0x84, 0x48, 0xeb, 0x21, 0x1c, 0x80, 0x31,
        0x9c,
    ];
    assert!(hosts.collector.has(&trace_id));
}

/// One process is killed and another is paused for 4 s, past everybody's patience. Callers of the
/// third go on; the paused one wakes, refutes its death and answers again.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_and_a_paused_process_stop_nobody() {
    let mut hosts = start("pause");
    hosts.apply();
    for host in 0..3 {
        hosts.answer(host, "ready? #2").await;
    }
    hosts.hosts[1].0.signal("KILL");
    hosts.hosts[2].0.signal("STOP");
    let until = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < until {
        let prompt = format!("while others are away {number} #10");
        let got = hosts.answer(0, &prompt).await;
        assert_eq!(got.text(), expected(&prompt), "{got:?}");
        number += 1;
    }
    hosts.hosts[2].0.signal("CONT");
    let got = hosts.answer(2, "awake again #10").await;
    assert_eq!(got.text(), expected("awake again #10"), "{got:?}");
}
