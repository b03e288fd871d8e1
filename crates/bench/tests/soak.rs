//! The soak, short: seeds that ever failed and one of each sort, and its checks when they must fail.

use std::path::PathBuf;
use std::process::Command;

use rstest::rstest;

/// The hosts' program; the workspace's tests build it beside the bench.
fn binary() -> PathBuf {
    let bench = PathBuf::from(env!("CARGO_BIN_EXE_fulmarpath-bench"));
    bench.with_file_name("fulmarpath")
}

fn soak(words: &[&str]) -> (bool, serde_json::Value, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarpath-bench"))
        .args(["soak", "--hosts", "3", "--callers", "6", "--binary"])
        .arg(binary())
        .args(words)
        .output()
        .expect("the bench runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let json = text.lines().rfind(|line| line.starts_with("{\"seed\""));
    let verdict = json.and_then(|line| serde_json::from_str(line).ok());
    (output.status.success(), verdict.unwrap_or_default(), text)
}

/// Hosts are killed, stopped and paused, the store and links misbehave and engines leave; callers
/// get their own answers, whole and once, and hear the truth where they get none.
#[test]
fn a_short_soak_finds_nothing() {
    let (fine, verdict, text) = soak(&["--seed", "7006", "--seeds", "1", "--faults", "3"]);
    assert!(fine, "{text}");
    assert!(verdict["whole"].as_u64() > Some(20), "{text}");
}

/// Engines start again under their names and other writers leave entries, beside the other faults.
#[rstest]
#[case::reborn("7102", "EngineReborn")]
#[case::foreign("7105", "ForeignEntries")]
fn a_short_soak_of_all_kinds_finds_nothing(#[case] seed: &str, #[case] fault: &str) {
    let words = [
        "--seed",
        seed,
        "--seeds",
        "1",
        "--faults",
        "4",
        "--all-kinds",
    ];
    let (fine, verdict, text) = soak(&words);
    assert!(fine, "{text}");
    assert!(verdict["faults"].to_string().contains(fault), "{text}");
}

/// A data centre is emptied and taken back, and an upstream comes back cold, beside other faults: nothing
/// reaches the emptied one after the bound, and the cold one gets no more than it bears.
#[test]
fn a_short_soak_of_the_latest_kinds_finds_nothing() {
    let words = [
        "--seed",
        "1796500005",
        "--seeds",
        "1",
        "--faults",
        "4",
        "--latest-kinds",
    ];
    let (fine, verdict, text) = soak(&words);
    assert!(fine, "{text}");
    let faults = verdict["faults"].to_string();
    assert!(
        faults.contains("Evacuation") && faults.contains("ColdReturn"),
        "{text}"
    );
}

struct Asking {
    seed: &'static str,
    faults: &'static str,
    fault: &'static str,
}

/// Guards against hosts that send an upstream more than it asks for in its answers.
#[rstest]
#[case::a_limit(Asking { seed: "1796700104", faults: "2", fault: "PlainNamesLimit" })]
#[case::leaving(Asking { seed: "1796700100", faults: "1", fault: "PlainSaysItLeaves" })]
#[case::rest(Asking { seed: "1796700002", faults: "2", fault: "PlainAsksForRest" })]
fn a_short_soak_of_upstreams_that_ask_for_less_finds_nothing(#[case] case: Asking) {
    let Asking { seed, faults, .. } = case;
    let words = ["--seed", seed, "--seeds", "1", "--faults", faults];
    let words = [&words[..], &["--backpressure"]].concat();
    let (fine, verdict, text) = soak(&words);
    assert!(fine, "{text}");
    assert!(verdict["faults"].to_string().contains(case.fault), "{text}");
}

/// Guards against hosts that take a store's earlier state for its latest once it has come back from a copy:
/// upstreams leave just before and just after, and hosts start in between.
#[rstest]
#[case::known_by_peers_alone("1796920024")]
#[case::of_each_sort("1796910005")]
fn a_short_soak_of_returns_from_a_copy_finds_nothing(#[case] seed: &str) {
    let words = ["--seed", seed, "--seeds", "1", "--faults", "4", "--copies"];
    let (fine, verdict, text) = soak(&words);
    assert!(fine, "{text}");
    let faults = verdict["faults"].to_string();
    assert!(faults.contains("StoreReturnsFromCopy"), "{text}");
}

/// One caller repeats a request that ends the plain upstream that begins to run it, beside faults: it
/// ends three and is refused from then on, and the other callers go on.
#[test]
fn a_short_soak_with_a_request_that_ends_upstreams() {
    let words = [
        "--seed", "9102", "--seeds", "1", "--faults", "3", "--ending",
    ];
    let (fine, verdict, text) = soak(&words);
    assert!(fine, "{text}");
    assert!(verdict["ended_upstreams"].as_u64() >= Some(3), "{text}");
    assert!(verdict["whole"].as_u64() > Some(20), "{text}");
}

struct Spoilt {
    what: &'static str,
    seed: &'static str,
    /// The count that must rise.
    violation: &'static str,
}

/// What a caller got is spoilt before it is judged: the check that is meant for it finds it.
#[rstest]
#[case::event(Spoilt { what: "event", seed: "7011", violation: "doubled_or_missing" })]
#[case::id(Spoilt { what: "id", seed: "7012", violation: "crossed" })]
#[case::status(Spoilt { what: "status", seed: "7013", violation: "false_not_run" })]
#[case::end(Spoilt { what: "end", seed: "7014", violation: "cut" })]
fn each_check_can_fail(#[case] case: Spoilt) {
    let words = [
        "--seeds", "1", "--faults", "0", "--seed", case.seed, "--spoil", case.what,
    ];
    let (fine, verdict, text) = soak(&words);
    assert!(!fine, "{text}");
    assert_eq!(verdict[case.violation], 1, "{text}");
}
