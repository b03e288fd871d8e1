//! Tests the claim log against races, lost answers and long pauses of a writer.

mod common;

use std::sync::Arc;

use common::FakeObjectApi;
use fulmarpath_cluster::{ClaimLog, ClaimSettings};
use fulmarpath_wire::{ClaimAnswer, ClaimRequest};
use rstest::rstest;

const SETTINGS: ClaimSettings = ClaimSettings {
    shards: 1,
    writes_per_s: 1_000,
    window_ms: 3_600_000,
    fold_segments: 4,
};

fn claim_log(api: &Arc<FakeObjectApi>) -> ClaimLog {
    ClaimLog::new(api.clone(), SETTINGS)
}

fn request(key: u128, generation: &str) -> ClaimRequest {
    ClaimRequest {
        key,
        request_hash: 1,
        generation: generation.to_owned(),
        supersedes: None,
    }
}

fn taken(generation: &str) -> ClaimAnswer {
    ClaimAnswer::Taken {
        generation: generation.to_owned(),
        same_request: true,
    }
}

/// Guards against a key that is claimed twice: two hosts both consider themselves the home of a
/// shard and get concurrent requests for the same keys. Exactly one claim per key succeeds.
#[tokio::test]
async fn concurrent_homes_claim_each_key_once() {
    let api = Arc::new(FakeObjectApi::default());
    let (one, other) = (claim_log(&api), claim_log(&api));
    for key in 0..200 {
        let (first, second) = tokio::join!(
            one.claim(request(key, &format!("one-{key}"))),
            other.claim(request(key, &format!("other-{key}"))),
        );
        let claims = [&first, &second].map(|answer| *answer == ClaimAnswer::Claimed);
        assert_eq!(
            claims.iter().filter(|is_claimed| **is_claimed).count(),
            1,
            "{first:?} {second:?}"
        );
    }
}

/// Guards against a key that is claimed twice after a pause. A writer claims one key and is paused,
/// while another writes until the segments, one of them with the key `7`, are folded into chunks
/// and deleted. The next number of the paused writer is then free again; without a check of the
/// fold it would claim `7` a second time.
#[tokio::test]
async fn writer_paused_past_a_fold_does_not_claim_twice() {
    let api = Arc::new(FakeObjectApi::default());
    let (paused, busy) = (claim_log(&api), claim_log(&api));
    assert_eq!(
        paused.claim(request(1, "first")).await,
        ClaimAnswer::Claimed
    );
    assert_eq!(busy.claim(request(7, "holder")).await, ClaimAnswer::Claimed);
    for key in 100..140 {
        assert_eq!(
            busy.claim(request(key, "later")).await,
            ClaimAnswer::Claimed
        );
    }
    let second = "fulmarpath/claims/0/00000000000000000002";
    assert!(
        !api.objects.lock().contains_key(second),
        "the segment should have been folded and deleted"
    );
    let first_attempt = paused.claim(request(7, "intruder")).await;
    assert_ne!(first_attempt, ClaimAnswer::Claimed);
    assert_eq!(paused.claim(request(7, "intruder")).await, taken("holder"));
}

/// Guards against claims that are lost at a restart: a new writer reads the whole log, including
/// its folded part, and knows each claim.
#[tokio::test]
async fn new_writer_reads_all_claims() {
    let api = Arc::new(FakeObjectApi::default());
    let old = claim_log(&api);
    for key in 0..30 {
        assert_eq!(
            old.claim(request(key, &format!("g-{key}"))).await,
            ClaimAnswer::Claimed
        );
    }
    let new = claim_log(&api);
    for key in 0..30 {
        assert_eq!(
            new.claim(request(key, "late")).await,
            taken(&format!("g-{key}"))
        );
    }
}

struct LostAnswers {
    answers: u32,
    expected: ClaimAnswer,
}

/// Guards against a claim that blocks its own generation: a write takes effect but its answer is
/// lost. The writer reads the segment back and finds its own records, or reports the outcome as
/// unknown. A repeated request of the same generation gets the claim.
#[rstest]
#[case(LostAnswers { answers: 1, expected: ClaimAnswer::Claimed })]
#[case(LostAnswers { answers: 2, expected: ClaimAnswer::Claimed })]
#[tokio::test]
async fn lost_answer_is_resolved_by_reading_back(#[case] case: LostAnswers) {
    let api = Arc::new(FakeObjectApi::default());
    *api.answers_to_lose.lock() = case.answers;
    let log = claim_log(&api);
    assert_eq!(log.claim(request(5, "mine")).await, case.expected);
    *api.answers_to_lose.lock() = 0;
    assert_eq!(log.claim(request(5, "mine")).await, ClaimAnswer::Claimed);
    assert_eq!(log.claim(request(5, "other")).await, taken("mine"));
}

/// While the API is down, a claim is reported as not made, and the key is free afterwards.
#[tokio::test]
async fn unavailable_api_makes_no_claim() {
    let api = Arc::new(FakeObjectApi::default());
    let log = claim_log(&api);
    *api.is_down.lock() = true;
    assert_eq!(log.claim(request(9, "mine")).await, ClaimAnswer::NotClaimed);
    *api.is_down.lock() = false;
    assert_eq!(log.claim(request(9, "other")).await, ClaimAnswer::Claimed);
}

/// After a generation was declared as never run, one successor may replace its claim. A second
/// successor that names the same generation may not.
#[tokio::test]
async fn one_successor_replaces_a_generation_that_never_ran() {
    let api = Arc::new(FakeObjectApi::default());
    let log = claim_log(&api);
    assert_eq!(
        log.claim(request(3, "never-ran")).await,
        ClaimAnswer::Claimed
    );
    let successor = |generation: &str| ClaimRequest {
        supersedes: Some("never-ran".to_owned()),
        ..request(3, generation)
    };
    assert_eq!(log.claim(successor("one")).await, ClaimAnswer::Claimed);
    assert_eq!(log.claim(successor("two")).await, taken("one"));
}
