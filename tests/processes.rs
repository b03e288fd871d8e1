//! Hosts as separate processes, stopped, killed and paused by signals.

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
const READY_TIMEOUT: Duration = Duration::from_secs(20);

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Start of the port ranges for test processes. They lie below the ephemeral ports, because an
/// outgoing connection of a concurrent test could otherwise take a port that was just free.
const FIRST_PORT: u16 = 12_000;
const PORT_RANGES: u16 = 180;
const PORTS_PER_RANGE: u16 = 100;

/// Reserves a range of ports for this process by listening on the first port of the range.
///
/// If ports were picked one by one, two test processes could find the same port free at the same
/// time. The host that binds it second exits at once, and applying the example then fails: this
/// failed 15 of 18 runs of six concurrent test processes.
struct PortRange {
    first: u16,
    _guard: TcpListener,
}

impl PortRange {
    fn claim() -> Self {
        let offset = (std::process::id() % u32::from(PORT_RANGES)) as u16;
        let ranges = (0..PORT_RANGES).map(|step| (offset + step) % PORT_RANGES);
        let claimed = ranges
            .map(|range| FIRST_PORT + range * PORTS_PER_RANGE)
            .find_map(|first| {
                let guard = TcpListener::bind(("127.0.0.1", first)).ok()?;
                Some(Self {
                    first,
                    _guard: guard,
                })
            });
        claimed.expect("a free port range")
    }
}

/// Returns an address that is unused and reserved for this process.
fn free_address() -> SocketAddr {
    static RANGE: OnceLock<PortRange> = OnceLock::new();
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let range = RANGE.get_or_init(PortRange::claim);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(
            step < PORTS_PER_RANGE,
            "a range has {PORTS_PER_RANGE} ports"
        );
        let address = SocketAddr::from(([127, 0, 0, 1], range.first + step));
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
        self.0.wait().expect("it exits")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A trace collector that accepts any request and responds with 200.
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
                        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                        let _ = socket.write_all(response);
                    }
                });
            }
        });
        Self { address, received }
    }

    fn has_received(&self, bytes: &[u8]) -> bool {
        let received = self.received.lock().expect("a lock");
        received.windows(bytes.len()).any(|part| part == bytes)
    }
}

struct TestDeployment {
    collector: Collector,
    directory: PathBuf,
    hosts: Vec<(Process, SocketAddr)>,
    _standin: Process,
}

fn start(name: &str) -> TestDeployment {
    let directory = std::env::temp_dir().join(format!("fulmarpath-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let data_centres = ["zrh-a", "zrh-b", "zrh-c"];
    let peers: Vec<SocketAddr> = data_centres.iter().map(|_| free_address()).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_fulmarpath-standin"));
    for (number, peer) in peers.iter().enumerate() {
        command.args([
            "--host",
            &format!("host-{number}={}={peer}", data_centres[number]),
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
    let hosts = (0..data_centres.len()).map(|number| {
        let caller = free_address();
        let file = directory.join(format!("host-{number}.yaml"));
        let mut settings = std::fs::File::create(&file).expect("a file");
        writeln!(
            settings,
            "host: host-{number}\ndata_centre: {}\ncaller_address: {caller}\n\
             peer_address: {}\nobject_api_address: {object_api}\n\
             host_list_address: {host_list}\nsilence_bound_ms: 500\nlinger_ms: 200\n\
             otlp_address: {}\noperator_key_sha256: {}",
            data_centres[number],
            peers[number],
            collector.address,
            fulmarpath::settings::key_hash(OPERATOR_KEY),
        )
        .expect("the settings are written");
        let host = Command::new(env!("CARGO_BIN_EXE_fulmarpath"))
            .arg("serve")
            .arg(&file)
            .stdout(log_file(&directory, number, "out"))
            .stderr(log_file(&directory, number, "err"))
            .spawn();
        (Process(host.expect("a host starts")), caller)
    });
    TestDeployment {
        hosts: hosts.collect(),
        collector,
        directory,
        _standin: Process(standin),
    }
}

/// Creates the file for an output stream of a host, which is shown if a test fails before its hosts
/// are ready.
fn log_file(directory: &Path, number: usize, stream: &str) -> std::fs::File {
    let file = directory.join(format!("host-{number}.{stream}"));
    std::fs::File::create(file).expect("a log file")
}

impl TestDeployment {
    /// The output of each host and the exit status of its process.
    fn output(&mut self) -> String {
        let mut output = String::new();
        for (number, (process, _)) in self.hosts.iter_mut().enumerate() {
            let ended = process.0.try_wait().ok().flatten();
            output.push_str(&format!("host-{number}, ended: {ended:?}\n"));
            for stream in ["out", "err"] {
                let file = self.directory.join(format!("host-{number}.{stream}"));
                output.push_str(&std::fs::read_to_string(file).unwrap_or_default());
            }
        }
        output
    }

    fn run_command(&self, host: usize, arguments: &[&str]) -> std::process::Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fulmarpath"));
        command.args(arguments);
        command.args(["--host", &self.hosts[host].1.to_string()]);
        command.args([
            "--key-file",
            &self.directory.join("operator.key").display().to_string(),
        ]);
        command.output().expect("the command runs")
    }

    /// Applies the example `association` as soon as a host responds.
    fn apply(&mut self) {
        let example = root().join("examples/association");
        let example = example.display().to_string();
        let started = Instant::now();
        loop {
            let output = self.run_command(0, &["apply", "--wait", &example]);
            if output.status.success() {
                return;
            }
            let error = String::from_utf8_lossy(&output.stderr).into_owned();
            let in_time = started.elapsed() < READY_TIMEOUT;
            assert!(in_time, "{error}\n{}", self.output());
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    async fn complete_when_open(&self, host: usize, prompt: &str) -> CallerResponse {
        let started = Instant::now();
        loop {
            let response = complete(self.hosts[host].1, &request(prompt)).await;
            let closed = response.problem.as_deref() == Some("not-run/host-closed");
            if !closed || started.elapsed() > READY_TIMEOUT {
                return response;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn request(prompt: &str) -> CallerRequest {
    CallerRequest {
        key: CALLER_KEY,
        prompt: prompt.to_owned(),
        ..CallerRequest::default()
    }
}

/// In a deployment of processes and settings files, an operator applies the example, callers at all
/// three hosts get complete responses, `plan` shows no difference, and an unknown preset is
/// refused.
#[tokio::test(flavor = "multi_thread")]
async fn processes_serve_operators_and_callers() {
    let mut hosts = start("meet");
    hosts.apply();
    for host in 0..3 {
        let prompt = format!("by process {host} #20");
        assert_eq!(
            hosts.complete_when_open(host, &prompt).await.text(),
            expected(&prompt)
        );
    }
    let example = root().join("examples/association").display().to_string();
    let plan = hosts.run_command(1, &["plan", &example]);
    let shown = String::from_utf8_lossy(&plan.stdout).into_owned();
    assert!(shown.contains("0 differences from revision"), "{shown}");
    let unknown = hosts.run_command(2, &["preset", "use", "holiday"]);
    assert!(!unknown.status.success());
    let refused = String::from_utf8_lossy(&unknown.stderr).into_owned();
    assert!(
        refused.contains("could not find preset `holiday`"),
        "{refused}"
    );
}

/// A host receives SIGTERM while a response streams. It must finish the stream and exit with 0, and
/// by then its spans must have reached the collector under the trace id of the caller.
#[tokio::test(flavor = "multi_thread")]
async fn terminated_process_finishes_running_streams() {
    let mut hosts = start("terminate");
    hosts.apply();
    hosts.complete_when_open(0, "ready? #2").await;
    let prompt = "runs into SIGTERM #120";
    let traced = CallerRequest {
        traceparent: Some("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".to_owned()),
        ..request(prompt)
    };
    let call = open(hosts.hosts[0].1, &traced).await;
    let reading = tokio::spawn(read(call, usize::MAX));
    hosts.hosts[0].0.signal("TERM");
    let response = reading.await.expect("the caller reads");
    assert_eq!(response.text(), expected(prompt));
    let ended = tokio::task::spawn_blocking(move || (hosts.hosts[0].0.wait(), hosts)).await;
    let (status, hosts) = ended.expect("the wait completes");
    assert!(status.success());
    for span in ["entry.request", "home.permit", "engine.generate"] {
        assert!(hosts.collector.has_received(span.as_bytes()), "{span}");
    }
    let trace_id = [
        0x0a, 0xf7, 0x65, 0x19, 0x16, 0xcd, 0x43, 0xdd, 0x84, 0x48, 0xeb, 0x21, 0x1c, 0x80, 0x31,
        0x9c,
    ];
    assert!(hosts.collector.has_received(&trace_id));
}

/// One process is killed and another paused for 4 s, longer than all timeouts of its peers. Callers
/// of the third must be unaffected. The resumed process must refute that it is dead and serve
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn killed_and_paused_processes_do_not_affect_others() {
    let mut hosts = start("pause");
    hosts.apply();
    for host in 0..3 {
        hosts.complete_when_open(host, "ready? #2").await;
    }
    hosts.hosts[1].0.signal("KILL");
    hosts.hosts[2].0.signal("STOP");
    let until = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < until {
        let prompt = format!("while others are away {number} #10");
        let response = hosts.complete_when_open(0, &prompt).await;
        assert_eq!(response.text(), expected(&prompt), "{response:?}");
        number += 1;
    }
    hosts.hosts[2].0.signal("CONT");
    let response = hosts.complete_when_open(2, "awake again #10").await;
    assert_eq!(response.text(), expected("awake again #10"), "{response:?}");
}
