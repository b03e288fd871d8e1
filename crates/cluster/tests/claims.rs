//! The claim log against races, lost answers and writers that were paused for long.

mod common;

use std::sync::Arc;

use common::Fake;
use fulmarpath_cluster::{ClaimLog, ClaimSettings};
use fulmarpath_wire::{ClaimAnswer, ClaimRequest};
use rstest::rstest;

const SETTINGS: ClaimSettings = ClaimSettings {
    shards: 1,
    writes_per_s: 1_000,
    window_ms: 3_600_000,
    fold_segments: 4,
};

fn log(api: &Arc<Fake>) -> ClaimLog {
    ClaimLog::new(api.clone(), SETTINGS)
}

fn ask(key: u128, generation: &str) -> ClaimRequest {
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

/// Two hosts believe to be home of one shard and are asked for the same keys at the same time:
/// for each key exactly one generation holds the claim, and both say the same one.
#[tokio::test]
async fn two_homes_agree_on_each_key() {
    let api = Arc::new(Fake::default());
    let (one, other) = (log(&api), log(&api));
    for key in 0..200 {
        let (first, second) = tokio::join!(
            one.claim(ask(key, &format!("one-{key}"))),
            other.claim(ask(key, &format!("other-{key}"))),
        );
        let claims = [&first, &second].map(|answer| *answer == ClaimAnswer::Claimed);
        assert_eq!(
            claims.iter().filter(|is_claimed| **is_claimed).count(),
            1,
            "{first:?} {second:?}"
        );
    }
}

/// A writer claims one key and is then paused. Another goes on for so long that the segments are
/// folded into chunks and removed, among them one with the key `7`. When the paused one wakes, the
/// number it would write next is free again; without a look at the fold it would claim `7` a
/// second time.
#[tokio::test]
async fn a_writer_paused_past_a_fold_claims_nothing_twice() {
    let api = Arc::new(Fake::default());
    let (paused, busy) = (log(&api), log(&api));
    assert_eq!(paused.claim(ask(1, "first")).await, ClaimAnswer::Claimed);
    assert_eq!(busy.claim(ask(7, "holder")).await, ClaimAnswer::Claimed);
    for key in 100..140 {
        assert_eq!(busy.claim(ask(key, "later")).await, ClaimAnswer::Claimed);
    }
    let second = "fulmarpath/claims/0/00000000000000000002";
    assert!(
        !api.objects.lock().contains_key(second),
        "the segment is folded away"
    );
    let first_try = paused.claim(ask(7, "intruder")).await;
    assert_ne!(first_try, ClaimAnswer::Claimed);
    assert_eq!(paused.claim(ask(7, "intruder")).await, taken("holder"));
}

/// A host starts and reads the log anew, folded part and all: it knows each claim.
#[tokio::test]
async fn a_new_writer_knows_all_claims() {
    let api = Arc::new(Fake::default());
    let old = log(&api);
    for key in 0..30 {
        assert_eq!(
            old.claim(ask(key, &format!("g-{key}"))).await,
            ClaimAnswer::Claimed
        );
    }
    let new = log(&api);
    for key in 0..30 {
        assert_eq!(
            new.claim(ask(key, "late")).await,
            taken(&format!("g-{key}"))
        );
    }
}

struct Lost {
    answers: u32,
    first: ClaimAnswer,
}

/// Writes take effect and their answers are lost: the writer reads back and finds its own records,
/// or says that it doesn't know; asked again by the same generation, the claim is its own.
#[rstest]
#[case(Lost { answers: 1, first: ClaimAnswer::Claimed })]
#[case(Lost { answers: 2, first: ClaimAnswer::Claimed })]
#[tokio::test]
async fn a_lost_answer_is_read_back(#[case] case: Lost) {
    let api = Arc::new(Fake::default());
    *api.lose_answers.lock() = case.answers;
    let log = log(&api);
    assert_eq!(log.claim(ask(5, "mine")).await, case.first);
    *api.lose_answers.lock() = 0;
    assert_eq!(log.claim(ask(5, "mine")).await, ClaimAnswer::Claimed);
    assert_eq!(log.claim(ask(5, "other")).await, taken("mine"));
}

/// The API is down: the claim is certainly not made, and the key is free afterwards.
#[tokio::test]
async fn a_down_api_claims_nothing() {
    let api = Arc::new(Fake::default());
    let log = log(&api);
    *api.down.lock() = true;
    assert_eq!(log.claim(ask(9, "mine")).await, ClaimAnswer::NotClaimed);
    *api.down.lock() = false;
    assert_eq!(log.claim(ask(9, "other")).await, ClaimAnswer::Claimed);
}

/// The holder declared that its generation never ran: one follower may take its place, a second
/// that saw the same holder may not.
#[tokio::test]
async fn one_follower_takes_the_place_of_what_never_ran() {
    let api = Arc::new(Fake::default());
    let log = log(&api);
    assert_eq!(log.claim(ask(3, "never-ran")).await, ClaimAnswer::Claimed);
    let follow = |generation: &str| ClaimRequest {
        supersedes: Some("never-ran".to_owned()),
        ..ask(3, generation)
    };
    assert_eq!(log.claim(follow("one")).await, ClaimAnswer::Claimed);
    assert_eq!(log.claim(follow("two")).await, taken("one"));
}
