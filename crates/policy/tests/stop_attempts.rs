//! How often an engine is asked to stop a generation that continues on another one.

use fulmarpath_policy::{Millis, StopAttempts, StopReply};
use rstest::rstest;

use StopReply::{NotRunning, Stopped, Undecided, Unreachable};

struct Attempt {
    /// Time since the first attempt.
    after_ms: Millis,
    reply: StopReply,
    is_repeated: bool,
}

/// Guards against an engine that works on because one attempt was lost, and against attempts that
/// go on at an engine that has ended or never answers.
#[rstest]
#[case::stopped(Attempt { after_ms: 10, reply: Stopped, is_repeated: false })]
#[case::not_running(Attempt { after_ms: 10, reply: NotRunning, is_repeated: false })]
#[case::unreachable(Attempt { after_ms: 10, reply: Unreachable, is_repeated: false })]
#[case::undecided(Attempt { after_ms: 10, reply: Undecided, is_repeated: true })]
#[case::undecided_after_a_timeout(Attempt { after_ms: 2_100, reply: Undecided, is_repeated: true })]
#[case::undecided_for_long(Attempt { after_ms: 2_500, reply: Undecided, is_repeated: false })]
fn an_undecided_stop_is_repeated(#[case] case: Attempt) {
    let attempts = StopAttempts::new(1_000);
    let retry_after_ms = attempts.retry_after_ms(1_000 + case.after_ms, case.reply);
    assert_eq!(retry_after_ms.is_some(), case.is_repeated);
}
