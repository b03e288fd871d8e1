//! Starts, reloads and stops of `fulmarpath gateway` as a process.

mod common;

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::Command;

use common::{GatewayProcess, TEST_TIMEOUT, store_with_upstream};
use rstest::rstest;
use tokio::time::timeout;

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
