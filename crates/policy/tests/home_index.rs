//! Homes of resources while hosts join and leave.

use std::collections::BTreeSet;

use fulmarpath_policy::{HomeIndex, HostKey, highest};
use proptest::prelude::*;
use rstest::rstest;

const RESOURCES: u64 = 40;

proptest! {
    /// Guards against hosts that disagree on a home because one of them kept an earlier one: the
    /// kept homes equal those of a new ranking after any joins and departures.
    #[test]
    fn kept_homes_equal_a_new_ranking(steps in prop::collection::vec((0_u64..30, any::<bool>()), 1..60)) {
        let mut hosts = BTreeSet::from([HostKey(99)]);
        let mut index = HomeIndex::default();
        for (host, joins) in steps {
            let host = HostKey(host);
            if joins {
                hosts.insert(host);
                index.add(host);
            } else if hosts.remove(&host) {
                index.remove(host);
            }
            for resource in 0..RESOURCES {
                let home = index.home_of(resource, hosts.iter().copied());
                prop_assert_eq!(home, highest(resource, hosts.iter().copied()));
            }
        }
    }
}

struct FleetSize {
    hosts: u64,
}

/// Guards against lookups that rank the whole fleet each time: with hundreds of cells, all of a
/// small host's processor time would go into finding homes. Lookups without a change of the members
/// visit no host, whatever the size of the fleet.
#[rstest]
#[case::hundred_hosts(FleetSize { hosts: 100 })]
#[case::thousand_hosts(FleetSize { hosts: 1_000 })]
fn repeated_lookups_rank_no_host(#[case] size: FleetSize) {
    let mut index = HomeIndex::default();
    let mut visited = 0;
    let mut look_up_all = |index: &mut HomeIndex| {
        visited = 0;
        for resource in 0..RESOURCES {
            let hosts = (0..size.hosts).map(HostKey);
            index.home_of(resource, hosts.inspect(|_| visited += 1));
        }
        visited
    };
    assert_eq!(look_up_all(&mut index), RESOURCES * size.hosts);
    assert_eq!(look_up_all(&mut index), 0);
    index.add(HostKey(size.hosts));
    assert_eq!(look_up_all(&mut index), 0);
}
