//! `decide`: time per engine choice, per admission and per placement.

use std::hint::black_box;
use std::time::Instant;

use bpaf::Bpaf;
use fulmarpath_policy::{
    Candidate, Cell, CellEngine, EngineCapacity, EngineLoad, EnginePermitRequest, Home,
    HomeSettings, HostKey, Lengths, OrganisationKey, PermitRequestId, PlacementRequest, RunEnd,
    RunKey, RunStatement, ServiceKey, UpstreamKey, Weights, pick,
};
use serde::Serialize;

/// Time an engine choice, an admission and a placement at today's size and at the size planned in
/// two years
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Decide {
    /// Number of decisions of each kind; of placements, a tenth of it
    #[bpaf(argument("N"), fallback(20_000))]
    count: u32,
}

#[derive(Serialize)]
struct Row {
    size: &'static str,
    engines_of_model: usize,
    organisations: u64,
    pick_us: f64,
    admission_us: f64,
    admission_ratio_to_pick: f64,
}

#[derive(Serialize)]
struct CellRow {
    engines: u64,
    generations: u64,
    waiting: u64,
    place_us: f64,
}

/// Generations on each engine of a fully loaded cell.
const GENERATIONS_PER_ENGINE: u64 = 6;
/// Requests in the queue of that cell.
const WAITING: u64 = 20;

struct Size {
    name: &'static str,
    engines_of_model: usize,
    organisations: u64,
    running: u64,
}

/// In the size planned in two years, 7 models share 600 replicas; one model may still use all of
/// them.
const SIZES: [Size; 3] = [
    Size {
        name: "today",
        engines_of_model: 15,
        organisations: 10,
        running: 24,
    },
    Size {
        name: "in two years, average model",
        engines_of_model: 86,
        organisations: 1_300,
        running: 64,
    },
    Size {
        name: "in two years, one model on all replicas",
        engines_of_model: 600,
        organisations: 1_300,
        running: 64,
    },
];

impl Decide {
    pub(crate) fn run(&self) {
        for size in &SIZES {
            let pick_us = self.time_pick(size);
            let admission_us = self.time_admission(size);
            let row = Row {
                size: size.name,
                engines_of_model: size.engines_of_model,
                organisations: size.organisations,
                pick_us,
                admission_us,
                admission_ratio_to_pick: admission_us / pick_us,
            };
            println!("{}", serde_json::to_string(&row).unwrap_or_default());
        }
        for engines in [14, 48, 64, 128, 1_000] {
            let row = CellRow {
                engines,
                generations: engines * GENERATIONS_PER_ENGINE,
                waiting: WAITING,
                place_us: self.time_place(engines),
            };
            println!("{}", serde_json::to_string(&row).unwrap_or_default());
        }
    }

    /// Times a placement in a fully loaded cell with queued requests, and the end of its run.
    fn time_place(&self, engines: u64) -> f64 {
        let mut cell = Cell::default();
        let registered: Vec<CellEngine> = (0..engines).map(cell_engine).collect();
        cell.set_engines(0, &registered);
        let runs: Vec<RunStatement> = (0..engines * GENERATIONS_PER_ENGINE)
            .map(|run| statement(run, run % engines))
            .collect();
        cell.restate(0, HostKey(1), &runs);
        for run in 0..WAITING {
            let queued = placement(1_000_000 + run, 20_000);
            cell.place(0, &queued);
        }
        let count = self.count.div_ceil(10);
        let started = Instant::now();
        for run in 0..u64::from(count) {
            let run = 2_000_000 + run;
            black_box(cell.place(1, &placement(run, 100)));
            cell.end(1, RunKey(run), RunEnd::default());
        }
        started.elapsed().as_secs_f64() * 1e6 / f64::from(count)
    }

    fn time_pick(&self, size: &Size) -> f64 {
        let candidates: Vec<Candidate> = (0..size.engines_of_model)
            .map(|engine| Candidate {
                upstream: UpstreamKey::of(&format!("engine-{engine}")),
                is_local: engine % 9 == 0,
                load: EngineLoad {
                    running: 20,
                    waiting: 0,
                    used_tokens: 9_000 + 30 * engine as u32,
                    memory_tokens: 30_000,
                },
                cached: false,
            })
            .collect();
        let started = Instant::now();
        for prefix in 0..u64::from(self.count) {
            black_box(pick(black_box(prefix), &candidates));
        }
        started.elapsed().as_secs_f64() * 1e6 / f64::from(self.count)
    }

    /// Times a permit request at a home with a full batch, and its withdrawal.
    fn time_admission(&self, size: &Size) -> f64 {
        let mut lengths = Lengths::new();
        for number in 0..size.organisations * 8 {
            let organisation = OrganisationKey(number % size.organisations);
            let length = 20 + (number * 37 % 900) as u32;
            lengths.record(number, organisation, ServiceKey(1), length);
        }
        let settings = HomeSettings::new(Weights::default(), 1.0, 1_000_000, 0.0);
        let mut home = Home::new(settings);
        let permit_request = |id: u64| EnginePermitRequest {
            id: PermitRequestId(id),
            host: HostKey(id % 410),
            organisation: OrganisationKey(id % size.organisations),
            service: ServiceKey(1),
            weight: 1.0,
            share: 0.01,
            prompt_tokens: 900,
            out_tokens: 0,
            output_limit_tokens: 8_000,
            max_wait_ms: 10_000,
            only_now: false,
            known_tokens: None,
        };
        let mut outcomes = Vec::new();
        for id in 0..size.running {
            home.request_permit(1_000, permit_request(id), &lengths);
        }
        home.step(1_000, &lengths, &mut outcomes);
        let started = Instant::now();
        for id in 0..u64::from(self.count) {
            let id = id + 1_000_000;
            outcomes.clear();
            home.request_permit(1_000, permit_request(id), &lengths);
            home.step(1_000, &lengths, &mut outcomes);
            black_box(&outcomes);
            home.withdraw(PermitRequestId(id));
        }
        started.elapsed().as_secs_f64() * 1e6 / f64::from(self.count)
    }
}

fn cell_engine(engine: u64) -> CellEngine {
    CellEngine {
        key: UpstreamKey(engine),
        name: engine,
        data_centre: engine % 4,
        is_draining: false,
        is_evacuated: false,
        cold: None,
        capacity: EngineCapacity {
            memory_tokens: 24_000,
            slots: 24,
            token_bytes: 18_432,
            link_mbps: 2_700.0,
            copy_ttl_ms: 5_000,
        },
    }
}

fn statement(run: u64, engine: u64) -> RunStatement {
    RunStatement {
        organisation: OrganisationKey(0),
        run: RunKey(run),
        engine: UpstreamKey(engine),
        backup: None,
        prompt_tokens: 3_000,
        out_tokens: 200,
        limit_tokens: 1_768,
        hint_tokens: Some(500),
        gap_target_ms: Some(180),
        longest_pause_ms: 40,
        priority: 0,
    }
}

fn placement(run: u64, prompt_tokens: u32) -> PlacementRequest {
    PlacementRequest {
        organisation: OrganisationKey(0),
        run: RunKey(run),
        host: HostKey(1),
        data_centre: 1,
        prompt_tokens,
        limit_tokens: 40,
        hint_tokens: None,
        retry_key: run,
        priority: 1,
        gap_target_ms: Some(180),
        max_wait_ms: 1_800,
        left_ms: 39_000,
        is_final_attempt: false,
        excluded: Vec::new(),
        can_back_up: false,
    }
}
