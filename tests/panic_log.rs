//! Panics in the log of a gateway process.

use std::process::Command;

use fulmarpath::gateway::log_panics;
use fulmarpath::init_gateway_log;

/// Set in the process of the test that panics.
const VARIABLE: &str = "FULMARPATH_TEST_PANICS";
const MESSAGE: &str = "a panic of the test";

/// Runs only in the process that the other test starts.
#[test]
fn process_that_panics() {
    if std::env::var_os(VARIABLE).is_none() {
        return;
    }
    init_gateway_log().expect("the log is set up");
    log_panics();
    let thread = std::thread::Builder::new().name("worker-7".to_owned());
    let ended = thread
        .spawn(|| panic!("{MESSAGE}"))
        .expect("a thread")
        .join();
    assert!(ended.is_err());
    std::process::exit(0);
}

/// A panic must be on a line of the log, with its thread and place, also if the process ends at once.
#[test]
fn panic_is_logged_before_the_process_ends() {
    let output = Command::new(std::env::current_exe().expect("its path"))
        .args(["--exact", "process_that_panics", "--nocapture"])
        .env(VARIABLE, "1")
        .output()
        .expect("it runs");
    let log = String::from_utf8_lossy(&output.stdout).into_owned();
    let line = log.lines().find(|line| line.contains(MESSAGE));
    let line = line.unwrap_or_else(|| panic!("{log}"));
    for part in [
        "\"level\":\"error\"",
        "panic: thread worker-7, tests/panic_log.rs:",
    ] {
        assert!(line.contains(part), "{line}");
    }
}
