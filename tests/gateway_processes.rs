//! Starts, reloads and stops of `fulmarpath gateway` as a process.

mod common;

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::TcpListener;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::{
    CALLER_PORT, GatewayProcess, METRICS_PORT, PEER_PORT, READY_PORT, TEST_TIMEOUT,
    store_with_upstream,
};
use fulmarpath_platform_standin::RequestKind;
use rstest::rstest;
use tokio::time::{sleep, timeout};

/// Creates a pipe in place of a settings file: whoever reads it waits for its writer.
fn pipe_at(file: &Path) {
    let status = Command::new("mkfifo").arg(file).status();
    assert!(status.expect("mkfifo runs").success());
}

/// Opens a pipe for writing, once the process reads it.
async fn open_pipe(file: &Path) -> File {
    let file = file.to_owned();
    let opening = tokio::task::spawn_blocking(move || OpenOptions::new().write(true).open(file));
    let opened = timeout(TEST_TIMEOUT, opening).await.expect("it is read");
    opened.expect("the task ends").expect("the pipe opens")
}

/// A stop signal that arrives while the settings are read must end the process with 0.
#[rstest]
#[case::terminate("TERM")]
#[case::interrupt("INT")]
#[tokio::test]
async fn stop_signal_during_the_start_ends_with_success(#[case] signal: &str) {
    let (store, _plain) = store_with_upstream().await;
    let mut host = GatewayProcess::new(&format!("early-{signal}"), 1);
    pipe_at(&host.settings);
    host.start();
    let mut pipe = open_pipe(&host.settings).await;
    host.signal(signal);
    // A process that the signal has ended no longer reads.
    let _ = pipe.write_all(host.settings_text(store.address, &[]).as_bytes());
    drop(pipe);
    let status = host.end().await;
    assert_eq!((status.signal(), status.code()), (None, Some(0)));
}

/// SIGHUP while the settings are read must lead to a reload, not to the end of the process.
#[tokio::test]
async fn reload_signal_during_the_start_is_followed_by_a_reload() {
    let (store, _plain) = store_with_upstream().await;
    let mut host = GatewayProcess::new("early-HUP", 2);
    let text = host.settings_text(store.address, &[]);
    pipe_at(&host.settings);
    host.start();
    let mut pipe = open_pipe(&host.settings).await;
    host.signal("HUP");
    let whole = host.settings.with_extension("whole");
    std::fs::write(&whole, &text).expect("it is written");
    std::fs::rename(&whole, &host.settings).expect("it replaces the pipe");
    let _ = pipe.write_all(text.as_bytes());
    drop(pipe);
    host.ready().await;
    host.logged("settings: reloaded").await;
}

/// SIGINT must stop a running host like SIGTERM.
#[rstest]
#[case::terminate("TERM", 3)]
#[case::interrupt("INT", 4)]
#[tokio::test]
async fn stop_signal_ends_a_running_host_with_success(#[case] signal: &str, #[case] number: u8) {
    let (store, _plain) = store_with_upstream().await;
    let mut host = GatewayProcess::new("stop", number);
    host.start_with(store.address, &[]);
    host.ready().await;
    host.signal(signal);
    let status = host.end().await;
    assert_eq!((status.signal(), status.code()), (None, Some(0)));
    host.logged("stopped, all is answered").await;
}

/// What a process finds at the place of its settings file when it reads it first.
enum FirstText {
    Missing,
    Empty,
    /// This fraction of the whole text.
    Cut(f64),
}

impl FirstText {
    fn write(&self, file: &Path, whole: &str) {
        let written = match self {
            Self::Missing => return,
            Self::Empty => "",
            Self::Cut(fraction) => &whole[..(whole.len() as f64 * fraction) as usize],
        };
        std::fs::write(file, written).expect("it is written");
    }
}

/// A settings file that is written while the process starts must be waited for.
#[rstest]
#[case::missing(FirstText::Missing, 11)]
#[case::empty(FirstText::Empty, 12)]
#[case::cut_at_a_third(FirstText::Cut(0.33), 13)]
#[case::cut_near_the_end(FirstText::Cut(0.98), 14)]
#[tokio::test]
async fn unfinished_settings_are_waited_for(#[case] first: FirstText, #[case] number: u8) {
    let (store, _plain) = store_with_upstream().await;
    let mut host = GatewayProcess::new("unfinished", number);
    let whole = host.settings_text(store.address, &[]);
    first.write(&host.settings, &whole);
    host.start();
    host.logged("settings: read again for up to").await;
    std::fs::write(&host.settings, &whole).expect("it is written");
    host.ready().await;
}

/// A stop signal while the settings are waited for must end the process with 0.
#[tokio::test]
async fn stop_signal_while_waiting_for_settings_ends_with_success() {
    let mut host = GatewayProcess::new("unfinished-stop", 15);
    host.start();
    host.logged("settings: read again for up to").await;
    host.signal("TERM");
    let status = host.end().await;
    assert_eq!((status.signal(), status.code()), (None, Some(0)));
}

/// Settings that stay unusable must end the process with their error.
#[tokio::test]
async fn unusable_settings_end_the_start_with_their_error() {
    let mut host = GatewayProcess::new("unusable", 16);
    std::fs::write(&host.settings, "node: \"host-a\"\n").expect("it is written");
    host.start();
    let status = host.end().await;
    assert_eq!((status.signal(), status.code()), (None, Some(1)));
    host.logged("could not parse").await;
}

/// A reload that finds a file half written must read it again once it is whole.
#[rstest]
#[case::missing(FirstText::Missing, 17)]
#[case::empty(FirstText::Empty, 18)]
#[case::cut(FirstText::Cut(0.5), 19)]
#[tokio::test]
async fn reload_of_an_unfinished_file_is_repeated(#[case] first: FirstText, #[case] number: u8) {
    let (store, _plain) = store_with_upstream().await;
    let mut host = GatewayProcess::new("unfinished-reload", number);
    host.start_with(store.address, &[]);
    host.ready().await;
    let whole = host.settings_text(store.address, &[]);
    std::fs::remove_file(&host.settings).expect("it is removed");
    first.write(&host.settings, &whole);
    host.signal("HUP");
    host.logged("settings: re").await;
    std::fs::write(&host.settings, &whole).expect("it is written");
    host.logged("settings: reloaded").await;
}

/// Settings that are written just after SIGHUP must be used.
#[tokio::test]
async fn settings_written_just_after_a_reload_are_used() {
    let (store, _plain) = store_with_upstream().await;
    let mut host = GatewayProcess::new("late-reload", 20);
    host.start_with(store.address, &[]);
    host.ready().await;
    host.signal("HUP");
    host.logged("settings: reloaded").await;
    let text = host.settings_text(store.address, &[]);
    std::fs::write(&host.settings, format!("{text}# changed\n")).expect("it is written");
    let has_two = |output: &str| output.matches("settings: reloaded").count() == 2;
    host.output_where("a second reload", has_two).await;
}

/// An address that another process holds for a moment must be waited for.
#[rstest]
#[case::callers(CALLER_PORT, 31)]
#[case::readiness(READY_PORT, 32)]
#[case::peers(PEER_PORT, 33)]
#[tokio::test]
async fn held_address_is_waited_for(#[case] port: u16, #[case] number: u8) {
    let (store, _plain) = store_with_upstream().await;
    let mut host = GatewayProcess::new("held", number);
    let held = TcpListener::bind(host.address(port)).expect("a free port");
    host.start_with(store.address, &[]);
    host.logged("host: waits up to").await;
    drop(held);
    host.ready().await;
}

/// A process that starts while the one before stops must take over its addresses.
#[tokio::test]
async fn process_takes_over_from_one_that_stops() {
    let (store, _plain) = store_with_upstream().await;
    let mut before = GatewayProcess::new("before", 34);
    before.start_with(store.address, &[]);
    before.ready().await;
    before.signal("TERM");
    let mut after = GatewayProcess::new("after", 34);
    after.start_with(store.address, &[]);
    assert_eq!(before.end().await.code(), Some(0));
    after.ready().await;
    let response = after.call(RequestKind::Poll).await;
    assert_eq!((response.status, response.is_complete), (200, true));
}

/// A stop signal while an address is waited for must end the process with 0.
#[tokio::test]
async fn stop_signal_while_waiting_for_an_address_ends_with_success() {
    let (store, _plain) = store_with_upstream().await;
    let mut host = GatewayProcess::new("held-stop", 35);
    let _held = TcpListener::bind(host.address(CALLER_PORT)).expect("a free port");
    host.start_with(store.address, &[]);
    host.logged("host: waits up to").await;
    host.signal("TERM");
    let status = host.end().await;
    assert_eq!((status.signal(), status.code()), (None, Some(0)));
}

/// An address that stays held must end the process with its error.
#[tokio::test]
async fn address_that_stays_held_ends_the_start_with_its_error() {
    let (store, _plain) = store_with_upstream().await;
    let mut host = GatewayProcess::new("held-for-good", 36);
    let _held = TcpListener::bind(host.address(CALLER_PORT)).expect("a free port");
    host.start_with(store.address, &[]);
    let status = host.end().await;
    assert_eq!((status.signal(), status.code()), (None, Some(1)));
    host.logged("could not listen on").await;
}

/// A held address of the metrics must not keep the host from serving.
#[tokio::test]
async fn held_metrics_address_does_not_keep_a_host_from_serving() {
    let (store, _plain) = store_with_upstream().await;
    let mut host = GatewayProcess::new("held-metrics", 37);
    let metrics = host.address(METRICS_PORT);
    let held = TcpListener::bind(metrics).expect("a free port");
    host.start_with(store.address, &[]);
    host.ready().await;
    host.logged("host: serves without metrics").await;
    drop(held);
    host.logged("for metrics").await;
    let page = fulmarpath_http::get(metrics, "/metrics", TEST_TIMEOUT).await;
    assert_eq!(page.expect("a page").status(), 200);
}

/// A reader of the log that has stopped must not keep a process from ending.
#[tokio::test]
async fn unread_log_does_not_keep_a_process_from_ending() {
    let (store, _plain) = store_with_upstream().await;
    let mut host = GatewayProcess::new("unread-log", 41);
    let text = host.settings_text(store.address, &[]);
    std::fs::write(&host.settings, text).expect("it is written");
    let (_reader, writer) = std::io::pipe().expect("a pipe");
    let mut filler = writer.try_clone().expect("a writer");
    let written = Arc::new(AtomicUsize::new(0));
    let counter = written.clone();
    std::thread::spawn(move || {
        while filler.write_all(b"x").is_ok() {
            counter.fetch_add(1, Ordering::SeqCst);
        }
    });
    loop {
        let before = written.load(Ordering::SeqCst);
        sleep(Duration::from_millis(300)).await;
        if before > 0 && written.load(Ordering::SeqCst) == before {
            break;
        }
    }
    host.start_logging_to(writer.into());
    host.ready().await;
    host.signal("TERM");
    let status = host.end().await;
    assert_eq!((status.signal(), status.code()), (None, Some(0)));
}

/// A grace period that is shorter than the usual linger must be kept.
#[tokio::test]
async fn short_grace_period_is_kept() {
    let (store, _plain) = store_with_upstream().await;
    let mut host = GatewayProcess::new("short-grace", 42);
    let text = host.settings_text(store.address, &[]);
    let text = text.replace("grace-s: 8\n", "grace-s: 1\n");
    std::fs::write(&host.settings, text).expect("it is written");
    host.start();
    host.ready().await;
    let signalled = Instant::now();
    host.signal("TERM");
    assert_eq!(host.end().await.code(), Some(0));
    let took = signalled.elapsed();
    assert!(took < Duration::from_millis(2_000), "{took:?}");
}
