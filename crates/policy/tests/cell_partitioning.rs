//! How a service's engines are divided into cells.

use std::collections::{BTreeMap, BTreeSet};

use fulmarpath_policy::CellPartitioning;
use rstest::rstest;

fn counts(near: usize, far: usize) -> BTreeMap<String, usize> {
    BTreeMap::from([("near".to_owned(), near), ("far".to_owned(), far)])
}

/// Cells that generations of a host in `near` and of one in `far` go to.
fn cells(division: &CellPartitioning) -> usize {
    let mut cells = BTreeSet::new();
    for host in ["near", "far"] {
        for draw in 0..4_096_u64 {
            let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            cells.insert(division.partition_for_generation(host, draw));
        }
    }
    cells.len()
}

struct Case {
    /// Engines near and far, one list after another.
    lists: &'static [(usize, usize)],
    cells: usize,
}

/// A few engines are one cell; more are divided by data centre and then into parts of at most 64.
/// Where engines go and come the division stays, until parts would be small.
#[rstest]
#[case::none(Case { lists: &[(0, 0)], cells: 1 })]
#[case::one_cell(Case { lists: &[(32, 32)], cells: 1 })]
#[case::by_data_centre(Case { lists: &[(40, 40)], cells: 2 })]
#[case::by_parts(Case { lists: &[(100, 300)], cells: 10 })]
#[case::stays_divided(Case { lists: &[(40, 40), (30, 30)], cells: 2 })]
#[case::is_one_again(Case { lists: &[(40, 40), (15, 15)], cells: 1 })]
#[case::keeps_its_parts(Case { lists: &[(130, 40), (110, 40)], cells: 5 })]
#[case::loses_parts(Case { lists: &[(130, 40), (60, 40)], cells: 2 })]
fn divides_by_size(#[case] case: Case) {
    let mut division = CellPartitioning::default();
    for (near, far) in case.lists {
        division = division.updated(&counts(*near, *far));
    }
    assert_eq!(cells(&division), case.cells);
}

/// All engines of a data centre go. Its hosts' generations go to the other, and the cells of the
/// others stay as they are.
#[test]
fn a_data_centre_without_engines_is_left_out() {
    let before = CellPartitioning::default().updated(&counts(70, 70));
    let after = before.updated(&counts(0, 70));
    assert!(after.has_same_cells(&before));
    let (data_centre, _) = after
        .partition_for_generation("near", 12_345)
        .expect("a part");
    assert_eq!(data_centre, "far");
}
