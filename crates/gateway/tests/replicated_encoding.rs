//! Tests the encoded form of the directory's changes and of the configuration between hosts.

use std::net::SocketAddr;

use bincode::Options;
use fulmarpath_gateway::{
    CallerLimits, Change, Changes, Configuration, DirectoryChange, RegisteredState, Registration,
    Roster, Route, RouteKind, Share, Snapshot,
};
use fulmarpath_policy::Revision;

fn registration(number: u64, state: RegisteredState) -> Registration {
    Registration {
        instance: format!("i-{number:010x}"),
        started_at_ms: None,
        service: "lefi36a".to_owned(),
        address: SocketAddr::from(([10, 1, 67, 233], 8_007)),
        data_centre: "zrh-a".to_owned(),
        slots: 24,
        state,
        cold_ms: 0,
    }
}

fn roster(revision: u64, numbers: std::ops::Range<u64>) -> Roster {
    let all = numbers.map(|number| registration(number, RegisteredState::Ready));
    let mut roster = Roster::default();
    let snapshot = Snapshot {
        revision: Revision::new(1, revision),
        items: all.collect(),
        unusable: Vec::new(),
    };
    roster.replace(0, snapshot);
    roster
}

/// Guards against changes that include unchanged upstreams, or lack new, changed or departed ones.
#[test]
fn change_contains_only_differences() {
    let mut roster = roster(5, 0..100);
    let changes = vec![
        Change::Put(registration(1, RegisteredState::Draining)),
        Change::Put(registration(2, RegisteredState::Ready)),
        Change::Put(registration(100, RegisteredState::Ready)),
        Change::Removed("i-0000000000".to_owned()),
    ];
    let revision = Revision::new(1, 9);
    roster.apply(1, Changes { revision, changes });
    let change = roster.change_since(0, Revision::new(1, 5));
    let mut put: Vec<&str> = change
        .put
        .iter()
        .map(|registration| registration.instance.as_str())
        .collect();
    put.sort();
    assert_eq!(put, ["i-0000000001", "i-0000000064"]);
    let gone: Vec<&str> = change
        .gone
        .iter()
        .map(|departure| departure.instance.as_str())
        .collect();
    assert_eq!(gone, ["i-0000000000"]);
    let (from, to) = (Revision::new(1, 5), Revision::new(1, 9));
    assert_eq!((change.from_revision, change.revision), (from, to));
}

/// Guards against a large or lossy form of a change. Every change goes to every host, so its form
/// decides the cost of an update: decoding returns the same value, and the bytes are less than a
/// third of its JSON.
#[test]
fn binary_change_is_compact_and_lossless() {
    let change = roster(9, 0..40).change_since(0, Revision::new(1, 5));
    assert_eq!(change.put.len(), 40);
    let bytes = bincode::DefaultOptions::new()
        .serialize(&change)
        .expect("encoding succeeds");
    let read: DirectoryChange = bincode::DefaultOptions::new()
        .deserialize(&bytes)
        .expect("decoding succeeds");
    assert_eq!(read, change);
    let json = serde_json::to_vec(&change).expect("encoding succeeds");
    assert!(
        bytes.len() * 3 < json.len(),
        "{} {}",
        bytes.len(),
        json.len()
    );
    assert!(bytes.len() / 40 < 50, "{}", bytes.len());
}

/// Guards against a large or lossy form of a configuration. One with very many routes is sent
/// complete from host to host over slow links and has to be in force everywhere within seconds:
/// decoding returns the same value, and the bytes are less than a third of its JSON.
#[test]
fn large_configuration_is_compact_and_lossless() {
    let routes = (0..1_500).map(|number| Route {
        name: format!("r-{number:07}"),
        host: "fiwu24.example".to_owned(),
        path_prefix: format!("/zino{number}/"),
        kind: RouteKind::Streaming,
        timeout_ms: 39_000,
        target_ms: 1_800,
        gap_target_ms: Some(180),
        priority: 1,
        shares: vec![Share {
            service: "lefi36a".to_owned(),
            weight: 100,
        }],
        can_resume: false,
        max_attempts: 1,
        is_public: false,
    });
    let configuration = Configuration {
        version: 10,
        routes: routes.collect(),
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 65_536,
            header_ms: 3_000,
            idle_ms: 15_000,
        },
        organisations: Vec::new(),
    };
    let bytes = bincode::DefaultOptions::new()
        .serialize(&configuration)
        .expect("encoding succeeds");
    let read: Configuration = bincode::DefaultOptions::new()
        .deserialize(&bytes)
        .expect("decoding succeeds");
    assert_eq!(read, configuration);
    let json = serde_json::to_vec(&configuration).expect("encoding succeeds");
    assert!(
        bytes.len() * 3 < json.len(),
        "{} {}",
        bytes.len(),
        json.len()
    );
}
