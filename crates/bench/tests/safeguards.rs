//! A proof that can't fail proves nothing: with a safeguard taken away, the fault run must find
//! violations of its kind; with all in place, none.

use std::process::Command;

use rstest::rstest;

struct Case {
    safeguard: &'static str,
    fault: &'static str,
    /// The count that must rise.
    violation: &'static str,
}

fn faults(words: &[&str]) -> (bool, serde_json::Value) {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarpath-bench"))
        .args([
            "faults",
            "--rounds",
            "2",
            "--at-once",
            "2",
            "--requests",
            "30",
        ])
        .args(words)
        .output()
        .expect("the bench runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let last = text.lines().last().unwrap_or_default();
    let verdict = serde_json::from_str(last).unwrap_or_default();
    (output.status.success(), verdict)
}

#[rstest]
#[case(Case { safeguard: "token-owner", fault: "strangers_tokens", violation: "crossed" })]
#[case(Case { safeguard: "token-index", fault: "resumes_too_early", violation: "doubled" })]
#[case(Case { safeguard: "silence", fault: "connections_go_silent", violation: "lost" })]
#[case(Case { safeguard: "claim", fault: "preset_switched", violation: "ran_twice" })]
#[case(Case { safeguard: "plain-once", fault: "plain_answers_lost", violation: "ran_twice" })]
#[case(Case { safeguard: "not-run-proof", fault: "plain_answers_lost", violation: "false_not_run" })]
#[case(Case { safeguard: "revision-grows", fault: "old_announcement", violation: "reverted" })]
#[case(Case { safeguard: "spread", fault: "platform_down_after_change", violation: "late_in_force" })]
#[case(Case { safeguard: "leaving", fault: "engine_leaves", violation: "late_to_leaving" })]
#[case(Case { safeguard: "drain", fault: "host_stopped", violation: "cut_by_stop" })]
fn its_absence_is_found(#[case] case: Case) {
    let (_, whole) = faults(&["--fault", case.fault]);
    assert_eq!(whole[case.violation], 0, "{}: {whole}", case.fault);
    let (found, broken) = faults(&["--fault", case.fault, "--break", case.safeguard]);
    assert!(found, "{}: {broken}", case.safeguard);
    let count = broken[case.violation].as_u64().unwrap_or(0);
    assert!(count > 0, "{}: {broken}", case.safeguard);
}

#[test]
fn a_drawn_run_finds_nothing() {
    let (fine, verdict) = faults(&["--seed", "40"]);
    assert!(fine, "{verdict}");
    assert!(verdict["answered"].as_u64() > Some(50), "{verdict}");
}

/// A host has stopped and the platform is down, so keyed callers are refused everywhere until they
/// give up. Each has been told "not run" by a host that answered, also where the last door it
/// tried was the stopped host's.
#[rstest]
#[case::two_gave_up_at_a_closed_door("1796240317")]
#[case::five_gave_up_at_a_closed_door("1796240382")]
fn seeds_that_once_failed(#[case] seed: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarpath-bench"))
        .args(["faults", "--rounds", "1", "--seed", seed])
        .output()
        .expect("the bench runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
}
