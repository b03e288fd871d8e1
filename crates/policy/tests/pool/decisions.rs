//! Which cell is asked for a request, how often, and what each answer changes.

use fulmarpath_policy::{Ask, Millis, OtherCells, Pool, PoolAnswer};
use rstest::rstest;

const NO_ROOM: PoolAnswer = PoolAnswer::Declined { cost_ms: None };

fn declined_at(cost_ms: f32) -> PoolAnswer {
    PoolAnswer::Declined {
        cost_ms: Some(cost_ms),
    }
}

fn placed_at(cost_ms: f32) -> PoolAnswer {
    PoolAnswer::Placed { cost_ms }
}

/// Two cells in the own data centre and two in others.
fn others() -> OtherCells<u64> {
    OtherCells {
        near: vec![1, 2],
        far: vec![3, 4],
    }
}

fn many_cells(count: u64) -> OtherCells<u64> {
    OtherCells {
        near: (0..count / 4).collect(),
        far: (count / 4..count).collect(),
    }
}

struct Question {
    /// Earlier answers: time, cell, cost in the own cell, answer.
    answers: Vec<(Millis, u64, Option<f32>, PoolAnswer)>,
    /// Whether a cell was drawn to learn its cost 10 ms before.
    is_probed: bool,
    own_cost_ms: Option<f32>,
    draw: u64,
    asked: &'static [u64],
    expected: Option<(u64, Option<f32>)>,
}

impl Default for Question {
    fn default() -> Self {
        Self {
            answers: Vec::new(),
            is_probed: true,
            own_cost_ms: None,
            draw: 0,
            asked: &[],
            expected: None,
        }
    }
}

/// A request arrives at 10 s. In a full cell, the cheapest known cell is asked, otherwise one at
/// random, half of the time in the own data centre. A cell with room asks only if that is likely to
/// help or if its cost is high and it has to learn the cost elsewhere. Guards against requests that
/// are refused although another cell is known to have room, and against calls to homes that can't
/// help.
#[rstest]
#[case::full_draws_near(Question { draw: 0, expected: Some((1, None)), ..Question::default() })]
#[case::full_draws_far(Question { draw: 1, expected: Some((3, None)), ..Question::default() })]
#[case::full_draws_another(Question { draw: 2, expected: Some((2, None)), ..Question::default() })]
#[case::full_draws_a_second(Question { asked: &[1], expected: Some((2, None)), ..Question::default() })]
#[case::full_asks_two_at_most(Question { asked: &[1, 2], ..Question::default() })]
#[case::near_ones_are_full(Question {
    answers: vec![(9_950, 1, None, NO_ROOM), (9_950, 2, None, NO_ROOM)],
    expected: Some((3, None)),
    ..Question::default()
})]
#[case::full_asks_the_cheapest(Question {
    answers: vec![(9_700, 2, None, placed_at(60.0)), (9_800, 4, None, placed_at(20.0))],
    expected: Some((4, None)),
    ..Question::default()
})]
#[case::learned_while_the_own_one_had_room(Question {
    answers: vec![(9_700, 4, Some(480.0), declined_at(60.0))],
    expected: Some((4, None)),
    ..Question::default()
})]
#[case::known_one_is_forgotten(Question {
    answers: vec![(9_600, 4, None, placed_at(20.0))],
    expected: Some((1, None)),
    ..Question::default()
})]
#[case::full_draws_to_learn_of_others(Question {
    answers: vec![(9_700, 4, None, placed_at(20.0))],
    is_probed: false,
    expected: Some((1, Some(20.0))),
    ..Question::default()
})]
#[case::full_draws_if_the_known_one_is_loaded(Question {
    answers: vec![(9_700, 4, None, placed_at(300.0))],
    expected: Some((1, Some(300.0))),
    ..Question::default()
})]
#[case::then_asks_the_known_one(Question {
    answers: vec![(9_700, 4, None, placed_at(300.0)), (10_000, 1, None, declined_at(400.0))],
    asked: &[1],
    expected: Some((4, None)),
    ..Question::default()
})]
#[case::declined_a_moment_ago(Question {
    answers: vec![(9_901, 1, None, NO_ROOM)],
    expected: Some((2, None)),
    ..Question::default()
})]
#[case::declined_some_time_ago(Question {
    answers: vec![(9_900, 1, None, NO_ROOM)],
    expected: Some((1, None)),
    ..Question::default()
})]
#[case::declined_after_it_had_room(Question {
    answers: vec![(9_800, 4, None, placed_at(20.0)), (9_950, 4, None, NO_ROOM)],
    expected: Some((1, None)),
    ..Question::default()
})]
#[case::not_the_home(Question {
    answers: vec![(9_950, 1, None, PoolAnswer::NotHome)],
    expected: Some((2, None)),
    ..Question::default()
})]
#[case::silent_within_a_second(Question {
    answers: vec![(9_001, 1, None, PoolAnswer::Silent)],
    expected: Some((2, None)),
    ..Question::default()
})]
#[case::silent_a_second_ago(Question {
    answers: vec![(9_000, 1, None, PoolAnswer::Silent)],
    expected: Some((1, None)),
    ..Question::default()
})]
#[case::light_cost(Question { is_probed: false, own_cost_ms: Some(90.0), ..Question::default() })]
#[case::high_cost(Question {
    is_probed: false,
    own_cost_ms: Some(200.0),
    expected: Some((1, Some(150.0))),
    ..Question::default()
})]
#[case::high_cost_after_a_draw(Question { own_cost_ms: Some(200.0), ..Question::default() })]
#[case::high_cost_asks_one_at_most(Question {
    is_probed: false,
    own_cost_ms: Some(200.0),
    asked: &[1],
    ..Question::default()
})]
#[case::cheaper_elsewhere(Question {
    answers: vec![(9_601, 3, Some(200.0), declined_at(149.0))],
    own_cost_ms: Some(120.0),
    expected: Some((3, Some(70.0))),
    ..Question::default()
})]
#[case::hardly_cheaper_elsewhere(Question {
    answers: vec![(9_601, 3, Some(200.0), declined_at(151.0))],
    own_cost_ms: Some(200.0),
    ..Question::default()
})]
#[case::was_cheaper_elsewhere(Question {
    answers: vec![(9_600, 3, Some(200.0), declined_at(20.0))],
    own_cost_ms: Some(200.0),
    ..Question::default()
})]
#[case::own_cost_is_below_a_hop(Question {
    answers: vec![(9_900, 3, Some(200.0), declined_at(20.0))],
    own_cost_ms: Some(49.0),
    ..Question::default()
})]
fn asks(#[case] question: Question) {
    let mut pool = Pool::default();
    if question.is_probed {
        pool.candidate(9_990, Some(200.0), &others(), 0, &[]);
    }
    for (at_ms, cell, own_cost_ms, answer) in question.answers {
        pool.record(at_ms, cell, own_cost_ms, answer);
    }
    let Question {
        own_cost_ms,
        draw,
        asked,
        expected,
        ..
    } = question;
    let ask = pool.candidate(10_000, own_cost_ms, &others(), draw, asked);
    let expected = expected.map(|(cell, max_cost_ms)| Ask { cell, max_cost_ms });
    assert_eq!(ask, expected);
}

/// Guards against second searches at a home that has room: the cost up to which a request is placed
/// without a question is none as soon as the costs elsewhere are known and not lower.
#[rstest]
#[case::new(false, None, Some(100.0))]
#[case::probed(true, None, None)]
#[case::cheaper_elsewhere(true, Some(declined_at(100.0)), Some(50.0))]
#[case::not_cheaper_elsewhere(true, Some(declined_at(180.0)), None)]
fn places_without_a_question(
    #[case] is_probed: bool,
    #[case] answer: Option<PoolAnswer>,
    #[case] expected: Option<f32>,
) {
    let mut pool = Pool::default();
    if is_probed {
        pool.candidate(9_990, Some(200.0), &others(), 0, &[]);
    }
    if let Some(answer) = answer {
        pool.record(9_990, 3, Some(200.0), answer);
    }
    assert_eq!(pool.undisputed_cost_ms(10_000), expected);
}

/// Guards against calls in a service whose other cells have all gone.
#[test]
fn a_single_cell_asks_nobody() {
    let nobody = OtherCells::<u64> {
        near: Vec::new(),
        far: Vec::new(),
    };
    for own_cost_ms in [None, Some(400.0)] {
        let mut pool = Pool::default();
        assert_eq!(pool.candidate(0, own_cost_ms, &nobody, 7, &[]), None);
    }
}

struct Second {
    cells: u64,
    /// Cost in the own cell of each of 1,000 requests.
    own_cost_ms: Option<f32>,
    answer: PoolAnswer,
    max_calls: usize,
}

/// Guards against calls in proportion to the cells or the requests: within one second, 1,000
/// requests arrive at a home, which asks as long as it may.
#[rstest]
#[case::light(Second { cells: 160, own_cost_ms: Some(60.0), answer: NO_ROOM, max_calls: 0 })]
#[case::loaded(Second { cells: 160, own_cost_ms: Some(300.0), answer: NO_ROOM, max_calls: 10 })]
#[case::loaded_like_the_others(Second {
    cells: 160,
    own_cost_ms: Some(300.0),
    answer: declined_at(290.0),
    max_calls: 10,
})]
#[case::all_full(Second { cells: 160, own_cost_ms: None, answer: NO_ROOM, max_calls: 90 })]
#[case::all_of_three_full(Second { cells: 2, own_cost_ms: None, answer: NO_ROOM, max_calls: 20 })]
#[case::all_silent(Second {
    cells: 160,
    own_cost_ms: None,
    answer: PoolAnswer::Silent,
    max_calls: 90,
})]
#[case::another_has_room(Second {
    cells: 160,
    own_cost_ms: None,
    answer: placed_at(10.0),
    max_calls: 1_000,
})]
fn bounds_its_calls(#[case] second: Second) {
    let cells = many_cells(second.cells);
    let mut pool = Pool::default();
    let mut calls = 0;
    for request in 0..1_000_u64 {
        let mut asked = Vec::new();
        let draw = request.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
        while let Some(ask) = pool.candidate(request, second.own_cost_ms, &cells, draw, &asked) {
            pool.record(request, ask.cell, second.own_cost_ms, second.answer);
            asked.push(ask.cell);
            calls += 1;
            if matches!(second.answer, PoolAnswer::Placed { .. }) {
                break;
            }
        }
    }
    assert!(calls <= second.max_calls, "{calls} calls");
}

/// Guards against memory in proportion to the cells. What was learned last is kept.
#[test]
fn remembers_a_bounded_number_of_cells() {
    let mut pool = Pool::default();
    for cell in 0..2_000_u64 {
        pool.record(cell, cell, None, NO_ROOM);
    }
    assert_eq!(pool.known_count(), 192);
    let last = OtherCells {
        near: vec![1_999],
        far: Vec::new(),
    };
    assert_eq!(pool.candidate(2_000, None, &last, 0, &[]), None);
}
