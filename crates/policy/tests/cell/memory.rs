//! What a home sends to an engine never exceeds the engine's memory: an engine that holds more
//! crashes. Counted are generations, prompts that wait inside the engine, backup copies, transfers,
//! and copies that a cut transfer leaves behind.

use std::collections::BTreeMap;

use fulmarpath_policy::{
    Cell, Migration, MigrationOutcome, Placement, PlacementRequest, RunEnd, RunKey, RunStatement,
    UpstreamKey,
};
use proptest::prelude::*;

use crate::fixtures::{CAPACITY, HOST, LOCAL, cell, engine, request};

const ENGINES: u64 = 4;
/// Time per output token, as homes assume it.
const TOKEN_MS: u64 = 11;
/// Prefill time per prompt token, in thousandths of a ms.
const PREFILL_US: u64 = 140;
/// Memory that migrations may fill on an engine. In the last moments of a notice a home fills an
/// engine beyond its memory by up to a twentieth rather than lose a generation
/// (`late_migration_may_overfill_an_engine`).
const MAX_TRANSFER_TOKENS: u32 = CAPACITY.memory_tokens / 100 * 105;
/// Between two statements of the host.
const STATEMENT_PERIOD_MS: u64 = 1_000;

/// One step of a history.
#[derive(Debug, Clone)]
enum Step {
    Wait {
        ms: u64,
    },
    Place {
        prompt_tokens: u32,
        limit_tokens: u32,
        has_backup: bool,
    },
    /// The caller of a generation leaves.
    CallerLeaves {
        index: usize,
    },
    /// An engine gives notice, and one that has left is replaced.
    Leave {
        index: usize,
    },
    Migrate {
        index: usize,
    },
    FinishMigration {
        index: usize,
        outcome: MigrationOutcome,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        6 => Just(MigrationOutcome::Moved),
        1 => Just(MigrationOutcome::NotMoved),
        1 => Just(MigrationOutcome::Refused),
        1 => Just(MigrationOutcome::Orphaned),
    ];
    prop_oneof![
        8 => (1_u64..300).prop_map(|ms| Step::Wait { ms }),
        12 => (100_u32..9_000, 16_u32..2_000, any::<bool>()).prop_map(|(prompt_tokens, limit_tokens, has_backup)| {
            Step::Place { prompt_tokens, limit_tokens, has_backup }
        }),
        1 => any::<usize>().prop_map(|index| Step::CallerLeaves { index }),
        1 => any::<usize>().prop_map(|index| Step::Leave { index }),
        6 => any::<usize>().prop_map(|index| Step::Migrate { index }),
        5 => (any::<usize>(), outcome).prop_map(|(index, outcome)| Step::FinishMigration { index, outcome }),
    ]
}

/// A generation as it really is.
#[derive(Debug, Clone)]
struct Run {
    statement: RunStatement,
    length_tokens: u32,
    first_token_ms: u64,
}

impl Run {
    fn out_tokens(&self, now_ms: u64) -> u32 {
        let decoding_ms = now_ms.saturating_sub(self.first_token_ms);
        (decoding_ms / TOKEN_MS) as u32
    }

    fn held_tokens(&self, now_ms: u64) -> u32 {
        self.statement.prompt_tokens + self.out_tokens(now_ms)
    }
}

/// A transfer, whose copy holds memory at its destination until its outcome is known.
#[derive(Debug, Clone)]
struct Transfer {
    migration: Migration,
    held_tokens: u32,
}

struct Orphan {
    engine: UpstreamKey,
    held_tokens: u32,
    until_ms: u64,
}

/// A cell's home, and what its engines really hold.
struct World {
    now_ms: u64,
    cell: Cell,
    /// Engines and whether each is leaving.
    engines: BTreeMap<u64, bool>,
    prefilled_at_us: BTreeMap<u64, u64>,
    runs: BTreeMap<u64, Run>,
    transfers: Vec<Transfer>,
    orphans: Vec<Orphan>,
    next_run: u64,
    next_engine: u64,
    stated_ms: u64,
    /// The host's last statement, until it arrives.
    in_transit: Option<Vec<RunStatement>>,
}

impl World {
    fn new() -> Self {
        let engines: Vec<_> = (1..=ENGINES).map(|key| engine(key, LOCAL, false)).collect();
        Self {
            now_ms: 1_000,
            cell: cell(&engines),
            engines: (1..=ENGINES).map(|key| (key, false)).collect(),
            prefilled_at_us: BTreeMap::new(),
            runs: BTreeMap::new(),
            transfers: Vec::new(),
            orphans: Vec::new(),
            next_run: 1,
            next_engine: ENGINES + 1,
            stated_ms: 1_000,
            in_transit: None,
        }
    }

    fn held_tokens(&self, at: UpstreamKey) -> u32 {
        let now_ms = self.now_ms;
        let runs = self.runs.values().flat_map(|run| {
            let RunStatement { engine, backup, .. } = run.statement;
            let held_tokens = run.held_tokens(now_ms);
            let is_there = [Some(engine), backup].map(|holder| holder == Some(at));
            is_there.map(|is_there| if is_there { held_tokens } else { 0 })
        });
        let transfers = self.transfers.iter();
        let transfers = transfers.filter(|transfer| {
            let run = self.runs.get(&transfer.migration.run.0);
            // A transfer to the engine with the backup copy completes that copy.
            let is_own_copy = run.is_none_or(|run| run.statement.backup != Some(at));
            transfer.migration.to == at && is_own_copy
        });
        let orphans = self.orphans.iter();
        let orphans = orphans.filter(|orphan| orphan.engine == at && now_ms < orphan.until_ms);
        runs.sum::<u32>()
            + transfers.map(|transfer| transfer.held_tokens).sum::<u32>()
            + orphans.map(|orphan| orphan.held_tokens).sum::<u32>()
    }

    fn check(
        &self,
        sent_to: UpstreamKey,
        what: &str,
        limit_tokens: u32,
    ) -> Result<(), TestCaseError> {
        let held_tokens = self.held_tokens(sent_to);
        prop_assert!(
            held_tokens <= limit_tokens,
            "{what} makes engine {} hold {held_tokens} tokens",
            sent_to.0
        );
        Ok(())
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Wait { ms } => self.wait(*ms),
            Step::Place {
                prompt_tokens,
                limit_tokens,
                has_backup,
            } => return self.place(*prompt_tokens, *limit_tokens, *has_backup),
            Step::CallerLeaves { index } => {
                let nth = self.runs.keys().nth(index % self.runs.len().max(1));
                if let Some(run) = nth.copied() {
                    self.end(run, false);
                }
            }
            Step::Leave { index } => self.leave(*index),
            Step::Migrate { index } => return self.migrate(*index),
            Step::FinishMigration { index, outcome } => self.finish_migration(*index, *outcome),
        }
        Ok(())
    }

    fn wait(&mut self, ms: u64) {
        if let Some(statements) = self.in_transit.take() {
            self.cell.restate(self.now_ms, HOST, &statements);
        }
        self.now_ms += ms;
        let now_ms = self.now_ms;
        let ended = self.runs.iter();
        let ended = ended.filter(|(_, run)| run.out_tokens(now_ms) >= run.length_tokens);
        let ended: Vec<u64> = ended.map(|(key, _)| *key).collect();
        for run in ended {
            self.end(run, true);
        }
        if now_ms >= self.stated_ms + STATEMENT_PERIOD_MS {
            self.stated_ms = now_ms;
            let statements = self.runs.values().map(|run| RunStatement {
                out_tokens: run.out_tokens(now_ms),
                ..run.statement
            });
            let statements: Vec<RunStatement> = statements.collect();
            self.in_transit = Some(statements);
        }
    }

    fn end(&mut self, run: u64, is_complete: bool) {
        let Some(ended) = self.runs.remove(&run) else {
            return;
        };
        let end = RunEnd {
            out_tokens: ended.out_tokens(self.now_ms),
            is_complete,
            first_ms: None,
        };
        self.cell.end(self.now_ms, RunKey(run), end);
    }

    fn place(
        &mut self,
        prompt_tokens: u32,
        limit_tokens: u32,
        has_backup: bool,
    ) -> Result<(), TestCaseError> {
        let (now_ms, run) = (self.now_ms, self.next_run);
        self.next_run += 1;
        let length_tokens = (limit_tokens / 2).max(1);
        let request = PlacementRequest {
            can_back_up: has_backup,
            ..request(run, prompt_tokens, limit_tokens, length_tokens)
        };
        let Placement::On { engine, backup, .. } = self.cell.place(now_ms, &request) else {
            return Ok(());
        };
        let prefilled_at_us = self.prefilled_at_us.entry(engine.0).or_default();
        let from_us = (*prefilled_at_us).max(now_ms * 1_000);
        *prefilled_at_us = from_us + u64::from(prompt_tokens) * PREFILL_US;
        let run_key = run;
        let run = Run {
            statement: RunStatement {
                priority: 0,
                organisation: request.organisation,
                run: request.run,
                engine,
                backup,
                prompt_tokens,
                out_tokens: 0,
                limit_tokens,
                hint_tokens: request.hint_tokens,
                gap_target_ms: None,
                longest_pause_ms: 0,
            },
            length_tokens,
            first_token_ms: *prefilled_at_us / 1_000,
        };
        self.runs.insert(run_key, run);
        self.check(engine, "a prompt", CAPACITY.memory_tokens)?;
        backup.map_or(Ok(()), |backup| {
            self.check(backup, "a backup copy", CAPACITY.memory_tokens)
        })
    }

    fn leave(&mut self, index: usize) {
        let staying = self.engines.iter().filter(|(_, is_leaving)| !**is_leaving);
        let staying: Vec<u64> = staying.map(|(key, _)| *key).collect();
        let Some(key) = staying.get(index % staying.len().max(1)).copied() else {
            return;
        };
        self.engines.insert(key, true);
        self.cell.register(self.now_ms, engine(key, LOCAL, true));
        let added = self.next_engine;
        self.next_engine += 1;
        self.engines.insert(added, false);
        self.cell.register(self.now_ms, engine(added, LOCAL, false));
    }

    fn migrate(&mut self, index: usize) -> Result<(), TestCaseError> {
        let leaving = self.cell.leaving_engines();
        let Some(from) = leaving.get(index % leaving.len().max(1)).copied() else {
            return Ok(());
        };
        let Some(migration) = self.cell.next_migration(self.now_ms, from) else {
            return Ok(());
        };
        // Its statement may have been in transit when it ended.
        let Some(run) = self.runs.get(&migration.run.0) else {
            let outcome = MigrationOutcome::Ended;
            self.cell.finish_migration(self.now_ms, migration, outcome);
            return Ok(());
        };
        self.transfers.push(Transfer {
            held_tokens: run.held_tokens(self.now_ms),
            migration,
        });
        self.check(migration.to, "a transfer", MAX_TRANSFER_TOKENS)
    }

    fn finish_migration(&mut self, index: usize, outcome: MigrationOutcome) {
        if self.transfers.is_empty() {
            return;
        }
        let transfer = self.transfers.remove(index % self.transfers.len());
        let migration = transfer.migration;
        let outcome = match self.runs.get_mut(&migration.run.0) {
            Some(run) if outcome == MigrationOutcome::Moved => {
                run.statement.engine = migration.to;
                outcome
            }
            Some(_) => outcome,
            None if outcome == MigrationOutcome::Orphaned => outcome,
            None => MigrationOutcome::Ended,
        };
        if outcome == MigrationOutcome::Orphaned {
            self.orphans.push(Orphan {
                engine: migration.to,
                held_tokens: transfer.held_tokens,
                until_ms: self.now_ms + CAPACITY.copy_ttl_ms,
            });
        }
        self.cell.finish_migration(self.now_ms, migration, outcome);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against an engine that crashes because a home sends it more than its memory holds, in
    /// any order of placements, ends, notices, migrations and statements. Answers are as long as
    /// their callers estimate.
    #[test]
    fn engines_hold_what_is_sent_to_them(steps in prop::collection::vec(step(), 1..250)) {
        let mut world = World::new();
        for step in &steps {
            world.apply(step)?;
        }
    }
}
