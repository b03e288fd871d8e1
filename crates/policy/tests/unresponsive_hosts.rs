//! Removal of the store entries of hosts that don't answer.

use fulmarpath_policy::UnresponsiveHosts;
use rstest::rstest;

#[derive(Clone, Copy)]
enum Probe {
    Silent,
    Answers,
    /// The host is not listed, or is known to be present.
    Present,
}
use Probe::{Answers, Present, Silent};

/// Guards against removing the entry of a host that is only partitioned or restarting, which
/// joining hosts could then not find. Only a host that is silent for half a minute loses it.
#[rstest]
#[case::lost(&[Silent; 6], true)]
#[case::restarted(&[Silent, Silent, Silent, Answers, Silent, Silent, Silent], false)]
#[case::found_by_others(&[Silent, Silent, Silent, Silent, Silent, Present, Silent], false)]
#[case::silent_for_a_while(&[Silent; 5], false)]
fn only_lost_hosts_lose_their_entry(#[case] probes: &[Probe], #[case] is_removed: bool) {
    let mut hosts = UnresponsiveHosts::default();
    let mut removed = false;
    for probe in probes {
        match probe {
            Silent => removed = hosts.record_miss("h1"),
            Answers => hosts.record_answer("h1"),
            Present => hosts.retain(|name| name != "h1"),
        }
    }
    assert_eq!(removed, is_removed);
}
