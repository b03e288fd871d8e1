//! When the entry of a host that doesn't answer is removed.

use fulmarpath_policy::UnresponsiveHosts;
use rstest::rstest;

#[derive(Clone, Copy)]
enum Look {
    Silent,
    Answers,
    /// It isn't named any more, or is known to be present.
    NotAbsent,
}
use Look::{Answers, NotAbsent, Silent};

/// A host is cut off, restarted, or gone for good. Only one that is silent for half a minute on end
/// loses its entry: another that lost it for a pause could not be found by a newcomer.
#[rstest]
#[case::gone(&[Silent; 6], true)]
#[case::restarted(&[Silent, Silent, Silent, Answers, Silent, Silent, Silent], false)]
#[case::found_by_others(&[Silent, Silent, Silent, Silent, Silent, NotAbsent, Silent], false)]
#[case::silent_for_a_while(&[Silent; 5], false)]
fn only_the_gone_lose_their_entry(#[case] looks: &[Look], #[case] is_removed: bool) {
    let mut absences = UnresponsiveHosts::default();
    let mut removed = false;
    for look in looks {
        match look {
            Silent => removed = absences.record_miss("h1"),
            Answers => absences.record_answer("h1"),
            NotAbsent => absences.retain(|name| name != "h1"),
        }
    }
    assert_eq!(removed, is_removed);
}
