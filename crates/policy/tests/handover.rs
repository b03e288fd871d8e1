//! Whatever comes first of a stream's end and its generation's carry, the stream is read, waited for
//! or over.

use fulmarpath_policy::{CarryStep, Handover, Next, StreamEnd};
use rstest::rstest;

#[derive(Debug, Clone, Copy)]
enum Event {
    Begin,
    End(StreamEnd),
    Step(CarryStep),
}

use CarryStep::{Copied, NotStopped, Stopped};
use Event::{Begin, End, Step};
use StreamEnd::{Broken, Whole};

struct Course {
    events: &'static [Event],
    /// What the last of them calls for.
    next: Next,
}

/// An engine's stream ends or breaks before a carry, during its long copy, or while the engine is
/// told to stop; and the carry then stops the generation or does not. The caller gets the end of a
/// whole answer, or the generation goes on; it never waits for what can't come.
#[rstest]
#[case::ends(Course { events: &[End(Whole)], next: Next::Finish })]
#[case::breaks(Course { events: &[End(Broken)], next: Next::Recover })]
#[case::ends_while_copied(Course { events: &[Begin, End(Whole)], next: Next::Finish })]
#[case::breaks_while_copied(Course { events: &[Begin, End(Broken)], next: Next::Recover })]
#[case::not_stopped(Course { events: &[Begin, Step(NotStopped)], next: Next::Read })]
#[case::copied(Course { events: &[Begin, Step(Copied)], next: Next::Read })]
#[case::stopped(Course { events: &[Begin, Step(Copied), Step(Stopped)], next: Next::GoOn })]
#[case::refused_a_stop(Course { events: &[Begin, Step(Copied), Step(NotStopped)], next: Next::Read })]
#[case::ends_at_the_stop(Course { events: &[Begin, Step(Copied), End(Whole)], next: Next::AwaitCarry })]
#[case::breaks_at_the_stop(Course { events: &[Begin, Step(Copied), End(Broken)], next: Next::AwaitCarry })]
#[case::ended_by_the_stop(Course { events: &[Begin, Step(Copied), End(Whole), Step(Stopped)], next: Next::GoOn })]
#[case::broken_by_the_stop(Course { events: &[Begin, Step(Copied), End(Broken), Step(Stopped)], next: Next::GoOn })]
#[case::ended_by_itself(Course { events: &[Begin, Step(Copied), End(Whole), Step(NotStopped)], next: Next::Finish })]
#[case::broken_by_itself(Course { events: &[Begin, Step(Copied), End(Broken), Step(NotStopped)], next: Next::Recover })]
#[case::ends_after_a_carry(Course { events: &[Begin, Step(NotStopped), End(Whole)], next: Next::Finish })]
fn a_stream_has_a_next_step(#[case] course: Course) {
    let mut handover = Handover::default();
    let mut next = Next::Read;
    for event in course.events {
        next = play(&mut handover, *event);
    }
    assert_eq!(next, course.next);
}

fn play(handover: &mut Handover, event: Event) -> Next {
    match event {
        Begin => {
            handover.begin();
            Next::Read
        }
        End(end) => handover.end(end),
        Step(step) => handover.step(step),
    }
}

/// Every order of what can come, up to six events: where the next step is to read, the stream is
/// open; where it is to wait, a carry is under way that will come to something.
#[test]
fn no_course_waits_for_nothing() {
    let mut courses = vec![(Handover::default(), Next::Read, false)];
    let mut looked_at = 0;
    for _ in 0..6 {
        courses = courses.into_iter().flat_map(follow).collect();
        for (handover, next, carries) in &courses {
            looked_at += 1;
            match next {
                Next::Read => assert!(handover.reads(), "{handover:?}"),
                Next::AwaitCarry => assert!(*carries && !handover.reads(), "{handover:?}"),
                Next::Finish | Next::Recover | Next::GoOn => {}
            }
        }
    }
    assert!(looked_at > 50, "{looked_at} courses were looked at");
}

/// What may follow, with whether a carry is under way then.
fn follow((handover, next, carries): (Handover, Next, bool)) -> Vec<(Handover, Next, bool)> {
    let mut after = Vec::new();
    let mut add = |event: Event, carries: bool| {
        let mut later = handover;
        let next = play(&mut later, event);
        after.push((later, next, carries));
    };
    if matches!(next, Next::Finish | Next::Recover) {
        return after;
    }
    if next == Next::GoOn {
        let mut later = handover;
        later.restart();
        return vec![(later, Next::Read, false)];
    }
    if handover.reads() {
        add(End(Whole), carries);
        add(End(Broken), carries);
    }
    if handover.may_begin() {
        add(Begin, true);
    }
    if carries {
        add(Step(Copied), true);
        add(Step(NotStopped), false);
        add(Step(Stopped), false);
    }
    after
}
