//! The order of a store's states once it may come back from a copy.

use fulmarpath_policy::Revision;
use rstest::rstest;

const PROVISIONAL: Revision = Revision::new(0, 1);

struct Case {
    earlier: Revision,
    later: Revision,
    is_return: bool,
}

/// Guards against numbers that are compared across eras.
#[rstest]
#[case::within_an_era(Case { earlier: Revision::new(1, 5), later: Revision::new(1, 6), is_return: false })]
#[case::across_eras(Case { earlier: Revision::new(1, 50), later: Revision::new(2, 4), is_return: true })]
#[case::the_same_number(Case { earlier: Revision::new(1, 5), later: Revision::new(2, 5), is_return: true })]
#[case::nothing_known(Case { earlier: Revision::default(), later: Revision::new(2, 4), is_return: false })]
#[case::nothing_certain(Case { earlier: PROVISIONAL, later: Revision::new(2, 4), is_return: false })]
#[case::a_store_that_begins_to_tell(Case { earlier: Revision::new(0, 9), later: Revision::new(1, 2), is_return: true })]
fn an_era_goes_before_a_number(#[case] case: Case) {
    assert!(case.earlier < case.later);
    let is_return = case.later.is_restore_since(case.earlier, PROVISIONAL);
    assert_eq!(is_return, case.is_return);
}
