//! Order of revisions of a store that may be restored from a backup.

use fulmarpath_policy::Revision;
use rstest::rstest;

const PROVISIONAL: Revision = Revision::new(0, 1);

struct Case {
    earlier: Revision,
    later: Revision,
    is_restore: bool,
}

/// Guards against comparing numbers across eras.
#[rstest]
#[case::within_an_era(Case { earlier: Revision::new(1, 5), later: Revision::new(1, 6), is_restore: false })]
#[case::across_eras(Case { earlier: Revision::new(1, 50), later: Revision::new(2, 4), is_restore: true })]
#[case::the_same_number(Case { earlier: Revision::new(1, 5), later: Revision::new(2, 5), is_restore: true })]
#[case::nothing_known(Case { earlier: Revision::default(), later: Revision::new(2, 4), is_restore: false })]
#[case::nothing_certain(Case { earlier: PROVISIONAL, later: Revision::new(2, 4), is_restore: false })]
#[case::a_store_that_begins_to_report_its_era(Case { earlier: Revision::new(0, 9), later: Revision::new(1, 2), is_restore: true })]
fn eras_are_compared_before_numbers(#[case] case: Case) {
    assert!(case.earlier < case.later);
    let is_restore = case.later.is_restore_since(case.earlier, PROVISIONAL);
    assert_eq!(is_restore, case.is_restore);
}
