//! Decisions of an engine's home, of organisation limits, retry budgets and engine selection.

use fulmarpath_policy::{
    Candidate, EngineLoad, EnginePermitRequest, Home, HomeSettings, HostKey, Lengths,
    LimitExceeded, LimitTable, OrganisationKey, Outcome, PermitRequestId, RefusalReason,
    RequestLimits, RetryBudget, ServiceKey, UpstreamKey, Weights, pick,
};

const MEMORY_TOKENS: u32 = 10_000;

fn home() -> Home {
    Home::new(HomeSettings::new(
        Weights::default(),
        1.0,
        MEMORY_TOKENS,
        0.0,
    ))
}

fn request(id: u64, organisation: u64, prompt_tokens: u32) -> EnginePermitRequest {
    EnginePermitRequest {
        id: PermitRequestId(id),
        host: HostKey(1),
        organisation: OrganisationKey(organisation),
        service: ServiceKey(1),
        weight: 1.0,
        share: 0.5,
        prompt_tokens,
        out_tokens: 0,
        output_limit_tokens: 500,
        max_wait_ms: 10_000,
        only_now: false,
        known_tokens: Some(100),
    }
}

fn step(home: &mut Home, now_ms: u64) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    home.step(now_ms, &Lengths::new(), &mut outcomes);
    outcomes
}

fn granted(outcomes: &[Outcome]) -> Vec<u64> {
    let granted = outcomes.iter().filter_map(|outcome| match outcome {
        Outcome::Granted { ask, .. } => Some(ask.0),
        _ => None,
    });
    granted.collect()
}

fn refused(outcomes: &[Outcome]) -> Vec<(u64, RefusalReason)> {
    let refused = outcomes.iter().filter_map(|outcome| match outcome {
        Outcome::Refused { ask, reason, .. } => Some((ask.0, *reason)),
        _ => None,
    });
    refused.collect()
}

#[test]
fn requests_that_fit_start_and_others_wait() {
    let (mut home, lengths) = (home(), Lengths::new());
    for id in 0..5 {
        home.request_permit(1_000, request(id, id, 3_000), &lengths);
    }
    assert_eq!(granted(&step(&mut home, 1_000)).len(), 3);
    assert_eq!(home.load().queued, 2);
}

/// Guards against double counting when the answer to a request is lost and the entry host repeats
/// it: it gets the same permit, and the engine's memory is counted once.
#[test]
fn a_repeated_request_is_counted_once() {
    let (mut home, lengths) = (home(), Lengths::new());
    home.request_permit(1_000, request(1, 1, 3_000), &lengths);
    step(&mut home, 1_000);
    home.request_permit(1_300, request(1, 1, 3_000), &lengths);
    assert!(step(&mut home, 1_300).is_empty());
    assert_eq!(home.load().held_tokens, 3_000);
    assert!(home.granted_permit(PermitRequestId(1)).is_some());
}

/// Another host also acts as the home and fills the engine. The engine reports more memory than
/// this home's permits hold, and the excess is not granted.
#[test]
fn unaccounted_memory_is_not_granted() {
    let (mut home, lengths) = (home(), Lengths::new());
    home.request_permit(1_000, request(1, 1, 100), &lengths);
    step(&mut home, 1_000);
    let load = EngineLoad {
        used_tokens: 9_000,
        memory_tokens: MEMORY_TOKENS,
        ..EngineLoad::default()
    };
    for report in 0..8 {
        home.report(1_100 + report * 500, load);
    }
    home.request_permit(5_200, request(2, 2, 3_000), &lengths);
    assert!(granted(&step(&mut home, 5_200)).is_empty());
}

/// Guards against memory that stays held after an entry host has died: its permits expire.
#[test]
fn permits_of_a_dead_host_expire() {
    let (mut home, lengths) = (home(), Lengths::new());
    home.request_permit(1_000, request(1, 1, 9_000), &lengths);
    step(&mut home, 1_000);
    home.request_permit(2_000, request(2, 2, 9_000), &lengths);
    assert!(granted(&step(&mut home, 2_000)).is_empty());
    assert_eq!(granted(&step(&mut home, 7_100)), [2]);
}

#[test]
fn refusals_state_a_reason_and_come_at_once() {
    let (mut home, lengths) = (home(), Lengths::new());
    home.request_permit(1_000, request(1, 1, MEMORY_TOKENS), &lengths);
    assert_eq!(
        refused(&step(&mut home, 1_000)),
        [(1, RefusalReason::TooLarge)]
    );
    home.request_permit(1_000, request(2, 1, 9_000), &lengths);
    step(&mut home, 1_000);
    let unqueueable = EnginePermitRequest {
        only_now: true,
        ..request(3, 1, 9_000)
    };
    home.request_permit(1_000, unqueueable, &lengths);
    assert_eq!(
        refused(&step(&mut home, 1_000)),
        [(3, RefusalReason::NoRoomNow)]
    );
    home.set_leaving(true);
    home.request_permit(1_000, request(4, 1, 10), &lengths);
    assert_eq!(
        refused(&step(&mut home, 1_000)),
        [(4, RefusalReason::Leaving)]
    );
}

/// One organisation holds more than its share and has small requests in the queue. Another within
/// its share sends a large request and is served first. Running generations are not affected.
#[test]
fn guaranteed_shares_go_before_borrowing() {
    let (mut home, lengths) = (home(), Lengths::new());
    let mut permits = Vec::new();
    for id in 0..3 {
        home.request_permit(1_000, request(id, 1, 3_000), &lengths);
    }
    for outcome in step(&mut home, 1_000) {
        if let Outcome::Granted { permit, .. } = outcome {
            permits.push(permit);
        }
    }
    home.request_permit(1_100, request(10, 1, 200), &lengths);
    home.request_permit(1_100, request(11, 1, 200), &lengths);
    home.request_permit(1_200, request(20, 2, 2_500), &lengths);
    assert!(granted(&step(&mut home, 1_200)).is_empty());
    home.cancel(permits[0]);
    assert_eq!(granted(&step(&mut home, 1_300))[0], 20);
}

#[test]
fn resumptions_go_before_new_work() {
    let (mut home, lengths) = (home(), Lengths::new());
    home.request_permit(1_000, request(1, 1, 9_000), &lengths);
    let permit = match step(&mut home, 1_000)[0] {
        Outcome::Granted { permit, .. } => permit,
        other => panic!("{other:?}"),
    };
    home.request_permit(1_100, request(2, 2, 100), &lengths);
    let resumed = EnginePermitRequest {
        out_tokens: 50,
        ..request(3, 1, 8_000)
    };
    home.request_permit(1_200, resumed, &lengths);
    home.cancel(permit);
    assert_eq!(granted(&step(&mut home, 1_300))[0], 3);
}

#[test]
fn lengths_adapt_and_fall_back_to_the_service() {
    let mut lengths = Lengths::new();
    let (known, new) = (OrganisationKey(1), OrganisationKey(2));
    for number in 0..400 {
        lengths.record(number, known, ServiceKey(1), 20);
    }
    assert!(lengths.expected(known, ServiceKey(1)) < 60.0);
    assert!(lengths.expected(new, ServiceKey(1)) < 120.0);
    let fresh = Lengths::new().expected(new, ServiceKey(2));
    assert!((50.0..2_000.0).contains(&fresh), "{fresh}");
    // A shift of the lengths shows within minutes.
    for number in 0..400 {
        lengths.record(60_000 + number * 300, known, ServiceKey(1), 900);
    }
    assert!(lengths.expected(known, ServiceKey(1)) > 400.0);
}

#[test]
fn limits_hold_and_slots_expire() {
    let mut limits = LimitTable::default();
    let bounds = RequestLimits {
        requests_per_s: 10.0,
        concurrent: 2,
    };
    let (organisation, host) = (OrganisationKey(1), HostKey(1));
    assert!(limits.acquire(1_000, organisation, host, bounds).is_ok());
    assert!(
        limits
            .acquire(1_000, organisation, HostKey(2), bounds)
            .is_ok()
    );
    let over = limits.acquire(1_100, organisation, host, bounds);
    assert!(matches!(over, Err(LimitExceeded::Concurrency { .. })));
    // The first host reports that nothing runs there; the second has died.
    limits.set_held(4_000, organisation, host, 0);
    assert!(limits.acquire(8_000, organisation, host, bounds).is_ok());
    let rate_limited = RequestLimits {
        requests_per_s: 1.0,
        concurrent: 100,
    };
    let other = OrganisationKey(2);
    assert!(limits.acquire(1_000, other, host, rate_limited).is_ok());
    let over = limits.acquire(1_250, other, host, rate_limited);
    assert_eq!(
        over,
        Err(LimitExceeded::Rate {
            retry_after_ms: 750
        })
    );
}

/// Guards against a new home of an organisation that refuses requests within the limits. It first
/// receives the slots that other hosts hold, and then a request.
#[test]
fn a_new_home_of_an_organisation_starts_with_a_full_burst() {
    let mut limits = LimitTable::default();
    let bounds = RequestLimits {
        requests_per_s: 10.0,
        concurrent: 5,
    };
    limits.set_held(1_000, OrganisationKey(1), HostKey(1), 2);
    assert!(
        limits
            .acquire(1_000, OrganisationKey(1), HostKey(2), bounds)
            .is_ok()
    );
}

#[test]
fn retries_are_a_share_of_first_attempts() {
    let mut budget = RetryBudget::new(0.1, 2.0);
    let mut retries = 0;
    for _ in 0..100 {
        budget.record_first_attempt();
        retries += u32::from(budget.try_retry());
    }
    assert!((10..=12).contains(&retries), "{retries}");
}

#[test]
fn a_prefix_stays_with_its_engine_until_it_is_loaded() {
    let candidate = |engine: u64, used_tokens| Candidate {
        upstream: UpstreamKey(engine),
        is_local: true,
        load: EngineLoad {
            used_tokens,
            memory_tokens: 1_000,
            ..EngineLoad::default()
        },
        cached: false,
    };
    let even: Vec<Candidate> = (1..6).map(|engine| candidate(engine, 300)).collect();
    let first = pick(42, &even).expect("a pick").first;
    assert_eq!(pick(42, &even).expect("a pick").first, first);
    let loaded: Vec<Candidate> = (1..6)
        .map(|engine| {
            candidate(
                engine,
                if UpstreamKey(engine) == first {
                    900
                } else {
                    300
                },
            )
        })
        .collect();
    assert_ne!(pick(42, &loaded).expect("a pick").first, first);
    assert_ne!(pick(42, &even).expect("a pick").second, Some(first));
}
