//! Engines of different speed, told apart by the progress of their generations.

use std::ops::RangeInclusive;

use fulmarpath_policy::{Cell, MigrationOutcome, Placement, RunEnd, RunKey, RunStatement};
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, cell, engine, request, statement};

/// Time per token of a usual engine.
const TOKEN_MS: f64 = 9.0;
const EVENT_TOKENS: u32 = 4;
const GENERATIONS_PER_ENGINE: u64 = 3;

/// A phase in which an engine takes a multiple of its time.
#[derive(Clone, Copy)]
struct Phase {
    from_ms: u64,
    until_ms: u64,
    factor: f64,
}

impl Phase {
    const NONE: Self = Self {
        from_ms: 0,
        until_ms: 0,
        factor: 1.0,
    };

    /// Work that an engine of this factor has done by `now_ms`, in usual milliseconds.
    fn work_ms(self, engine_factor: f64, now_ms: u64) -> f64 {
        let slow_ms = now_ms.clamp(self.from_ms, self.until_ms) - self.from_ms;
        let usual_ms = now_ms - slow_ms;
        (usual_ms as f64 + slow_ms as f64 / self.factor) / engine_factor
    }
}

fn out_tokens(engine_factor: f64, phase: Phase, now_ms: u64) -> u32 {
    let tokens = (phase.work_ms(engine_factor, now_ms) / TOKEN_MS) as u32;
    // Hosts count the tokens of whole events.
    tokens - tokens % EVENT_TOKENS
}

fn factor_of(cell: &Cell, key: u64) -> f32 {
    let mut factors = cell.pace_factors();
    factors
        .find(|(engine, _)| engine.0 == key)
        .expect("known")
        .1
}

/// A cell whose engines, with keys from 1, have these factors. Engine 1 has a phase.
fn run_statements(factors: &[f64], phase: Phase, at_ms: &[u64]) -> Cell {
    let keys = 1..=factors.len() as u64;
    let mut cell = cell(
        &keys
            .map(|key| engine(key, LOCAL, false))
            .collect::<Vec<_>>(),
    );
    for now_ms in at_ms {
        let statements = factors.iter().zip(1..).flat_map(|(factor, key)| {
            let phase = if key == 1 { phase } else { Phase::NONE };
            let tokens = out_tokens(*factor, phase, *now_ms);
            let runs = (0..GENERATIONS_PER_ENGINE).map(move |run| key * 100 + run);
            runs.map(move |run| statement(run, key, tokens, 4_000))
        });
        cell.restate(*now_ms, HOST, &statements.collect::<Vec<RunStatement>>());
    }
    cell
}

struct Speeds {
    factors: Vec<f64>,
    phase: Phase,
    /// Times of the statements.
    at_ms: Vec<u64>,
    /// Ratio of the factor of engine 1 to that of engine 2.
    expected: RangeInclusive<f32>,
}

const EACH_SECOND: [u64; 3] = [100, 1_100, 2_100];
const PHASE: Phase = Phase {
    from_ms: 3_300,
    until_ms: 3_700,
    factor: 2.5,
};
const STRAGGLER: Phase = Phase {
    from_ms: 4_100,
    until_ms: 60_000,
    factor: 2.5,
};

/// Guards against a home that takes a slow engine for a fast one, or the reverse. Statements come
/// each second or at odd moments, and count the tokens of whole events.
#[rstest]
#[case::fast(Speeds {
    factors: vec![0.55, 1.2, 1.2, 1.2], phase: Phase::NONE,
    at_ms: EACH_SECOND.to_vec(), expected: 0.4..=0.6,
})]
#[case::fast_after_two_statements(Speeds {
    factors: vec![0.55, 1.2, 1.2, 1.2], phase: Phase::NONE,
    at_ms: EACH_SECOND[..2].to_vec(), expected: 0.4..=0.65,
})]
#[case::slow(Speeds {
    factors: vec![1.2, 0.55], phase: Phase::NONE,
    at_ms: EACH_SECOND.to_vec(), expected: 1.6..=2.4,
})]
#[case::equal(Speeds {
    factors: vec![1.0; 4], phase: Phase::NONE,
    at_ms: EACH_SECOND.to_vec(), expected: 0.95..=1.05,
})]
#[case::equal_and_slower_than_assumed(Speeds {
    factors: vec![4.0; 4], phase: Phase::NONE,
    at_ms: EACH_SECOND.to_vec(), expected: 0.95..=1.05,
})]
#[case::equal_at_odd_moments(Speeds {
    factors: vec![1.0; 4], phase: Phase::NONE,
    at_ms: vec![100, 130, 390, 400, 410, 1_390, 1_400, 1_460, 2_400], expected: 0.9..=1.1,
})]
#[case::one_statement(Speeds {
    factors: vec![0.55, 1.2], phase: Phase::NONE,
    at_ms: vec![2_000], expected: 1.0..=1.0,
})]
#[case::phase_of_a_shared_machine(Speeds {
    factors: vec![1.0; 4], phase: PHASE,
    at_ms: vec![100, 1_100, 2_100, 3_100, 4_100], expected: 1.0..=1.2,
})]
#[case::straggler_after_two_seconds(Speeds {
    factors: vec![1.0; 4], phase: STRAGGLER,
    at_ms: vec![100, 1_100, 2_100, 3_100, 4_100, 5_100, 6_100], expected: 1.5..=2.6,
})]
fn home_learns_the_speed_of_engines(#[case] case: Speeds) {
    let cell = run_statements(&case.factors, case.phase, &case.at_ms);
    let ratio = factor_of(&cell, 1) / factor_of(&cell, 2);
    assert!(case.expected.contains(&ratio), "ratio {ratio}");
}

/// Guards against generations that gather on the only engine that has been measured: where all
/// engines are faster than initially assumed, it would look faster than those without any work.
#[rstest]
#[case::faster_than_assumed(0.25)]
#[case::slower_than_assumed(2.5)]
fn the_only_measured_engine_is_a_usual_one(#[case] factor: f64) {
    let mut cell = cell(&[engine(1, LOCAL, false), engine(2, LOCAL, false)]);
    for now_ms in EACH_SECOND {
        let tokens = out_tokens(factor, Phase::NONE, now_ms);
        cell.restate(now_ms, HOST, &[statement(1, 1, tokens, 4_000)]);
    }
    let ratio = factor_of(&cell, 1) / factor_of(&cell, 2);
    assert!((0.9..=1.1).contains(&ratio), "ratio {ratio}");
}

/// Guards against the factor of a previous process on a machine that a new process has not used.
#[test]
fn restart_begins_anew() {
    let mut cell = run_statements(&[0.55, 1.2, 1.2], Phase::NONE, &EACH_SECOND);
    let mut restarted = engine(9, LOCAL, false);
    restarted.name = 1;
    cell.register(2_200, restarted);
    assert_eq!(factor_of(&cell, 9), 1.0);
}

/// Guards against a destination that is taken for a slow engine because of the pause of a
/// migration, and against a source that is.
#[rstest]
#[case::moved(MigrationOutcome::Moved, 2)]
#[case::not_moved(MigrationOutcome::NotMoved, 1)]
fn pause_of_a_migration_is_no_slow_engine(
    #[case] outcome: MigrationOutcome,
    #[case] continues_on: u64,
) {
    let mut cell = cell(&[engine(1, LOCAL, true), engine(2, LOCAL, false)]);
    cell.restate(
        0,
        HOST,
        &[statement(1, 1, 100, 4_000), statement(2, 2, 100, 4_000)],
    );
    let from = engine(1, LOCAL, true).key;
    let migration = cell.next_migration(500, from).expect("a migration");
    cell.finish_migration(900, migration, outcome);
    // Stopped from 700 to 1,600 ms.
    for (now_ms, tokens) in [(1_000, 176), (2_000, 220), (3_000, 332), (4_000, 444)] {
        let stays = 100 + (now_ms / 9 / 4 * 4) as u32;
        let statements = [
            statement(1, continues_on, tokens, 4_000),
            statement(2, 2, stays, 4_000),
        ];
        cell.restate(now_ms, HOST, &statements);
    }
    let factor = factor_of(&cell, continues_on);
    assert!((0.9..=1.1).contains(&factor), "factor {factor}");
}

/// Sends prompts in pairs to each engine in turn, whose first events come after their prefills.
fn run_first_events(factors: &[f64], pairs: u64) -> Cell {
    let keys = 1..=factors.len() as u64;
    let mut cell = cell(
        &keys
            .clone()
            .map(|key| engine(key, LOCAL, false))
            .collect::<Vec<_>>(),
    );
    let mut run = 0;
    for now_ms in (0..pairs).map(|pair| pair * 5_000) {
        for (factor, key) in factors.iter().zip(keys.clone()) {
            let mut took_ms = 0;
            let mut ends = Vec::new();
            for prompt_tokens in [1_000, 3_000] {
                run += 1;
                let mut placement_request = request(run, prompt_tokens, 16, 8);
                placement_request.max_wait_ms = 60_000;
                let others = keys.clone().filter(|other| *other != key);
                placement_request.excluded = others
                    .map(|other| engine(other, LOCAL, false).key)
                    .collect();
                let placed = cell.place(now_ms, &placement_request);
                assert!(matches!(placed, Placement::On { .. }));
                took_ms += (f64::from(prompt_tokens) / 7.0 * factor) as u64;
                ends.push((run, took_ms));
            }
            for (run, first_ms) in ends {
                let end = RunEnd {
                    out_tokens: 8,
                    is_complete: true,
                    first_ms: Some(first_ms),
                };
                cell.end(now_ms + first_ms, RunKey(run), end);
            }
        }
    }
    cell
}

/// Guards against an engine that gets prompts only, so that no statement shows its speed: its first
/// events do, whatever their prompts and the queue before them.
#[rstest]
#[case::fast(&[0.55, 1.2, 1.2, 1.2], 0.4..=0.65)]
#[case::equal(&[1.0, 1.0, 1.0, 1.0], 0.95..=1.05)]
#[case::equal_and_slower_than_assumed(&[3.0, 3.0, 3.0, 3.0], 0.95..=1.05)]
fn first_events_show_the_speed(#[case] factors: &[f64], #[case] expected: RangeInclusive<f32>) {
    let cell = run_first_events(factors, 6);
    let ratio = factor_of(&cell, 1) / factor_of(&cell, 2);
    assert!(expected.contains(&ratio), "ratio {ratio}");
}

/// Guards against a busy engine that is taken for a slow one: steps take twice as long while a
/// prompt is prefilled.
#[test]
fn prefills_beside_a_generation_are_no_slow_engine() {
    let mut cell = cell(&[engine(1, LOCAL, false), engine(2, LOCAL, false)]);
    let mut tokens = [0.0, 0.0];
    for second in 0..30_u64 {
        let now_ms = second * 1_000;
        let statements = [
            statement(1, 1, tokens[0] as u32, 40_000),
            statement(2, 2, tokens[1] as u32, 40_000),
        ];
        cell.restate(now_ms, HOST, &statements);
        // 4,900 tokens are prefilled in 700 ms.
        let mut placement_request = request(100 + second, 4_900, 16, 8);
        placement_request.excluded = vec![engine(2, LOCAL, false).key];
        let placed = cell.place(now_ms, &placement_request);
        assert!(matches!(placed, Placement::On { .. }));
        let end = RunEnd {
            out_tokens: 8,
            is_complete: true,
            first_ms: Some(700),
        };
        cell.end(now_ms + 700, RunKey(100 + second), end);
        tokens[0] += 700.0 / 16.0 + 300.0 / 8.0;
        tokens[1] += 1_000.0 / 8.0;
    }
    let ratio = factor_of(&cell, 1) / factor_of(&cell, 2);
    assert!((0.85..=1.15).contains(&ratio), "ratio {ratio}");
}

/// Guards against a long answer that starts on a slow engine although a fast one is as free, and
/// against a preference among engines that are equal.
#[rstest]
#[case::slow_and_fast(&[1.2, 0.55], Some(2))]
#[case::fast_and_slow(&[0.55, 1.2], Some(1))]
#[case::equal(&[1.0, 1.0], Some(1))]
fn generations_start_on_fast_engines(#[case] factors: &[f64], #[case] expected: Option<u64>) {
    let mut cell = run_statements(factors, Phase::NONE, &EACH_SECOND);
    let placed = cell.place(2_200, &request(9, 3_000, 900, 800));
    assert_eq!(crate::fixtures::engine_of(placed), expected);
}
