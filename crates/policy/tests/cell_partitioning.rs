//! Partitioning of a service's engines into cells.

use std::collections::{BTreeMap, BTreeSet};

use fulmarpath_policy::CellPartitioning;
use rstest::rstest;

fn counts(near: usize, far: usize) -> BTreeMap<String, usize> {
    BTreeMap::from([("near".to_owned(), near), ("far".to_owned(), far)])
}

/// Number of cells that generations of hosts in `near` and in `far` go to.
fn cells(partitioning: &CellPartitioning) -> usize {
    let mut cells = BTreeSet::new();
    for host in ["near", "far"] {
        for draw in 0..4_096_u64 {
            let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            cells.insert(partitioning.partition_for_generation(host, draw));
        }
    }
    cells.len()
}

struct Case {
    /// Successive engine counts in `near` and `far`.
    counts: &'static [(usize, usize)],
    cells: usize,
}

/// A few engines form one cell. More are divided by data centre and then into cells of at most 64.
/// The partitioning is kept while engines come and go, until cells would be small.
#[rstest]
#[case::none(Case { counts: &[(0, 0)], cells: 1 })]
#[case::one_cell(Case { counts: &[(32, 32)], cells: 1 })]
#[case::by_data_centre(Case { counts: &[(40, 40)], cells: 2 })]
#[case::by_partitions(Case { counts: &[(100, 300)], cells: 10 })]
#[case::stays_partitioned(Case { counts: &[(40, 40), (30, 30)], cells: 2 })]
#[case::merges_into_one_cell(Case { counts: &[(40, 40), (15, 15)], cells: 1 })]
#[case::keeps_its_partitions(Case { counts: &[(130, 40), (110, 40)], cells: 5 })]
#[case::loses_partitions(Case { counts: &[(130, 40), (60, 40)], cells: 2 })]
fn partitions_by_size(#[case] case: Case) {
    let mut partitioning = CellPartitioning::default();
    for (near, far) in case.counts {
        partitioning = partitioning.updated(&counts(*near, *far));
    }
    assert_eq!(cells(&partitioning), case.cells);
}

/// A data centre loses all engines: its hosts' generations go to the other data centre, and the
/// other cells don't change.
#[test]
fn a_data_centre_without_engines_gets_no_generations() {
    let before = CellPartitioning::default().updated(&counts(70, 70));
    let after = before.updated(&counts(0, 70));
    assert!(after.has_same_cells(&before));
    let (data_centre, _) = after
        .partition_for_generation("near", 12_345)
        .expect("a partition");
    assert_eq!(data_centre, "far");
}

/// Guards against a bound that is lost when a service becomes a single cell again.
#[test]
fn a_smaller_bound_is_kept() {
    let mut partitioning = CellPartitioning::new(2);
    for (near, expected) in [(2, 1), (3, 2), (1, 1), (3, 2)] {
        partitioning = partitioning.updated(&counts(near, 0));
        assert_eq!(cells(&partitioning), expected, "{near} engines");
        assert_eq!(partitioning.is_single_cell(), expected == 1);
        let with_engines = if expected == 1 { 0 } else { expected };
        assert_eq!(partitioning.partitions().count(), with_engines);
    }
}
