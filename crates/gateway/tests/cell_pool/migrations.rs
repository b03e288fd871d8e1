//! Generations of leaving engines for which the home of a cell looks for another cell.

use std::sync::Arc;
use std::time::Duration;

use fulmarpath_gateway::{CellPools, OtherHomes, Reservation};
use fulmarpath_policy::{
    HostKey, IncomingMigration, MigrationOutcome, OrganisationKey, RunKey, RunStatement,
    UpstreamKey,
};
use rstest::rstest;
use tokio::time::sleep;

use crate::fakes::{FakeCell, FakeHomes, OWN, OwnState, TAKEN, on, request};

fn outgoing() -> IncomingMigration {
    IncomingMigration {
        statement: RunStatement {
            run: RunKey(9),
            organisation: OrganisationKey(0),
            engine: UpstreamKey(1),
            backup: None,
            prompt_tokens: 1_000,
            out_tokens: 50,
            limit_tokens: 600,
            hint_tokens: None,
            gap_target_ms: None,
            longest_pause_ms: 0,
            priority: 0,
        },
        host: HostKey(7),
        data_centre: 1,
        left_ms: 1_500,
    }
}

struct MigrationCase {
    others: usize,
    reservations: &'static [(u64, Option<Reservation>)],
    expected: Option<UpstreamKey>,
    /// Whether another home is told that the generation does not come.
    is_finished: bool,
}

const RESERVED: Reservation = Reservation::At(UpstreamKey(200));
const MIGRATION_CASE: MigrationCase = MigrationCase {
    others: 3,
    reservations: &[],
    expected: None,
    is_finished: false,
};

/// Guards against a generation that stays on its leaving engine because one home has no room or does
/// not answer, and against memory that stays reserved after an answer that came too late.
#[rstest]
#[case::single_cell(MigrationCase { others: 0, ..MIGRATION_CASE })]
#[case::reserved(MigrationCase {
    reservations: &[(1, Some(RESERVED))],
    expected: Some(UpstreamKey(200)),
    ..MIGRATION_CASE
})]
#[case::reserved_by_the_second(MigrationCase {
    reservations: &[(1, Some(Reservation::Declined)), (1, Some(RESERVED))],
    expected: Some(UpstreamKey(200)),
    ..MIGRATION_CASE
})]
#[case::home_is_gone(MigrationCase {
    reservations: &[(0, None), (1, Some(RESERVED))],
    expected: Some(UpstreamKey(200)),
    ..MIGRATION_CASE
})]
#[case::declined_twice(MigrationCase {
    reservations: &[(1, Some(Reservation::Declined)), (1, Some(Reservation::Declined))],
    ..MIGRATION_CASE
})]
#[case::answer_comes_late(MigrationCase {
    reservations: &[(60, Some(RESERVED)), (1, Some(Reservation::Declined))],
    is_finished: true,
    ..MIGRATION_CASE
})]
#[tokio::test(start_paused = true)]
async fn reserves_by_the_answers(#[case] case: MigrationCase) {
    let own = FakeCell::new(OwnState::Full, case.others);
    let fake = FakeHomes::with(&[], case.reservations);
    let homes: Arc<dyn OtherHomes> = fake.clone();
    let pools = CellPools::default();
    let reserved = pools.reserve(own.as_ref(), &homes, OWN, outgoing()).await;
    assert_eq!(reserved.map(|(_, to)| to), case.expected);
    assert_eq!(fake.asked.lock().len(), case.reservations.len());
    sleep(Duration::from_millis(200)).await;
    let finished = case.is_finished.then_some(MigrationOutcome::NotMoved);
    assert_eq!(*fake.finished.lock(), Vec::from_iter(finished));
}

/// Guards against requests that are refused because a cell could not take a migration, which needs
/// more room and an idle link.
#[tokio::test(start_paused = true)]
async fn migrations_and_requests_are_declined_apart() {
    let own = FakeCell::new(OwnState::Full, 1);
    let fake = FakeHomes::with(&[(1, Some(TAKEN))], &[(1, Some(Reservation::Declined))]);
    let homes: Arc<dyn OtherHomes> = fake.clone();
    let pools = CellPools::default();
    let reserved = pools.reserve(own.as_ref(), &homes, OWN, outgoing()).await;
    assert_eq!(reserved, None);
    let placement = pools.place(own.clone(), homes, OWN, request(10)).await;
    assert_eq!(placement, on(200));
}
