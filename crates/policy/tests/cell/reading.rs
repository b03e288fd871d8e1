//! Many short requests with long prompts, before engines that read faster or slower than was assumed.

use fulmarpath_policy::{Placement, RunEnd, RunKey};
use rstest::rstest;

use crate::fixtures::{NEAR, cell, engine, request};

const PROMPT_TOKENS: u32 = 2_500;

/// One prompt after another comes to two engines that read `tokens_per_ms`; how long the last one is
/// expected to wait behind the one before it.
fn expected_wait_ms(tokens_per_ms: f32) -> f32 {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    let read_ms = (PROMPT_TOKENS as f32 / tokens_per_ms) as u64;
    let mut now_ms = 0;
    for pair in 0..400 {
        let mut waits_ms = [0; 2];
        for (place, wait_ms) in waits_ms.iter_mut().enumerate() {
            let mut asked = request(2 * pair + place as u64, PROMPT_TOKENS, 16, 8);
            // An engine however slow is taken.
            asked.max_wait_ms = 60_000;
            if let Placement::On { seen, .. } = cell.place(now_ms, &asked) {
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
                first_ms: Some(read_ms * (place + 1)),
            };
            cell.end(now_ms, RunKey(2 * pair + place), end);
        }
        // Both have been read, at whatever rate was assumed.
        now_ms += 60_000;
    }
    unreachable!("the last pair returns")
}

/// Guards against prompts that are sent to queues which are longer than they look, or that leave engines
/// idle: the rate at which a cell's engines read was once a figure of one build.
#[rstest]
#[case::a_quarter(2.0)]
#[case::a_half(3.5)]
#[case::as_assumed(7.0)]
#[case::twice(14.0)]
#[case::four_times(28.0)]
fn the_home_learns_how_fast_engines_read(#[case] tokens_per_ms: f32) {
    let wait_ms = expected_wait_ms(tokens_per_ms);
    let read_ms = PROMPT_TOKENS as f32 / tokens_per_ms;
    let off = wait_ms / read_ms;
    assert!(
        (0.9..=1.1).contains(&off),
        "{wait_ms} ms in place of {read_ms}"
    );
}
