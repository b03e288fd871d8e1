//! Guards against checks that never fail: with a safeguard disabled, the fault run must report
//! violations of its kind; with all safeguards enabled, none.

use std::process::Command;

use rstest::rstest;

struct Case {
    safeguard: &'static str,
    fault: &'static str,
    /// The count that must be above zero.
    violation: &'static str,
}

fn run_faults(args: &[&str]) -> (bool, serde_json::Value) {
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
        .args(args)
        .output()
        .expect("run fulmarpath-bench");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let last_line = text.lines().last().unwrap_or_default();
    let verdict = serde_json::from_str(last_line).unwrap_or_default();
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
fn disabled_safeguard_is_detected(#[case] case: Case) {
    let (_, intact) = run_faults(&["--fault", case.fault]);
    assert_eq!(intact[case.violation], 0, "{}: {intact}", case.fault);
    let (is_detected, broken) = run_faults(&["--fault", case.fault, "--break", case.safeguard]);
    assert!(is_detected, "{}: {broken}", case.safeguard);
    let count = broken[case.violation].as_u64().unwrap_or(0);
    assert!(count > 0, "{}: {broken}", case.safeguard);
}

#[test]
fn random_faults_cause_no_violations() {
    let (passed, verdict) = run_faults(&["--seed", "40"]);
    assert!(passed, "{verdict}");
    assert!(verdict["answered"].as_u64() > Some(50), "{verdict}");
}

/// Guards against counting refused callers as lost. A host has stopped and the platform is down, so
/// all hosts refuse keyed callers until they give up. Each caller has a "not run" response from a
/// running host, even if its last attempt met the closed port of the stopped host.
#[rstest]
#[case::two_callers_end_at_closed_port("1796240317")]
#[case::five_callers_end_at_closed_port("1796240382")]
fn refused_callers_are_not_lost(#[case] seed: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarpath-bench"))
        .args(["faults", "--rounds", "1", "--seed", seed])
        .output()
        .expect("run fulmarpath-bench");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
}
