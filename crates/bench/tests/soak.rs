//! Short soak runs: seeds that exposed faults, one seed of each fault set, and corrupted responses
//! that the checks must detect.

use std::path::PathBuf;
use std::process::Command;

use rstest::rstest;

/// The host binary, which `cargo test --workspace` builds next to the bench.
fn binary() -> PathBuf {
    let bench = PathBuf::from(env!("CARGO_BIN_EXE_fulmarpath-bench"));
    bench.with_file_name("fulmarpath")
}

fn soak(args: &[&str]) -> (bool, serde_json::Value, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarpath-bench"))
        .args(["soak", "--hosts", "3", "--callers", "6", "--binary"])
        .arg(binary())
        .args(args)
        .output()
        .expect("run fulmarpath-bench");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let last_verdict = text.lines().rfind(|line| line.starts_with("{\"seed\""));
    let verdict = last_verdict.and_then(|line| serde_json::from_str(line).ok());
    (output.status.success(), verdict.unwrap_or_default(), text)
}

/// Guards against lost, duplicated or mixed-up responses and false refusals while hosts are killed,
/// stopped and paused, the store and links fail, and engines leave.
#[test]
fn basic_faults_cause_no_violations() {
    let (passed, verdict, text) = soak(&["--seed", "7006", "--seeds", "1", "--faults", "3"]);
    assert!(passed, "{text}");
    assert!(verdict["whole"].as_u64() > Some(20), "{text}");
}

/// Guards against violations when engines restart under their names or other writers leave unusable
/// entries, combined with the basic faults.
#[rstest]
#[case::engine_restart("7102", "EngineReborn")]
#[case::foreign_entries("7105", "ForeignEntries")]
fn restarts_and_foreign_entries_cause_no_violations(#[case] seed: &str, #[case] fault: &str) {
    let args = [
        "--seed",
        seed,
        "--seeds",
        "1",
        "--faults",
        "4",
        "--all-kinds",
    ];
    let (passed, verdict, text) = soak(&args);
    assert!(passed, "{text}");
    assert!(verdict["faults"].to_string().contains(fault), "{text}");
}

/// Guards against requests to an evacuated data centre after the bound, and against more requests
/// to an upstream that returns cold than its limit allows.
#[test]
fn evacuations_and_cold_upstreams_cause_no_violations() {
    let args = [
        "--seed",
        "1796500005",
        "--seeds",
        "1",
        "--faults",
        "4",
        "--latest-kinds",
    ];
    let (passed, verdict, text) = soak(&args);
    assert!(passed, "{text}");
    let faults = verdict["faults"].to_string();
    assert!(
        faults.contains("Evacuation") && faults.contains("ColdReturn"),
        "{text}"
    );
}

struct BackpressureCase {
    seed: &'static str,
    faults: &'static str,
    fault: &'static str,
}

/// Guards against hosts that ignore the limit, leaving or backoff signals in an upstream's
/// responses.
#[rstest]
#[case::limit(BackpressureCase { seed: "1796700104", faults: "2", fault: "PlainNamesLimit" })]
#[case::leaving(BackpressureCase { seed: "1796700100", faults: "1", fault: "PlainSaysItLeaves" })]
#[case::backoff(BackpressureCase { seed: "1796700002", faults: "2", fault: "PlainAsksForRest" })]
fn backpressure_signals_cause_no_violations(#[case] case: BackpressureCase) {
    let BackpressureCase { seed, faults, .. } = case;
    let args = ["--seed", seed, "--seeds", "1", "--faults", faults];
    let args = [&args[..], &["--backpressure"]].concat();
    let (passed, verdict, text) = soak(&args);
    assert!(passed, "{text}");
    assert!(verdict["faults"].to_string().contains(case.fault), "{text}");
}

/// Guards against hosts that take the state of a store restored from a backup for the latest one:
/// upstreams leave shortly before and after the restore, and hosts start in between.
#[rstest]
#[case::known_by_peers_alone("1796920024")]
#[case::leaving_before_and_after("1796910005")]
fn store_restores_cause_no_violations(#[case] seed: &str) {
    let args = ["--seed", seed, "--seeds", "1", "--faults", "4", "--copies"];
    let (passed, verdict, text) = soak(&args);
    assert!(passed, "{text}");
    let faults = verdict["faults"].to_string();
    assert!(faults.contains("StoreReturnsFromCopy"), "{text}");
}

/// Guards against streams that were broken off and look complete: engines frame their streams in each
/// way, and their processes end in order.
#[test]
fn streams_of_ended_engines_cause_no_violations() {
    let args = ["--seed", "1798000004", "--seeds", "1", "--framings"];
    let (passed, verdict, text) = soak(&args);
    assert!(passed, "{text}");
    assert!(
        verdict["faults"].to_string().contains("EngineEnds"),
        "{text}"
    );
}

/// Guards against a request that crashes one upstream after the other. One caller repeats it under
/// faults: at least three upstreams crash, the request is refused from then on, and other callers
/// are still served.
#[test]
fn crashing_request_is_contained() {
    let args = [
        "--seed", "9102", "--seeds", "1", "--faults", "3", "--ending",
    ];
    let (passed, verdict, text) = soak(&args);
    assert!(passed, "{text}");
    assert!(verdict["ended_upstreams"].as_u64() >= Some(3), "{text}");
    assert!(verdict["whole"].as_u64() > Some(20), "{text}");
}

/// Guards against a part of prompts that crashes one engine after the other. One caller sends it in
/// requests that are never alike, under faults, and other callers share its first part: they are
/// still served.
#[test]
fn crashing_part_is_contained() {
    let args = ["--seed", "1803000023", "--seeds", "1", "--faults", "3"];
    let args = [&args[..], &["--ending-part"]].concat();
    let (passed, verdict, text) = soak(&args);
    assert!(passed, "{text}");
    assert!(verdict["ended_upstreams"].as_u64() >= Some(3), "{text}");
    assert!(verdict["whole"].as_u64() > Some(20), "{text}");
}

struct CorruptionCase {
    corruption: &'static str,
    seed: &'static str,
    /// The count that must be one.
    violation: &'static str,
}

/// Guards against checks that never fail: a response is corrupted before it is checked, and the
/// check for this kind of corruption must report it.
#[rstest]
#[case::event(CorruptionCase { corruption: "event", seed: "7011", violation: "doubled_or_missing" })]
#[case::id(CorruptionCase { corruption: "id", seed: "7012", violation: "crossed" })]
#[case::status(CorruptionCase { corruption: "status", seed: "7013", violation: "false_not_run" })]
#[case::end(CorruptionCase { corruption: "end", seed: "7014", violation: "cut" })]
fn corrupted_responses_are_detected(#[case] case: CorruptionCase) {
    let args = [
        "--seeds",
        "1",
        "--faults",
        "0",
        "--seed",
        case.seed,
        "--spoil",
        case.corruption,
    ];
    let (passed, verdict, text) = soak(&args);
    assert!(!passed, "{text}");
    assert_eq!(verdict[case.violation], 1, "{text}");
}

/// Guards against a host that crashes on its own and is not reported: the soak takes a child process
/// that it has not stopped for one that still runs, and never logs that it exited.
///
/// A script in place of the host's program kills the host as soon as its log shows a caller's
/// request, and no fault is injected.
#[test]
fn a_host_that_exits_on_its_own_is_reported() {
    let script = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("short-lived-host");
    // Callers' requests are named by the seed, 7411 in hexadecimal.
    let text = format!(
        "#!/bin/sh\n\
        (while ! grep -qs 1cf3- \"${{2%.yaml}}.log\"; do kill -0 $$ || exit; sleep 0.1; done\n\
        kill -KILL $$) &\n\
        exec {} \"$@\"\n",
        binary().display()
    );
    std::fs::write(&script, text).expect("write the script");
    let executable = std::os::unix::fs::PermissionsExt::from_mode(0o755);
    std::fs::set_permissions(&script, executable).expect("make the script executable");
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarpath-bench"))
        .args(["soak", "--seed", "7411", "--seeds", "1", "--hosts", "1"])
        .args(["--callers", "2", "--faults", "0", "--binary"])
        .arg(&script)
        .output()
        .expect("run fulmarpath-bench");
    let [text, log] = [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).unwrap());
    assert!(text.contains("\"not_served_again\":1"), "{text}{log}");
    let line = "host-0 exited without being stopped";
    assert!(log.contains(line) || text.contains(line), "{text}{log}");
}

/// Guards against lost, duplicated or mixed-up responses, and against callers without a response,
/// when more drafts arrive at once than the engines have slots and an engine slows down.
#[rstest]
#[case::surge("7305", "Surge")]
#[case::slow_engine("7302", "EngineSlows")]
fn surges_and_slow_engines_cause_no_violations(#[case] seed: &str, #[case] fault: &str) {
    let args = ["--seed", seed, "--seeds", "1", "--faults", "3", "--load"];
    let (passed, verdict, text) = soak(&args);
    assert!(passed, "{text}");
    assert!(verdict["faults"].to_string().contains(fault), "{text}");
}
