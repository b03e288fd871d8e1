//! Detection of lost watchers of the store.

use fulmarpath_policy::{Millis, Substitution, WatcherLiveness};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const BOUND_MS: Millis = 2_000;

struct Silence {
    /// Time since a watcher was last heard of.
    silent_ms: Millis,
    /// Number of hosts of the area that rank higher.
    higher_ranked: usize,
    substitutes: bool,
}

/// Guards against lost watchers whose work nobody takes over in time, and against a fleet of which
/// all hosts take it over at once.
#[rstest]
#[case::just_heard(Silence { silent_ms: 0, higher_ranked: 0, substitutes: false })]
#[case::heard_lately(Silence { silent_ms: 999, higher_ranked: 0, substitutes: false })]
#[case::silent(Silence { silent_ms: 1_000, higher_ranked: 0, substitutes: true })]
#[case::others_come_first(Silence { silent_ms: 1_000, higher_ranked: 2, substitutes: false })]
#[case::others_have_not_come(Silence { silent_ms: 1_120, higher_ranked: 2, substitutes: true })]
#[case::many_others_come_first(Silence { silent_ms: 4_000, higher_ranked: 100, substitutes: false })]
fn a_host_watches_in_its_turn(#[case] case: Silence) {
    let mut liveness = WatcherLiveness::default();
    liveness.record(10_000, 0);
    let now_ms = 10_000 + case.silent_ms;
    let substitution = liveness.substitution(now_ms, BOUND_MS, case.higher_ranked);
    assert_eq!(substitution != Substitution::No, case.substitutes);
}

/// Guards against a host that takes over as soon as it starts, before it can have heard of any
/// watcher, and against one that never does.
#[test]
fn a_new_host_waits_for_its_turn() {
    let mut liveness = WatcherLiveness::default();
    let at = |liveness: &mut WatcherLiveness, now_ms| liveness.substitution(now_ms, BOUND_MS, 0);
    assert_eq!(at(&mut liveness, 50_000), Substitution::No);
    assert_eq!(at(&mut liveness, 50_900), Substitution::No);
    let silent_ms = 1_000;
    let begins = Substitution::Begins { silent_ms };
    assert_eq!(at(&mut liveness, 51_000), begins);
    assert_eq!(at(&mut liveness, 51_001), Substitution::Continues);
    liveness.end_substitution(51_002);
    liveness.record(51_002, 100);
    assert_eq!(at(&mut liveness, 51_003), Substitution::No);
}

/// Guards against an older word of a watcher that replaces a later one.
#[test]
fn the_latest_word_counts() {
    let mut liveness = WatcherLiveness::default();
    assert_eq!(liveness.age_ms(1_000), None);
    liveness.record(1_000, 200);
    liveness.record(1_100, 700);
    assert_eq!(liveness.age_ms(1_100), Some(300));
    liveness.record(1_200, 50);
    assert_eq!(liveness.age_ms(1_300), Some(150));
}

struct Fleet {
    hosts: usize,
    watchers: usize,
    /// The bound on changes that deployments of this size have.
    bound_ms: Millis,
}

/// Time between two pings of a host.
const PING_PERIOD_MS: Millis = 250;
const DURATION_MS: Millis = 30_000;

/// Guards against hosts that take over although the watchers work, because the word of the watchers
/// takes too long to reach all hosts, at the present sizes of fleets and at twice the largest.
#[rstest]
#[case::few(Fleet { hosts: 5, watchers: 2, bound_ms: 2_000 })]
#[case::three_data_centres(Fleet { hosts: 9, watchers: 2, bound_ms: 2_000 })]
#[case::dozens(Fleet { hosts: 81, watchers: 3, bound_ms: 3_000 })]
#[case::hundreds(Fleet { hosts: 195, watchers: 5, bound_ms: 4_000 })]
#[case::a_thousand(Fleet { hosts: 1_000, watchers: 5, bound_ms: 5_000 })]
#[case::two_thousand(Fleet { hosts: 2_000, watchers: 5, bound_ms: 5_000 })]
fn no_host_takes_over_from_working_watchers(#[case] fleet: Fleet) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut hosts = vec![WatcherLiveness::default(); fleet.hosts];
    let mut rounds: Vec<Vec<usize>> = vec![Vec::new(); fleet.hosts];
    let phases: Vec<Millis> = (0..fleet.hosts)
        .map(|_| rng.random_range(0..PING_PERIOD_MS))
        .collect();
    for now_ms in 0..DURATION_MS {
        let due = |phase: &Millis| now_ms % PING_PERIOD_MS == *phase;
        let pinging: Vec<usize> = (0..fleet.hosts)
            .filter(|host| due(&phases[*host]))
            .collect();
        for host in pinging {
            let target = next_target(host, fleet.hosts, &mut rounds[host], &mut rng);
            for watcher in [host, target].into_iter().filter(|it| *it < fleet.watchers) {
                hosts[watcher].record(now_ms, 0);
            }
            exchange(now_ms, &mut hosts, host, target);
            let substitution = hosts[host].substitution(now_ms, fleet.bound_ms, 0);
            assert_eq!(substitution, Substitution::No, "host {host} at {now_ms} ms");
        }
    }
}

/// Each other host once a round, in random order.
fn next_target(host: usize, hosts: usize, round: &mut Vec<usize>, rng: &mut ChaCha8Rng) -> usize {
    if round.is_empty() {
        *round = (0..hosts).filter(|other| *other != host).collect();
        round.shuffle(rng);
    }
    round.pop().expect("another host")
}

/// Passes on what two hosts know, as a ping and its answer do.
fn exchange(now_ms: Millis, hosts: &mut [WatcherLiveness], one: usize, other: usize) {
    let ages = [one, other].map(|host| hosts[host].age_ms(now_ms));
    for (host, age_ms) in [(other, ages[0]), (one, ages[1])] {
        if let Some(age_ms) = age_ms {
            hosts[host].record(now_ms, age_ms);
        }
    }
}
