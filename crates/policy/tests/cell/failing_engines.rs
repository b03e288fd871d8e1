//! Engines that fail some of their generations while they report themselves healthy, under a steady
//! load.

use fulmarpath_policy::{RunEnd, RunKey, UpstreamKey, Verdict};
use rstest::rstest;

use crate::fixtures::{LOCAL, cell, engine, engine_of, request};

const ENGINES: u64 = 6;
const FAILING: u64 = 1;

struct Failures {
    verdict: Verdict,
    /// One in this many of its generations fails immediately.
    fails_one_in: u64,
    /// Maximum share of all generations that are placed there; an even share would be a sixth.
    max_share: f32,
}

/// Guards against an engine that attracts all new work because its generations fail immediately and
/// it looks empty.
#[rstest]
#[case::fails_all(Failures { verdict: Verdict::Failed, fails_one_in: 1, max_share: 0.03 })]
#[case::fails_half(Failures { verdict: Verdict::Failed, fails_one_in: 2, max_share: 0.05 })]
#[case::refuses_all(Failures { verdict: Verdict::Shed, fails_one_in: 1, max_share: 0.04 })]
fn failing_engine_gets_less_work(#[case] case: Failures) {
    let engines: Vec<_> = (1..=ENGINES).map(|key| engine(key, LOCAL, false)).collect();
    let mut cell = cell(&engines);
    let mut running: Vec<(u64, RunKey)> = Vec::new();
    let (mut at_failing, mut all) = (0_u64, 0_u64);
    for (run, now_ms) in (0..60_000_u64).step_by(50).enumerate() {
        running.retain(|(until_ms, key)| {
            let is_over = *until_ms <= now_ms;
            if is_over {
                let out_tokens = 90;
                cell.end(
                    now_ms,
                    *key,
                    RunEnd {
                        out_tokens,
                        is_complete: true,
                        first_ms: None,
                    },
                );
            }
            !is_over
        });
        let key = RunKey(run as u64);
        let Some(placed) = engine_of(cell.place(now_ms, &request(key.0, 400, 160, 90))) else {
            continue;
        };
        all += 1;
        at_failing += u64::from(placed == FAILING);
        if placed == FAILING && at_failing.is_multiple_of(case.fails_one_in) {
            cell.record_failure(now_ms, UpstreamKey(FAILING), case.verdict);
            cell.end(now_ms, key, RunEnd::default());
        } else {
            running.push((now_ms + 1_000, key));
        }
    }
    let share = at_failing as f32 / all as f32;
    assert!(
        share <= case.max_share,
        "{at_failing} of {all} were placed on the failing engine"
    );
    assert!(at_failing > 0, "the failing engine is never retried");
}

/// Guards against refused callers when every engine fails some generations: the available room is
/// used.
#[test]
fn final_attempt_is_placed_if_all_engines_fail() {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    for _ in 0..8 {
        cell.record_failure(0, UpstreamKey(1), Verdict::Failed);
    }
    assert_eq!(engine_of(cell.place(0, &request(1, 400, 160, 90))), None);
    let mut last = request(1, 400, 160, 90);
    last.is_final_attempt = true;
    assert_eq!(engine_of(cell.place(0, &last)), Some(1));
}
