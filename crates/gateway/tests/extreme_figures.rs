//! Arithmetic on figures from store entries, the configuration and peers, at the ends of their range.

use fulmarpath_gateway::{
    Directory, DirectoryChange, ExpiredEntry, RegisteredState, Registration, Roster, Route,
    RouteKind, Share, Snapshot,
};
use fulmarpath_policy::{
    EvacuationState, Evacuations, Playout, ReportedLoad, Revision, UpstreamStats,
};
use rstest::rstest;

fn route(weights: &[u32]) -> Route {
    let share = |(number, weight): (usize, &u32)| Share {
        service: format!("s-{number}"),
        weight: *weight,
    };
    Route {
        name: "checks".to_owned(),
        host: "host".to_owned(),
        path_prefix: "/checks/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 0,
        target_ms: 0,
        gap_target_ms: None,
        priority: 0,
        shares: weights.iter().enumerate().map(share).collect(),
        can_resume: false,
        max_attempts: 1,
        is_public: true,
    }
}

/// Guards against weights whose sum exceeds the range of one weight.
#[rstest]
#[case::first(&[u32::MAX, u32::MAX, u32::MAX], 0.1, "s-0")]
#[case::middle(&[u32::MAX, u32::MAX, u32::MAX], 0.5, "s-1")]
#[case::last(&[u32::MAX, u32::MAX, u32::MAX], 0.9, "s-2")]
#[case::all_zero(&[0, 0], 0.5, "s-1")]
#[case::one_zero(&[0, 1], 0.0, "s-1")]
fn largest_weights_divide_requests(
    #[case] weights: &[u32],
    #[case] draw: f32,
    #[case] service: &str,
) {
    assert_eq!(route(weights).pick_service(draw), Some(service));
}

fn registration() -> Registration {
    Registration {
        instance: "i-1".to_owned(),
        started_at_ms: Some(u64::MAX),
        service: "portal".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "dc-a".to_owned(),
        slots: u32::MAX,
        state: RegisteredState::Ready,
        cold_ms: u64::MAX,
    }
}

/// Guards against the largest revision, start time and time left, with which the state of the
/// upstreams is kept.
#[test]
fn roster_keeps_the_largest_figures() {
    let largest = Revision::new(u64::MAX, u64::MAX);
    let mut roster = Roster::new(u64::MAX);
    roster.replace(
        0,
        Snapshot {
            revision: Revision::new(u64::MAX, u64::MAX - 1),
            items: vec![registration()],
            unusable: Vec::new(),
        },
    );
    roster.observe_restart("i-1", u64::MAX);
    roster.apply_peer_change(
        1,
        DirectoryChange {
            from_revision: Revision::new(u64::MAX, u64::MAX - 1),
            revision: largest,
            expired: vec![ExpiredEntry {
                instance: "i-1".to_owned(),
                left_ms: u64::MAX,
                confirmed_at: largest,
            }],
            ..DirectoryChange::default()
        },
    );
    roster.expire(2);
    assert_eq!(roster.len(), 1);
    assert_eq!(roster.revision(), largest);
    assert_eq!(largest.next(), largest);
    assert!(roster.change_since(3, Directory::PROVISIONAL).is_complete());
}

/// Guards against a peer that says that an evacuation is kept for the longest time.
#[test]
fn evacuation_is_kept_for_the_longest_time() {
    let mut evacuations = Evacuations::default();
    evacuations.merge_peer(
        5,
        EvacuationState {
            revision: Revision::new(1, u64::MAX),
            data_centres: ["dc-a".to_owned()].into(),
            unconfirmed: [("dc-a".to_owned(), u64::MAX)].into(),
        },
    );
    evacuations.expire(6);
    assert!(evacuations.is_evacuated("dc-a"));
}

/// Guards against a load report whose sum exceeds the range of its figures.
#[test]
fn largest_load_report_counts() {
    let mut stats = UpstreamStats::default();
    let load = ReportedLoad {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: u32::MAX,
        work_time_percent: Some(u32::MAX),
    };
    stats.record_load(1, load);
    assert!(stats.occupancy(1) > 8e9);
    assert!(stats.cost_with_slowdown(1, 1.0).is_finite());
}

/// Guards against the longest pause that a route may allow.
#[test]
fn longest_pause_target_releases_events_at_once() {
    let mut playout = Playout::new(u64::MAX, u64::MAX);
    assert_eq!(playout.max_engine_pause_ms(), u64::MAX);
    for arrived_ms in [1, 2] {
        assert!(playout.release(arrived_ms).at_ms >= arrived_ms);
    }
}
