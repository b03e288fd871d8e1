//! Registration, reachability and restarts of a cell's engines.

use std::collections::BTreeMap;

use fulmarpath_policy::{
    Cell, CellEngine, HostKey, Placement, RunEnd, RunKey, RunStatement, UpstreamKey,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::fixtures::{HOST, LOCAL, cell, engine, engine_of, request, statement};

/// Guards against losing the generations of an engine whose registration disappears without notice.
/// They are migrated as after a notice, and the engine is removed with the last of them.
#[test]
fn unregistered_engine_is_leaving() {
    let mut cell = cell(&[engine(1, LOCAL, false), engine(2, LOCAL, false)]);
    cell.restate(0, HOST, &[statement(1, 1, 100, 900)]);
    cell.set_engines(10, &[engine(2, LOCAL, false)]);
    assert_eq!(cell.leaving_engines(), [UpstreamKey(1)]);
    cell.end(20, RunKey(1), RunEnd::default());
    cell.set_engines(20, &[engine(2, LOCAL, false)]);
    assert_eq!(cell.leaving_engines(), []);
}

/// A home learns unknown generations from statements and removes those that a host no longer
/// states, except a placement too recent to be stated. Generations of a dead host are removed.
#[test]
fn statements_correct_the_table() {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    cell.place(0, &request(1, 3_000, 900, 800));
    cell.restate(1_000, HOST, &[statement(2, 1, 50, 900)]);
    assert_eq!(
        cell.run_count(),
        2,
        "a recent placement may be missing from a statement"
    );
    cell.restate(2_000, HOST, &[statement(2, 1, 150, 900)]);
    assert_eq!(cell.run_count(), 1);
    cell.retain_hosts(|host| host != HOST);
    assert_eq!(cell.run_count(), 0);
}

/// Guards against placing generations on an engine that ended unnoticed while the store was down. A
/// host cannot reach it and its home cannot either: it gets nothing new, although it looks
/// emptiest, until it is reachable again.
#[test]
fn unreachable_engine_gets_nothing() {
    let engines: Vec<CellEngine> = (1..=4).map(|key| engine(key, LOCAL, false)).collect();
    let mut cell = cell(&engines);
    let held: Vec<RunStatement> = (2..=4).map(|key| statement(key, key, 100, 900)).collect();
    cell.restate(0, HOST, &held);
    assert!(cell.mark_unreachable(UpstreamKey(1)));
    assert!(!cell.mark_unreachable(UpstreamKey(1)), "already marked");
    let placed = engine_of(cell.place(10, &request(9, 3_000, 900, 800)));
    assert_ne!(placed, Some(1));
    assert!(cell.mark_reachable(UpstreamKey(1)));
    let placed = engine_of(cell.place(20, &request(10, 3_000, 900, 800)));
    assert_eq!(placed, Some(1));
}

/// Guards against a partitioned home that closes all engines because it reaches none. It keeps
/// using half of them, since the hosts that send it requests may still reach them.
#[test]
fn partitioned_home_closes_at_most_half() {
    let engines: Vec<CellEngine> = (1..=4).map(|key| engine(key, LOCAL, false)).collect();
    let mut cell = cell(&engines);
    let closed = (1..=4).filter(|key| cell.mark_unreachable(UpstreamKey(*key)));
    assert_eq!(closed.count(), 2);
    assert!(engine_of(cell.place(10, &request(9, 3_000, 900, 800))).is_some());
}

/// Guards against ignoring an engine that announces its end while the store is down and it is
/// registered as ready. Its generations are migrated, even if an older registration arrives again.
#[test]
fn engine_statement_precedes_its_registration() {
    let engines = [engine(1, LOCAL, false), engine(2, LOCAL, false)];
    let mut cell = cell(&engines);
    cell.restate(0, HOST, &[statement(1, 1, 100, 900)]);
    assert_eq!(cell.next_migration(5, UpstreamKey(1)), None);
    assert!(cell.set_time_left(10, UpstreamKey(1), 1_500));
    cell.set_engines(20, &engines);
    let migration = cell.next_migration(30, UpstreamKey(1));
    assert_eq!(migration.map(|migration| migration.run.0), Some(1));
}

/// Guards against state that survives the restart of an engine under the same name. Its generations
/// are lost, and so are the backup copies of others on it. The home neither migrates nor counts
/// them, and the restarted engine is empty. A late message that a lost generation has ended changes
/// nothing.
#[test]
fn state_of_an_earlier_start_is_dropped() {
    let engines = [engine(1, LOCAL, false), engine(2, LOCAL, false)];
    let mut cell = cell(&engines);
    let placed = cell.place(0, &request(1, 3_000, 900, 800));
    let Placement::On { engine: first, .. } = placed else {
        panic!("{placed:?}");
    };
    cell.place(0, &request(2, 3_000, 900, 800));
    let restarted = CellEngine {
        key: UpstreamKey(first.0 + 10),
        ..engine(first.0, LOCAL, false)
    };
    let other = engine(3 - first.0, LOCAL, false);
    cell.set_engines(2_000, &[restarted, other]);
    assert_eq!(cell.run_count(), 1);
    assert!(cell.leaving_engines().is_empty());
    assert!(!cell.is_leaving(first));
    cell.end(2_000, RunKey(1), RunEnd::default());
    let next = cell.place(2_000, &request(3, 3_000, 900, 800));
    assert!(
        matches!(next, Placement::On { engine, seen, .. } if engine == restarted.key && seen.running == 0),
        "{next:?}"
    );
}

/// Guards against cells that differ between hosts because one applied changes one by one and the
/// other a whole list: after any changes both place and migrate alike.
#[test]
fn changes_one_by_one_equal_the_whole_list() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut registered: BTreeMap<u64, CellEngine> = BTreeMap::new();
    let (mut by_list, mut by_change) = (Cell::default(), Cell::default());
    for step in 0..400_u64 {
        let key = rng.random_range(1..=12);
        let entry = engine(key, LOCAL, rng.random_bool(0.3));
        if rng.random_bool(0.3) {
            registered.remove(&key);
            by_change.unregister(step, UpstreamKey(key));
        } else {
            registered.insert(key, entry);
            by_change.register(step, entry);
        }
        let list: Vec<CellEngine> = registered.values().copied().collect();
        by_list.set_engines(step, &list);
        let placed = by_list.place(step, &request(step, 500, 64, 64));
        assert_eq!(placed, by_change.place(step, &request(step, 500, 64, 64)));
        let ended = RunKey(rng.random_range(0..=step));
        by_list.end(step, ended, RunEnd::default());
        by_change.end(step, ended, RunEnd::default());
        assert_eq!(by_list.leaving_engines(), by_change.leaving_engines());
    }
    for cell in [&mut by_list, &mut by_change] {
        cell.retain_hosts(|host| host != HOST);
        cell.set_engines(1_000, &[]);
        assert!(cell.is_idle());
    }
}

/// Guards against departed engines that are kept for good when no other engine of the cell changes:
/// they go with the host that relayed their last generations.
#[test]
fn departed_engine_goes_with_its_last_generation() {
    let mut cell = cell(&[engine(1, LOCAL, false)]);
    cell.restate(0, HOST, &[statement(1, 1, 100, 900)]);
    cell.unregister(10, UpstreamKey(1));
    assert!(cell.is_leaving(UpstreamKey(1)));
    cell.retain_hosts(|host: HostKey| host != HOST);
    assert!(cell.is_idle());
}

struct ProbedCell {
    engines: u64,
    generations: u64,
    probed: usize,
}

/// Guards against probes of all engines in each round of a store outage: in a fleet of mostly idle
/// engines they cost more than what they save. Engines with generations are probed, and of the idle
/// ones those that the next generations start on.
#[rstest]
#[case::idle_cell(ProbedCell { engines: 64, generations: 0, probed: 16 })]
#[case::few_generations(ProbedCell { engines: 64, generations: 4, probed: 20 })]
#[case::many_generations(ProbedCell { engines: 64, generations: 40, probed: 64 })]
#[case::small_cell(ProbedCell { engines: 14, generations: 1, probed: 14 })]
fn probes_follow_the_work(#[case] case: ProbedCell) {
    let engines: Vec<CellEngine> = (1..=case.engines)
        .map(|key| engine(key, LOCAL, false))
        .collect();
    let mut cell = cell(&engines);
    let busy = case.engines - case.generations + 1..=case.engines;
    let held: Vec<RunStatement> = busy
        .clone()
        .map(|key| statement(key, key, 100, 900))
        .collect();
    cell.restate(0, HOST, &held);
    let probed: Vec<UpstreamKey> = cell.engines_in_use().collect();
    assert_eq!(probed.len(), case.probed);
    assert!(
        busy.into_iter()
            .all(|key| probed.contains(&UpstreamKey(key)))
    );
    let next = engine_of(cell.place(10, &request(1_000, 3_000, 900, 800)));
    assert!(next.is_some_and(|key| probed.contains(&UpstreamKey(key))));
}
