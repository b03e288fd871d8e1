//! Answer lengths learned by a cell's home, as shown by the number of generations it places.

use fulmarpath_policy::{Cell, PlacementRequest, RunEnd, RunKey, RunStatement};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, cell, engine, engine_of, request, statement};

const LIMIT_TOKENS: u32 = 1_756;
const HINT_TOKENS: u32 = 100;
/// Answers observed by the home before it gets placement requests.
const OBSERVED: u64 = 200;

/// Observed answers with the same hint.
struct Observed {
    /// Length of the answers that ended, and whether they were complete.
    ended: Option<RunEnd>,
    /// Length of as many other answers that are still running.
    running_tokens: Option<u32>,
    /// Generations that are placed on one empty engine.
    admitted: std::ops::RangeInclusive<usize>,
}

fn complete(out_tokens: u32) -> Option<RunEnd> {
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

fn observe(cell: &mut Cell, observed: &Observed) {
    let running = OBSERVED..2 * OBSERVED;
    let ended = 0..observed.ended.map_or(0, |_| OBSERVED);
    for out_tokens in [0, observed.running_tokens.unwrap_or_default()] {
        let running = running.clone().map(|run| stated(run, out_tokens));
        let ended = ended.clone().map(|run| stated(run, 0));
        let statements: Vec<RunStatement> = running.chain(ended).collect();
        cell.restate(100, HOST, &statements);
    }
    for run in ended {
        cell.end(200, RunKey(run), observed.ended.unwrap_or_default());
    }
}

/// Guards against memory that is reserved by hints instead of observed lengths. Prompts of 1,500
/// tokens arrive together for an engine of 30,000, with time enough for their prefill. A home
/// without observations places sixteen, more after short answers, fewer after long ones. Cut
/// answers carry no information, and if as many long answers are running as short ones have ended,
/// the ones that ended first do not bias the home.
#[rstest]
#[case::nothing(Observed { ended: None, running_tokens: None, admitted: 16..=16 })]
#[case::short(Observed { ended: complete(20), running_tokens: None, admitted: 19..=19 })]
#[case::long(Observed { ended: complete(1_700), running_tokens: None, admitted: 13..=13 })]
#[case::cut(Observed { ended: cut(20), running_tokens: None, admitted: 16..=16 })]
#[case::short_first(Observed { ended: complete(20), running_tokens: Some(900), admitted: 13..=16 })]
fn room_follows_observed_lengths(#[case] observed: Observed) {
    let mut cell = cell(&[engine(1, LOCAL, false), engine(2, LOCAL, true)]);
    observe(&mut cell, &observed);
    let requests = (1_000..1_024).map(|run| PlacementRequest {
        max_wait_ms: 60_000,
        ..request(run, 1_500, LIMIT_TOKENS, HINT_TOKENS)
    });
    let placed = requests.map(|request| cell.place(2_000, &request));
    let placed_count = placed.filter_map(engine_of).count();
    assert!(observed.admitted.contains(&placed_count), "{placed_count}");
}
