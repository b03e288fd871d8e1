//! Budgets of bytes that buffers hold in sum.

use std::time::Duration;

use fulmarpath_gateway::ByteBudget;
use rstest::rstest;
use tokio::time::timeout;

struct Hold {
    total_bytes: usize,
    held_bytes: usize,
    asked_bytes: usize,
    is_granted: bool,
}

/// Guards against buffers that exceed their budget in sum, and against one that uses a part of it
/// and waits for the rest for good.
#[rstest]
#[case::all_free(Hold { total_bytes: 10, held_bytes: 0, asked_bytes: 10, is_granted: true })]
#[case::just_enough(Hold { total_bytes: 10, held_bytes: 4, asked_bytes: 6, is_granted: true })]
#[case::one_too_many(Hold { total_bytes: 10, held_bytes: 4, asked_bytes: 7, is_granted: false })]
#[case::more_than_the_whole(Hold { total_bytes: 10, held_bytes: 0, asked_bytes: 11, is_granted: false })]
#[tokio::test(start_paused = true)]
async fn held_bytes_stay_within_the_budget(#[case] case: Hold) {
    let budget = ByteBudget::new(case.total_bytes);
    let first = budget.try_hold(case.held_bytes).expect("room");
    assert_eq!(budget.try_hold(case.asked_bytes).is_some(), case.is_granted);
    let waited = timeout(Duration::from_secs(1), budget.hold(case.asked_bytes)).await;
    assert_eq!(matches!(waited, Ok(Some(_))), case.is_granted);
    drop(first);
    drop(waited);
    let waited = timeout(Duration::from_secs(1), budget.hold(case.asked_bytes)).await;
    let fits = case.asked_bytes <= case.total_bytes;
    assert_eq!(waited.expect("an answer").is_some(), fits);
    assert_eq!(budget.held_bytes(), 0);
}
