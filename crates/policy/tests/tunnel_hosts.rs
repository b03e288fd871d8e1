//! Over which other hosts tunnels are opened.

use std::net::SocketAddr;

use fulmarpath_policy::TunnelHosts;
use rstest::rstest;

fn host(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, 1], number))
}

struct AskCase {
    /// Hosts that could not open a tunnel, and when.
    unusable: &'static [(u64, u16)],
    opened: Option<u16>,
    preferred: Option<u16>,
    now_ms: u64,
    to_ask: &'static [u16],
    needs_candidates: bool,
}

/// Guards against waiting for hosts that are known to open no tunnels, and against asking others
/// than the one that has just opened one.
#[rstest]
#[case::as_drawn(AskCase { unusable: &[], opened: None, preferred: None, now_ms: 1_000, to_ask: &[1, 2, 3], needs_candidates: false })]
#[case::has_opened(AskCase { unusable: &[], opened: Some(3), preferred: None, now_ms: 1_000, to_ask: &[3, 1, 2], needs_candidates: false })]
#[case::preferred(AskCase { unusable: &[], opened: Some(3), preferred: Some(2), now_ms: 1_000, to_ask: &[2, 3, 1], needs_candidates: false })]
#[case::unusable(AskCase { unusable: &[(1_000, 1)], opened: None, preferred: Some(1), now_ms: 1_100, to_ask: &[2, 3], needs_candidates: false })]
#[case::usable_again(AskCase { unusable: &[(1_000, 1)], opened: None, preferred: None, now_ms: 2_000, to_ask: &[1, 2, 3], needs_candidates: false })]
#[case::all_unusable(AskCase { unusable: &[(1_000, 1), (1_000, 2), (1_000, 3)], opened: None, preferred: None, now_ms: 1_900, to_ask: &[], needs_candidates: false })]
#[case::all_unusable_for_long(AskCase { unusable: &[(1_900, 1), (1_900, 2), (1_900, 3)], opened: None, preferred: None, now_ms: 2_000, to_ask: &[], needs_candidates: true })]
#[case::old_candidates(AskCase { unusable: &[], opened: None, preferred: None, now_ms: 6_000, to_ask: &[1, 2, 3], needs_candidates: true })]
fn hosts_are_asked_by_what_they_did(#[case] case: AskCase) {
    let mut hosts = TunnelHosts::default();
    assert!(hosts.needs_candidates(1_000));
    hosts.set_candidates(1_000, &[1, 2, 3].map(host));
    for (at_ms, number) in case.unusable {
        hosts.record_unusable(*at_ms, host(*number));
    }
    if let Some(opened) = case.opened {
        hosts.record_open(host(opened));
    }
    let to_ask = hosts.to_ask(case.now_ms, case.preferred.map(host));
    let expected: Vec<SocketAddr> = case.to_ask.iter().copied().map(host).collect();
    assert_eq!(to_ask, expected);
    assert_eq!(hosts.needs_candidates(case.now_ms), case.needs_candidates);
}

/// Guards against tunnels that move to another host each time candidates are drawn.
#[test]
fn host_that_opened_the_last_tunnel_is_kept() {
    let mut hosts = TunnelHosts::default();
    hosts.set_candidates(1_000, &[1, 2].map(host));
    hosts.record_open(host(2));
    hosts.set_candidates(6_000, &[3, 4].map(host));
    assert_eq!(hosts.to_ask(6_000, None), [2, 3, 4].map(host));
}
