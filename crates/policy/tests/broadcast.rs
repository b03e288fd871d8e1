//! Whom a host sends news to.

use std::collections::BTreeSet;

use fulmarpath_policy::{Recipient, broadcast_branches, split_branch};
use rstest::rstest;

struct Case {
    /// Hosts in each data centre; the sender stands in `a`.
    data_centres: &'static [(&'static str, usize)],
    /// Messages that the sender sends, and how often one goes to another data centre.
    sent: usize,
    far: usize,
}

fn audience(case: &Case) -> Vec<Recipient<'static, (usize, usize)>> {
    let all = case.data_centres.iter().enumerate();
    let listeners = all.flat_map(|(place, (data_centre, count))| {
        (0..*count).map(move |number| Recipient {
            data_centre,
            rank: (number as u64 * 7_919) % 1_009,
            address: (place, number),
        })
    });
    listeners.collect()
}

/// Every host hears once; each other data centre hears over one message, and no host sends more than
/// a few, however many hosts there are.
#[rstest]
#[case::alone(Case { data_centres: &[], sent: 0, far: 0 })]
#[case::one_other(Case { data_centres: &[("a", 1)], sent: 1, far: 0 })]
#[case::few(Case { data_centres: &[("a", 2), ("b", 2), ("c", 1)], sent: 4, far: 2 })]
#[case::hundreds(Case { data_centres: &[("a", 38), ("b", 39), ("c", 39), ("d", 39), ("e", 39)], sent: 7, far: 4 })]
#[case::nobody_near(Case { data_centres: &[("b", 40), ("c", 40)], sent: 2, far: 2 })]
fn all_hear_once_and_near_before_far(#[case] case: Case) {
    let audience = audience(&case);
    let first = broadcast_branches("a", audience.clone());
    assert_eq!(first.len(), case.sent);
    let is_far = |branch: &&Vec<(usize, usize)>| case.data_centres[branch[0].0].0 != "a";
    assert_eq!(first.iter().filter(is_far).count(), case.far);
    let mut heard = BTreeSet::new();
    let mut telling = first;
    while let Some(branch) = telling.pop() {
        let (teller, rest) = branch.split_first().expect("no branch is empty");
        assert!(heard.insert(*teller), "{teller:?} hears twice");
        assert!(rest.iter().all(|one| one.0 == teller.0), "a second way far");
        let onward = split_branch(rest);
        assert!(onward.len() <= 3);
        telling.extend(onward);
    }
    assert_eq!(heard.len(), audience.len());
}

/// The order in which hosts are known differs from host to host and start to start; who tells whom
/// doesn't, so connections are kept.
#[test]
fn the_order_of_knowing_changes_nothing() {
    let case = Case {
        data_centres: &[("a", 20), ("b", 20)],
        sent: 4,
        far: 1,
    };
    let mut shuffled = audience(&case);
    let once = broadcast_branches("a", shuffled.clone());
    shuffled.reverse();
    shuffled.swap(3, 17);
    assert_eq!(broadcast_branches("a", shuffled), once);
}
