//! Engines that fail a part of what they get while they say that they are well, in a steady stream of
//! generations.

use fulmarpath_policy::{RunEnd, RunKey, UpstreamKey, Verdict};
use rstest::rstest;

use crate::fixtures::{NEAR, cell, engine, engine_of, request};

const ENGINES: u64 = 6;
const SICK: u64 = 1;

struct Sickness {
    verdict: Verdict,
    /// One in so many of what it gets fails, as soon as it comes.
    fails_one_in: u64,
    /// The share of all generations that goes there at most; a sixth would be its even part.
    at_most: f32,
}

/// Guards against an engine that draws what comes because all it gets fails at once, and so looks empty.
#[rstest]
#[case::fails_all(Sickness { verdict: Verdict::Failed, fails_one_in: 1, at_most: 0.03 })]
#[case::fails_half(Sickness { verdict: Verdict::Failed, fails_one_in: 2, at_most: 0.05 })]
#[case::refuses_all(Sickness { verdict: Verdict::Shed, fails_one_in: 1, at_most: 0.04 })]
fn a_sick_engine_is_spared(#[case] case: Sickness) {
    let engines: Vec<_> = (1..=ENGINES).map(|key| engine(key, NEAR, false)).collect();
    let mut cell = cell(&engines);
    let mut running: Vec<(u64, RunKey)> = Vec::new();
    let (mut at_sick, mut all) = (0_u64, 0_u64);
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
        at_sick += u64::from(placed == SICK);
        if placed == SICK && at_sick.is_multiple_of(case.fails_one_in) {
            cell.record_failure(now_ms, UpstreamKey(SICK), case.verdict);
            cell.end(now_ms, key, RunEnd::default());
        } else {
            running.push((now_ms + 1_000, key));
        }
    }
    let share = at_sick as f32 / all as f32;
    assert!(share <= case.at_most, "{at_sick} of {all} went there");
    assert!(at_sick > 0, "it is tried again");
}

/// Guards against callers that are refused where every engine fails a part: what room there is is used.
#[test]
fn where_all_are_sick_the_last_call_is_served() {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    for _ in 0..8 {
        cell.record_failure(0, UpstreamKey(1), Verdict::Failed);
    }
    assert_eq!(engine_of(cell.place(0, &request(1, 400, 160, 90))), None);
    let mut last = request(1, 400, 160, 90);
    last.is_final_attempt = true;
    assert_eq!(engine_of(cell.place(0, &last)), Some(1));
}
