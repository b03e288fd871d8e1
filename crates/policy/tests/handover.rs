//! In any order of a stream's end and its generation's migration, the stream is read, waited for or
//! finished.

use fulmarpath_policy::{Handover, MigrationStep, NextStep, StreamEnd};
use rstest::rstest;

#[derive(Debug, Clone, Copy)]
enum Event {
    Begin,
    End(StreamEnd),
    Step(MigrationStep),
}

use Event::{Begin, End, Step};
use MigrationStep::{Copied, NotStopped, Stopped};
use StreamEnd::{Broken, Complete};

struct Sequence {
    events: &'static [Event],
    /// The step after the last event.
    next: NextStep,
}

/// Guards against a caller that waits forever. The engine's stream ends or breaks before a
/// migration, during its long copy, or during the stop; and the migration then stops the generation
/// or does not. The caller gets the end of a complete answer, or the generation continues.
#[rstest]
#[case::ends(Sequence { events: &[End(Complete)], next: NextStep::Finish })]
#[case::breaks(Sequence { events: &[End(Broken)], next: NextStep::Recover })]
#[case::ends_during_the_copy(Sequence { events: &[Begin, End(Complete)], next: NextStep::Finish })]
#[case::breaks_during_the_copy(Sequence { events: &[Begin, End(Broken)], next: NextStep::Recover })]
#[case::not_stopped(Sequence { events: &[Begin, Step(NotStopped)], next: NextStep::Read })]
#[case::copied(Sequence { events: &[Begin, Step(Copied)], next: NextStep::Read })]
#[case::stopped(Sequence { events: &[Begin, Step(Copied), Step(Stopped)], next: NextStep::Resume })]
#[case::stop_refused(Sequence { events: &[Begin, Step(Copied), Step(NotStopped)], next: NextStep::Read })]
#[case::ends_at_the_stop(Sequence { events: &[Begin, Step(Copied), End(Complete)], next: NextStep::AwaitMigration })]
#[case::breaks_at_the_stop(Sequence { events: &[Begin, Step(Copied), End(Broken)], next: NextStep::AwaitMigration })]
#[case::ended_by_the_stop(Sequence { events: &[Begin, Step(Copied), End(Complete), Step(Stopped)], next: NextStep::Resume })]
#[case::broken_by_the_stop(Sequence { events: &[Begin, Step(Copied), End(Broken), Step(Stopped)], next: NextStep::Resume })]
#[case::ended_by_itself(Sequence { events: &[Begin, Step(Copied), End(Complete), Step(NotStopped)], next: NextStep::Finish })]
#[case::broken_by_itself(Sequence { events: &[Begin, Step(Copied), End(Broken), Step(NotStopped)], next: NextStep::Recover })]
#[case::ends_after_a_migration(Sequence { events: &[Begin, Step(NotStopped), End(Complete)], next: NextStep::Finish })]
fn selects_the_next_step(#[case] sequence: Sequence) {
    let mut handover = Handover::default();
    let mut next = NextStep::Read;
    for event in sequence.events {
        next = apply(&mut handover, *event);
    }
    assert_eq!(next, sequence.next);
}

fn apply(handover: &mut Handover, event: Event) -> NextStep {
    match event {
        Begin => {
            handover.begin_migration();
            NextStep::Read
        }
        End(end) => handover.end_stream(end),
        Step(step) => handover.advance_migration(step),
    }
}

/// Checks every order of events up to six: if the next step is to read, the stream is open; if it
/// is to wait, a migration is in progress that will report an outcome.
#[test]
fn no_sequence_waits_without_cause() {
    let mut sequences = vec![(Handover::default(), NextStep::Read, false)];
    let mut checked = 0;
    for _ in 0..6 {
        sequences = sequences.into_iter().flat_map(successors).collect();
        for (handover, next, is_migrating) in &sequences {
            checked += 1;
            match next {
                NextStep::Read => assert!(handover.is_stream_open(), "{handover:?}"),
                NextStep::AwaitMigration => {
                    assert!(*is_migrating && !handover.is_stream_open(), "{handover:?}")
                }
                NextStep::Finish | NextStep::Recover | NextStep::Resume => {}
            }
        }
    }
    assert!(checked > 50, "{checked} sequences were checked");
}

/// The states that may follow, with whether a migration is in progress in each.
fn successors(
    (handover, next, is_migrating): (Handover, NextStep, bool),
) -> Vec<(Handover, NextStep, bool)> {
    let mut after = Vec::new();
    let mut add = |event: Event, is_migrating: bool| {
        let mut later = handover;
        let next = apply(&mut later, event);
        after.push((later, next, is_migrating));
    };
    if matches!(next, NextStep::Finish | NextStep::Recover) {
        return after;
    }
    if next == NextStep::Resume {
        let mut later = handover;
        later.restart();
        return vec![(later, NextStep::Read, false)];
    }
    if handover.is_stream_open() {
        add(End(Complete), is_migrating);
        add(End(Broken), is_migrating);
    }
    if handover.can_begin_migration() {
        add(Begin, true);
    }
    if is_migrating {
        add(Step(Copied), true);
        add(Step(NotStopped), false);
        add(Step(Stopped), false);
    }
    after
}
