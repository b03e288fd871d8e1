//! What a cell's home learns of its answers' lengths, by what it then lets in.

use fulmarpath_policy::{Cell, PlacementRequest, RunEnd, RunKey, RunStatement};
use rstest::rstest;

use crate::fixtures::{ME, NEAR, cell, engine, engine_of, request, statement};

const LIMIT_TOKENS: u32 = 1_756;
const HINT_TOKENS: u32 = 100;
/// Answers that the home hears of before it is asked for room.
const HEARD: u64 = 200;

/// What a home has heard of answers that were guessed alike.
struct Heard {
    /// How many tokens those had that ended, and whether they were whole.
    ended: Option<RunEnd>,
    /// How many tokens as many others have that go on.
    running_tokens: Option<u32>,
    /// Generations that it lets in on one empty engine, at the least and at the most.
    lets_in: std::ops::RangeInclusive<usize>,
}

fn whole(out_tokens: u32) -> Option<RunEnd> {
    Some(RunEnd {
        out_tokens,
        is_complete: true,
        first_ms: None,
    })
}

fn cut(out_tokens: u32) -> Option<RunEnd> {
    Some(RunEnd {
        out_tokens,
        is_complete: false,
        first_ms: None,
    })
}

fn stated(run: u64, out_tokens: u32) -> RunStatement {
    RunStatement {
        hint_tokens: Some(HINT_TOKENS),
        ..statement(run, 2, out_tokens, LIMIT_TOKENS)
    }
}

fn hear(cell: &mut Cell, heard: &Heard) {
    let running = HEARD..2 * HEARD;
    let ended = 0..heard.ended.map_or(0, |_| HEARD);
    for out_tokens in [0, heard.running_tokens.unwrap_or_default()] {
        let running = running.clone().map(|run| stated(run, out_tokens));
        let ended = ended.clone().map(|run| stated(run, 0));
        let statements: Vec<RunStatement> = running.chain(ended).collect();
        cell.restate(100, ME, &statements);
    }
    for run in ended {
        cell.end(200, RunKey(run), heard.ended.unwrap_or_default());
    }
}

/// Prompts of 1,500 tokens come to an engine of 30,000, all at once, from callers who have time until they
/// are read. A home that has heard of nothing lets in sixteen, of short answers more, of long ones fewer.
/// Answers that were cut say nothing; and where as many go on for long as have ended soon, it isn't
/// misled by those that are over first.
#[rstest]
#[case::nothing(Heard { ended: None, running_tokens: None, lets_in: 16..=16 })]
#[case::short(Heard { ended: whole(20), running_tokens: None, lets_in: 19..=19 })]
#[case::long(Heard { ended: whole(1_700), running_tokens: None, lets_in: 13..=13 })]
#[case::cut(Heard { ended: cut(20), running_tokens: None, lets_in: 16..=16 })]
#[case::short_first(Heard { ended: whole(20), running_tokens: Some(900), lets_in: 13..=16 })]
fn room_is_kept_by_what_was_heard(#[case] heard: Heard) {
    let mut cell = cell(&[engine(1, NEAR, false), engine(2, NEAR, true)]);
    hear(&mut cell, &heard);
    let asked = (1_000..1_024).map(|run| PlacementRequest {
        max_wait_ms: 60_000,
        ..request(run, 1_500, LIMIT_TOKENS, HINT_TOKENS)
    });
    let placed = asked.map(|request| cell.place(2_000, &request));
    let let_in = placed.filter_map(engine_of).count();
    assert!(heard.lets_in.contains(&let_in), "{let_in}");
}
