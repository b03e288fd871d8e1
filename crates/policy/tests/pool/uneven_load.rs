//! Requests that arrive unevenly at the cells of a service, played without a network.

use std::collections::BTreeMap;

use fulmarpath_policy::{Cell, Millis, OtherCells, Placement, Pool, PoolAnswer, RunEnd, RunKey};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::fixtures::{LOCAL, cell, engine, request};

/// Time between two attempts to place a waiting request.
const RETRY_MS: Millis = 60;
/// How long a request waits for room before it is refused.
const MAX_WAIT_MS: Millis = 990;
/// Prompt and answer of each request: its prefill takes 0.3 s, its answer 3.3 s, so eight of them
/// fill an engine.
const PROMPT_TOKENS: u32 = 2_000;
const OUTPUT_TOKENS: u32 = 300;
const DURATION_MS: Millis = 10_000;

struct Load {
    cells: usize,
    engines_per_cell: usize,
    /// Share of all requests that arrives at the first cell.
    first_share: f64,
    /// Requests per second and engine.
    rate_per_s: f64,
    has_pool: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    arrived: usize,
    refused: usize,
    calls: usize,
    /// Waits for the first event, sorted.
    first_event_ms: Vec<Millis>,
}

impl Outcome {
    fn refused_share(&self) -> f64 {
        self.refused as f64 / self.arrived as f64
    }

    fn first_event_p95_ms(&self) -> Millis {
        self.first_event_ms[self.first_event_ms.len() * 95 / 100]
    }
}

/// The cells of a service, each with its home.
struct Service {
    cells: Vec<Cell>,
    pools: Vec<Pool<usize>>,
    random: ChaCha8Rng,
    calls: usize,
}

impl Service {
    fn new(load: &Load) -> Self {
        let engines = |cell: usize| {
            let keys = (0..load.engines_per_cell).map(|key| (cell * 100 + key) as u64);
            keys.map(|key| engine(key, LOCAL, false))
                .collect::<Vec<_>>()
        };
        Self {
            cells: (0..load.cells).map(|index| cell(&engines(index))).collect(),
            pools: (0..load.cells).map(|_| Pool::default()).collect(),
            random: ChaCha8Rng::seed_from_u64(1),
            calls: 0,
        }
    }

    /// Places a request that arrived in cell `own`; returns the cell that runs it and the wait there.
    fn place(
        &mut self,
        now_ms: Millis,
        own: usize,
        request: &fulmarpath_policy::PlacementRequest,
        has_pool: bool,
    ) -> Option<(usize, Millis)> {
        let max_cost_ms = match has_pool {
            true => self.pools[own].undisputed_cost_ms(now_ms),
            false => None,
        };
        let placed = self.cells[own].place_unless_costly(now_ms, request, max_cost_ms);
        if let Ok(placement @ Placement::On { .. }) = placed {
            return Some((own, wait_ms(placement)));
        }
        let own_cost_ms = placed.err();
        let taken = has_pool
            .then(|| self.hand_on(now_ms, own, own_cost_ms, request))
            .flatten();
        if taken.is_some() {
            self.cells[own].withdraw(request);
            return taken;
        }
        own_cost_ms?;
        match self.cells[own].place(now_ms, request) {
            placement @ Placement::On { .. } => Some((own, wait_ms(placement))),
            _ => None,
        }
    }

    fn hand_on(
        &mut self,
        now_ms: Millis,
        own: usize,
        own_cost_ms: Option<f32>,
        request: &fulmarpath_policy::PlacementRequest,
    ) -> Option<(usize, Millis)> {
        let far = (0..self.cells.len()).filter(|cell| *cell != own).collect();
        let others = OtherCells {
            near: Vec::new(),
            far,
        };
        let mut asked = Vec::new();
        loop {
            let draw = self.random.random();
            let ask = self.pools[own].candidate(now_ms, own_cost_ms, &others, draw, &asked)?;
            asked.push(ask.cell);
            self.calls += 1;
            let taken = self.cells[ask.cell].place_below(now_ms, request, ask.max_cost_ms);
            let answer = match taken {
                Ok((_, cost_ms)) => PoolAnswer::Placed { cost_ms },
                Err(cost_ms) => PoolAnswer::Declined { cost_ms },
            };
            self.pools[own].record(now_ms, ask.cell, own_cost_ms, answer);
            if let Ok((placement, _)) = taken {
                return Some((ask.cell, wait_ms(placement)));
            }
        }
    }
}

fn wait_ms(placement: Placement) -> Millis {
    match placement {
        Placement::On { seen, .. } => Millis::from(seen.prefill_wait_ms),
        _ => 0,
    }
}

struct Arrived {
    since_ms: Millis,
    cell: usize,
    run: u64,
}

fn play(load: &Load) -> Outcome {
    let mut service = Service::new(load);
    let mut outcome = Outcome::default();
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let rate_per_ms = load.rate_per_s * (load.cells * load.engines_per_cell) as f64 / 1_000.0;
    let mut waiting: BTreeMap<Millis, Vec<Arrived>> = BTreeMap::new();
    let mut ending: BTreeMap<Millis, Vec<(usize, u64)>> = BTreeMap::new();
    let mut next_run = 0;
    let mut due = 0.0;
    for now_ms in 1_000..1_000 + DURATION_MS {
        for (cell, run) in ending.remove(&now_ms).unwrap_or_default() {
            let end = RunEnd {
                out_tokens: OUTPUT_TOKENS,
                is_complete: true,
                first_ms: None,
            };
            service.cells[cell].end(now_ms, RunKey(run), end);
        }
        let mut requests = waiting.remove(&now_ms).unwrap_or_default();
        due += rate_per_ms;
        while due >= 1.0 {
            due -= 1.0;
            let cell = match random.random_bool(load.first_share) {
                true => 0,
                false => random.random_range(1..load.cells),
            };
            requests.push(Arrived {
                since_ms: now_ms,
                cell,
                run: next_run,
            });
            next_run += 1;
            outcome.arrived += 1;
        }
        for arrived in requests {
            let waited_ms = now_ms - arrived.since_ms;
            let mut placement_request =
                request(arrived.run, PROMPT_TOKENS, 2 * OUTPUT_TOKENS, OUTPUT_TOKENS);
            placement_request.max_wait_ms -= waited_ms;
            placement_request.is_final_attempt = waited_ms >= MAX_WAIT_MS;
            let placed = service.place(now_ms, arrived.cell, &placement_request, load.has_pool);
            match placed {
                Some((cell, wait_ms)) => {
                    let prefill_ms = Millis::from(PROMPT_TOKENS / 7);
                    let first_ms = wait_ms + prefill_ms;
                    outcome.first_event_ms.push(waited_ms + first_ms);
                    let end_ms = now_ms + first_ms + Millis::from(OUTPUT_TOKENS) * 11;
                    ending.entry(end_ms).or_default().push((cell, arrived.run));
                }
                None if placement_request.is_final_attempt => outcome.refused += 1,
                None => waiting.entry(now_ms + RETRY_MS).or_default().push(arrived),
            }
        }
    }
    outcome.calls = service.calls;
    outcome.first_event_ms.sort_unstable();
    outcome
}

struct Uneven {
    cells: usize,
    engines_per_cell: usize,
    rate_per_s: f64,
    /// How much longer than with even arrivals one of twenty requests may wait for its first event.
    max_extra_ms: Millis,
}

impl Uneven {
    fn load(&self, first_share: f64, has_pool: bool) -> Load {
        Load {
            cells: self.cells,
            engines_per_cell: self.engines_per_cell,
            first_share,
            rate_per_s: self.rate_per_s,
            has_pool,
        }
    }
}

const THREE_CELLS: Uneven = Uneven {
    cells: 3,
    engines_per_cell: 8,
    rate_per_s: 2.4,
    max_extra_ms: 100,
};
const MANY_CELLS: Uneven = Uneven {
    cells: 160,
    engines_per_cell: 2,
    rate_per_s: 2.0,
    max_extra_ms: 150,
};

/// Two thirds of all requests arrive in one cell. Guards against a full cell that refuses requests
/// while others have room: as long as the whole service has room, nothing is refused, and the wait
/// for the first event is not much longer than with even arrivals. At most two other homes are
/// asked for a request.
#[rstest]
#[case::three_cells(THREE_CELLS)]
#[case::many_cells(MANY_CELLS)]
fn an_overloaded_cell_serves_like_an_even_one(#[case] uneven: Uneven) {
    let even = play(&uneven.load(1.0 / uneven.cells as f64, true));
    let max_p95_ms = even.first_event_p95_ms() + uneven.max_extra_ms;
    let outcome = play(&uneven.load(2.0 / 3.0, true));
    assert_eq!((even.refused, outcome.refused), (0, 0));
    assert!(
        outcome.first_event_p95_ms() <= max_p95_ms,
        "{} ms",
        outcome.first_event_p95_ms()
    );
    assert!(
        outcome.calls <= 2 * outcome.arrived,
        "{} calls",
        outcome.calls
    );
}

/// Shows that the load above is too much for its cell without a pool.
#[test]
fn an_overloaded_cell_alone_refuses_requests() {
    let alone = play(&THREE_CELLS.load(2.0 / 3.0, false));
    assert!(alone.refused_share() > 0.1, "{}", alone.refused_share());
}
