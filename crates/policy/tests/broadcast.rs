//! The broadcast tree by which a host sends updates.

use std::collections::BTreeSet;

use fulmarpath_policy::{Recipient, broadcast_branches, split_branch};
use rstest::rstest;

struct Case {
    /// Hosts in each data centre; the sender is in `a`.
    data_centres: &'static [(&'static str, usize)],
    /// Messages that the sender sends, and how many of them go to another data centre.
    sent: usize,
    remote: usize,
}

fn recipients(case: &Case) -> Vec<Recipient<'static, (usize, usize)>> {
    let all = case.data_centres.iter().enumerate();
    let recipients = all.flat_map(|(index, (data_centre, count))| {
        (0..*count).map(move |number| Recipient {
            data_centre,
            rank: (number as u64 * 7_919) % 1_009,
            address: (index, number),
        })
    });
    recipients.collect()
}

/// Every host receives an update once. Each remote data centre gets a single message, and no host
/// sends more than a few for any number of hosts.
#[rstest]
#[case::alone(Case { data_centres: &[], sent: 0, remote: 0 })]
#[case::one_other(Case { data_centres: &[("a", 1)], sent: 1, remote: 0 })]
#[case::few(Case { data_centres: &[("a", 2), ("b", 2), ("c", 1)], sent: 4, remote: 2 })]
#[case::hundreds(Case { data_centres: &[("a", 38), ("b", 39), ("c", 39), ("d", 39), ("e", 39)], sent: 7, remote: 4 })]
#[case::no_local_hosts(Case { data_centres: &[("b", 40), ("c", 40)], sent: 2, remote: 2 })]
fn all_hosts_are_reached_once_with_one_message_per_remote_data_centre(#[case] case: Case) {
    let recipients = recipients(&case);
    let first = broadcast_branches("a", recipients.clone());
    assert_eq!(first.len(), case.sent);
    let is_remote = |branch: &&Vec<(usize, usize)>| case.data_centres[branch[0].0].0 != "a";
    assert_eq!(first.iter().filter(is_remote).count(), case.remote);
    let mut reached = BTreeSet::new();
    let mut pending = first;
    while let Some(branch) = pending.pop() {
        let (relay, rest) = branch.split_first().expect("no branch is empty");
        assert!(
            reached.insert(*relay),
            "{relay:?} receives the update twice"
        );
        assert!(
            rest.iter().all(|address| address.0 == relay.0),
            "a second message to another data centre"
        );
        let onward = split_branch(rest);
        assert!(onward.len() <= 3);
        pending.extend(onward);
    }
    assert_eq!(reached.len(), recipients.len());
}

/// Guards against trees that depend on the order in which a host learned of the others, which
/// differs from start to start and would prevent the reuse of connections.
#[test]
fn the_tree_does_not_depend_on_the_input_order() {
    let case = Case {
        data_centres: &[("a", 20), ("b", 20)],
        sent: 4,
        remote: 1,
    };
    let mut shuffled = recipients(&case);
    let expected = broadcast_branches("a", shuffled.clone());
    shuffled.reverse();
    shuffled.swap(3, 17);
    assert_eq!(broadcast_branches("a", shuffled), expected);
}
