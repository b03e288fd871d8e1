//! Many requests with long prompts and short answers, on engines that prefill faster or slower than
//! assumed.

use fulmarpath_policy::{Placement, RunEnd, RunKey};
use rstest::rstest;

use crate::fixtures::{LOCAL, cell, engine, request};

const PROMPT_TOKENS: u32 = 2_500;

/// Sends pairs of prompts to an engine that prefills `tokens_per_ms`, and returns how long the last
/// one is expected to wait for the one before it.
fn expected_wait_ms(tokens_per_ms: f32) -> f32 {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    let prefill_ms = (PROMPT_TOKENS as f32 / tokens_per_ms) as u64;
    let mut now_ms = 0;
    for pair in 0..400 {
        let mut waits_ms = [0; 2];
        for (place, wait_ms) in waits_ms.iter_mut().enumerate() {
            let mut placement_request = request(2 * pair + place as u64, PROMPT_TOKENS, 16, 8);
            // Allows an engine of any speed.
            placement_request.max_wait_ms = 60_000;
            if let Placement::On { seen, .. } = cell.place(now_ms, &placement_request) {
                *wait_ms = seen.prefill_wait_ms;
            }
        }
        if pair == 399 {
            return waits_ms[1] as f32;
        }
        for place in 0..2 {
            let end = RunEnd {
                out_tokens: 8,
                is_complete: true,
                first_ms: Some(prefill_ms * (place + 1)),
            };
            cell.end(now_ms, RunKey(2 * pair + place), end);
        }
        // Both prefills are done, whatever rate was assumed.
        now_ms += 60_000;
    }
    unreachable!("the last pair returns")
}

/// Guards against prompts that are sent to queues longer than they look, or that leave engines
/// idle, when the assumed prefill rate is that of a single build.
#[rstest]
#[case::a_quarter(2.0)]
#[case::a_half(3.5)]
#[case::as_assumed(7.0)]
#[case::twice(14.0)]
#[case::four_times(28.0)]
fn home_learns_the_prefill_rate(#[case] tokens_per_ms: f32) {
    let wait_ms = expected_wait_ms(tokens_per_ms);
    let prefill_ms = PROMPT_TOKENS as f32 / tokens_per_ms;
    let ratio = wait_ms / prefill_ms;
    assert!(
        (0.9..=1.1).contains(&ratio),
        "{wait_ms} ms instead of {prefill_ms}"
    );
}

/// Guards against a home that has run for days and no longer sees the prompts queued at an engine:
/// the time when they will be prefilled grows with the uptime, and a rounded time loses the wait.
#[rstest]
#[case::at_the_start(0)]
#[case::after_a_day(1)]
#[case::after_ten_days(10)]
#[case::after_thirty_days(30)]
fn prefill_queue_is_known_at_any_uptime(#[case] uptime_days: u64) {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    let now_ms = uptime_days * 24 * 3_600_000;
    let mut wait_ms = 0;
    for run in 0..6 {
        // 700 tokens are prefilled in 100 ms.
        let Placement::On { seen, .. } = cell.place(now_ms, &request(run, 700, 16, 8)) else {
            panic!("request {run} is not placed");
        };
        wait_ms = seen.prefill_wait_ms;
    }
    assert!(
        (450..=550).contains(&wait_ms),
        "{wait_ms} ms instead of 500"
    );
}
