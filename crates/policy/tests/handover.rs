//! Whatever comes first of a stream's end and its generation's carry, the stream is read, waited for
//! or over.

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

struct Course {
    events: &'static [Event],
    /// What the last of them calls for.
    next: NextStep,
}

/// An engine's stream ends or breaks before a carry, during its long copy, or while the engine is
/// told to stop; and the carry then stops the generation or does not. The caller gets the end of a
/// whole answer, or the generation goes on; it never waits for what can't come.
#[rstest]
#[case::ends(Course { events: &[End(Complete)], next: NextStep::Finish })]
#[case::breaks(Course { events: &[End(Broken)], next: NextStep::Recover })]
#[case::ends_while_copied(Course { events: &[Begin, End(Complete)], next: NextStep::Finish })]
#[case::breaks_while_copied(Course { events: &[Begin, End(Broken)], next: NextStep::Recover })]
#[case::not_stopped(Course { events: &[Begin, Step(NotStopped)], next: NextStep::Read })]
#[case::copied(Course { events: &[Begin, Step(Copied)], next: NextStep::Read })]
#[case::stopped(Course { events: &[Begin, Step(Copied), Step(Stopped)], next: NextStep::Resume })]
#[case::refused_a_stop(Course { events: &[Begin, Step(Copied), Step(NotStopped)], next: NextStep::Read })]
#[case::ends_at_the_stop(Course { events: &[Begin, Step(Copied), End(Complete)], next: NextStep::AwaitMigration })]
#[case::breaks_at_the_stop(Course { events: &[Begin, Step(Copied), End(Broken)], next: NextStep::AwaitMigration })]
#[case::ended_by_the_stop(Course { events: &[Begin, Step(Copied), End(Complete), Step(Stopped)], next: NextStep::Resume })]
#[case::broken_by_the_stop(Course { events: &[Begin, Step(Copied), End(Broken), Step(Stopped)], next: NextStep::Resume })]
#[case::ended_by_itself(Course { events: &[Begin, Step(Copied), End(Complete), Step(NotStopped)], next: NextStep::Finish })]
#[case::broken_by_itself(Course { events: &[Begin, Step(Copied), End(Broken), Step(NotStopped)], next: NextStep::Recover })]
#[case::ends_after_a_carry(Course { events: &[Begin, Step(NotStopped), End(Complete)], next: NextStep::Finish })]
fn a_stream_has_a_next_step(#[case] course: Course) {
    let mut handover = Handover::default();
    let mut next = NextStep::Read;
    for event in course.events {
        next = play(&mut handover, *event);
    }
    assert_eq!(next, course.next);
}

fn play(handover: &mut Handover, event: Event) -> NextStep {
    match event {
        Begin => {
            handover.begin_migration();
            NextStep::Read
        }
        End(end) => handover.end_stream(end),
        Step(step) => handover.advance_migration(step),
    }
}

/// Every order of what can come, up to six events: where the next step is to read, the stream is
/// open; where it is to wait, a carry is under way that will come to something.
#[test]
fn no_course_waits_for_nothing() {
    let mut courses = vec![(Handover::default(), NextStep::Read, false)];
    let mut looked_at = 0;
    for _ in 0..6 {
        courses = courses.into_iter().flat_map(follow).collect();
        for (handover, next, carries) in &courses {
            looked_at += 1;
            match next {
                NextStep::Read => assert!(handover.is_stream_open(), "{handover:?}"),
                NextStep::AwaitMigration => {
                    assert!(*carries && !handover.is_stream_open(), "{handover:?}")
                }
                NextStep::Finish | NextStep::Recover | NextStep::Resume => {}
            }
        }
    }
    assert!(looked_at > 50, "{looked_at} courses were looked at");
}

/// What may follow, with whether a carry is under way then.
fn follow(
    (handover, next, carries): (Handover, NextStep, bool),
) -> Vec<(Handover, NextStep, bool)> {
    let mut after = Vec::new();
    let mut add = |event: Event, carries: bool| {
        let mut later = handover;
        let next = play(&mut later, event);
        after.push((later, next, carries));
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
        add(End(Complete), carries);
        add(End(Broken), carries);
    }
    if handover.can_begin_migration() {
        add(Begin, true);
    }
    if carries {
        add(Step(Copied), true);
        add(Step(NotStopped), false);
        add(Step(Stopped), false);
    }
    after
}
