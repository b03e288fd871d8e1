//! What is believed of engines that come, go and are heard of late.

use fulmarpath_policy::{CellEngine, Placement, RunEnd, RunKey, RunStatement, UpstreamKey};

use crate::fixtures::{ME, NEAR, cell, engine, engine_of, request, statement};

/// An engine's entry vanishes without a notice while it has generations: they are carried off as
/// after a notice, and the engine is forgotten with the last of them.
#[test]
fn an_engine_that_vanishes_is_leaving() {
    let mut cell = cell(&[engine(1, NEAR, false), engine(2, NEAR, false)]);
    cell.restate(0, ME, &[statement(1, 1, 100, 900)]);
    cell.set_engines(10, &[engine(2, NEAR, false)]);
    assert_eq!(cell.leaving_engines(), [UpstreamKey(1)]);
    cell.end(20, RunKey(1), RunEnd::default());
    cell.set_engines(20, &[engine(2, NEAR, false)]);
    assert_eq!(cell.leaving_engines(), []);
}

/// A home learns what it didn't see and forgets what a host no longer states, but not a placement
/// that its host couldn't state yet; generations of a dead host are over.
#[test]
fn statements_mend_the_table() {
    let mut cell = cell(&[engine(1, NEAR, false)]);
    cell.place(0, &request(1, 3_000, 900, 800));
    cell.restate(1_000, ME, &[statement(2, 1, 50, 900)]);
    assert_eq!(
        cell.run_count(),
        2,
        "the placement is too fresh to be missing"
    );
    cell.restate(2_000, ME, &[statement(2, 1, 150, 900)]);
    assert_eq!(cell.run_count(), 1);
    cell.retain_hosts(|host| host != ME);
    assert_eq!(cell.run_count(), 0);
}

/// The store is away, and an engine goes without a word that anybody could hear. A host could not
/// reach it and its home neither: it gets nothing new, though it looks the emptiest, until it can
/// be reached again.
#[test]
fn an_engine_that_cannot_be_reached_gets_nothing() {
    let engines: Vec<CellEngine> = (1..=4).map(|key| engine(key, NEAR, false)).collect();
    let mut cell = cell(&engines);
    let held: Vec<RunStatement> = (2..=4).map(|key| statement(key, key, 100, 900)).collect();
    cell.restate(0, ME, &held);
    assert!(cell.mark_unreachable(UpstreamKey(1)));
    assert!(!cell.mark_unreachable(UpstreamKey(1)), "it is known");
    let placed = engine_of(cell.place(10, &request(9, 3_000, 900, 800)));
    assert_ne!(placed, Some(1));
    assert!(cell.mark_reachable(UpstreamKey(1)));
    let placed = engine_of(cell.place(20, &request(10, 3_000, 900, 800)));
    assert_eq!(placed, Some(1));
}

/// A home that is cut off reaches no engine. It goes on with half of them rather than with none:
/// the hosts that ask it may well reach them.
#[test]
fn a_home_that_is_cut_off_closes_half_at_the_most() {
    let engines: Vec<CellEngine> = (1..=4).map(|key| engine(key, NEAR, false)).collect();
    let mut cell = cell(&engines);
    let closed = (1..=4).filter(|key| cell.mark_unreachable(UpstreamKey(*key)));
    assert_eq!(closed.count(), 2);
    assert!(engine_of(cell.place(10, &request(9, 3_000, 900, 800))).is_some());
}

/// The store is away, and an engine that is registered as ready says that it leaves. Its
/// generations are carried off, also where an older entry comes again meanwhile.
#[test]
fn an_engine_is_believed_before_its_entry() {
    let engines = [engine(1, NEAR, false), engine(2, NEAR, false)];
    let mut cell = cell(&engines);
    cell.restate(0, ME, &[statement(1, 1, 100, 900)]);
    assert_eq!(cell.next_migration(5, UpstreamKey(1)), None);
    assert!(cell.set_time_left(10, UpstreamKey(1), 1_500));
    cell.set_engines(20, &engines);
    let carry = cell.next_migration(30, UpstreamKey(1));
    assert_eq!(carry.map(|carry| carry.run.0), Some(1));
}

/// An engine starts again under its name: what ran there is lost with the start before, and so is the
/// running copy of another's. The home neither carries it off nor counts it, and the new start is as
/// empty as it is; a late word of the lost generation's end changes nothing.
#[test]
fn what_was_at_an_earlier_start_is_forgotten() {
    let engines = [engine(1, NEAR, false), engine(2, NEAR, false)];
    let mut cell = cell(&engines);
    let placed = cell.place(0, &request(1, 3_000, 900, 800));
    let Placement::On { engine: first, .. } = placed else {
        panic!("{placed:?}");
    };
    cell.place(0, &request(2, 3_000, 900, 800));
    let again = CellEngine {
        key: UpstreamKey(first.0 + 10),
        ..engine(first.0, NEAR, false)
    };
    let other = engine(3 - first.0, NEAR, false);
    cell.set_engines(2_000, &[again, other]);
    assert_eq!(cell.run_count(), 1);
    assert!(cell.leaving_engines().is_empty());
    assert!(!cell.is_leaving(first));
    cell.end(2_000, RunKey(1), RunEnd::default());
    let next = cell.place(2_000, &request(3, 3_000, 900, 800));
    assert!(
        matches!(next, Placement::On { engine, seen, .. } if engine == again.key && seen.running == 0),
        "{next:?}"
    );
}
