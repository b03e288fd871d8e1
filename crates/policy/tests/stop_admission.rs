//! Which requests a stopping host still accepts.

use fulmarpath_policy::{LateRequest, LongestResponses, Millis, can_finish_generation};
use rstest::rstest;

/// When the host sends its last responses.
const LAST_MS: Millis = 10_000;

struct Late {
    now_ms: Millis,
    deadline_ms: Millis,
    is_repeatable: bool,
    longest_ms: Option<Millis>,
    expected: bool,
}

/// Guards against a request that the end of its host cuts, and against one that is refused although
/// it ends before.
#[rstest]
#[case::deadline_before_the_end(Late { now_ms: 8_000, deadline_ms: 10_000, is_repeatable: false, longest_ms: None, expected: true })]
#[case::deadline_after_the_end(Late { now_ms: 8_000, deadline_ms: 10_001, is_repeatable: false, longest_ms: None, expected: false })]
#[case::once_and_usually_short(Late { now_ms: 8_000, deadline_ms: 14_000, is_repeatable: false, longest_ms: Some(100), expected: false })]
#[case::repeatable_and_usually_short(Late { now_ms: 8_000, deadline_ms: 14_000, is_repeatable: true, longest_ms: Some(100), expected: true })]
#[case::repeatable_and_just_in_time(Late { now_ms: 8_000, deadline_ms: 14_000, is_repeatable: true, longest_ms: Some(1_600), expected: true })]
#[case::repeatable_and_too_long(Late { now_ms: 8_000, deadline_ms: 14_000, is_repeatable: true, longest_ms: Some(1_604), expected: false })]
#[case::repeatable_and_unknown(Late { now_ms: 8_000, deadline_ms: 14_000, is_repeatable: true, longest_ms: None, expected: false })]
fn accepts_what_ends_in_time(#[case] case: Late) {
    let request = LateRequest {
        deadline_ms: case.deadline_ms,
        is_repeatable: case.is_repeatable,
        longest_ms: case.longest_ms,
    };
    assert_eq!(request.can_finish(case.now_ms, LAST_MS), case.expected);
}

/// Guards against a generation that is cut although its output limit shows that it may be.
#[rstest]
#[case::short(100, true)]
#[case::just_in_time(406, true)]
#[case::long(407, false)]
fn accepts_generations_by_their_limit(#[case] limit_tokens: u32, #[case] expected: bool) {
    let now_ms = 2_000;
    assert_eq!(
        can_finish_generation(now_ms, LAST_MS, limit_tokens),
        expected
    );
}

struct Recorded {
    /// Time of each response and how long it took.
    responses: &'static [(Millis, Millis)],
    now_ms: Millis,
    expected: Option<Millis>,
}

/// Guards against a long response that is forgotten at once, and one that counts for good.
#[rstest]
#[case::none(Recorded { responses: &[], now_ms: 0, expected: None })]
#[case::longest(Recorded { responses: &[(0, 30), (10, 500), (20, 40)], now_ms: 30, expected: Some(500) })]
#[case::of_the_window_before(Recorded { responses: &[(59_000, 500), (61_000, 40)], now_ms: 62_000, expected: Some(500) })]
#[case::outdated(Recorded { responses: &[(59_000, 500), (61_000, 40), (122_000, 30)], now_ms: 122_000, expected: Some(40) })]
#[case::after_a_pause(Recorded { responses: &[(59_000, 500)], now_ms: 180_000, expected: None })]
fn remembers_the_longest_response_of_late(#[case] case: Recorded) {
    let mut longest = LongestResponses::default();
    for (at_ms, took_ms) in case.responses {
        longest.record(*at_ms, "reports", *took_ms);
    }
    assert_eq!(longest.longest_ms(case.now_ms, "reports"), case.expected);
    assert_eq!(longest.longest_ms(case.now_ms, "checks"), None);
}
