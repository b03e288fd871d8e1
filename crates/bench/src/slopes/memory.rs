//! Memory of each kind of object that a host holds, from the growth of this process.

use std::hint::black_box;

use fulmarpath::cluster::Members;
use fulmarpath::dev::caller::{CallerRequest, open};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec};
use fulmarpath_policy::{
    EnginePermitRequest, Home, HomeSettings, HostKey, Lengths, OrganisationKey, PermitRequestId,
    ServiceKey, Weights,
};
use fulmarpath_standin::EngineSpec;
use fulmarpath_wire::MemberInfo;
use futures::future::join_all;

use super::{Slope, fit};

const PAGE_BYTES: f64 = 4_096.0;

/// Resident memory of this process.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE_BYTES
}

/// Growth of the resident memory by what `make` allocates, at each count.
fn measure_growth<T>(what: &'static str, counts: [u64; 3], make: impl Fn(u64) -> T) -> Slope {
    let points: Vec<(f64, f64)> = counts
        .into_iter()
        .map(|count| {
            let before = resident_bytes();
            let held = black_box(make(count));
            let grown = resident_bytes() - before;
            // Leaked: the next point would otherwise reuse the freed memory and show less growth.
            std::mem::forget(held);
            (count as f64, grown)
        })
        .collect();
    fit(what, "bytes", &points)
}

pub(crate) async fn measure() -> Vec<Slope> {
    vec![
        measure_growth("member", [20_000, 40_000, 80_000], |count| {
            // One member table of a fleet of 400 hosts for every 400 members.
            let tables = (0..count / 400).map(|_| members(400));
            tables.collect::<Vec<_>>()
        }),
        measure_growth(
            "length statistics per organisation and service",
            [2_000, 4_000, 8_000],
            |count| {
                let mut lengths = Lengths::new();
                for number in 0..count {
                    let organisation = OrganisationKey(number);
                    lengths.record(number, organisation, ServiceKey(1), 100);
                }
                lengths
            },
        ),
        measure_growth("home with 64 permits", [200, 400, 800], |count| {
            (0..count).map(|_| home(64)).collect::<Vec<_>>()
        }),
        measure_streams().await,
    ]
}

fn members(count: u32) -> Members {
    let member = |number: u32| MemberInfo {
        name: format!("zrh-a-entry-{number}"),
        data_centre: "zrh-a".into(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 7_080).into(),
    };
    let mut members = Members::new(member(0), 1);
    for number in 1..count {
        members.seed(1, member(number));
    }
    members
}

fn home(permits: u64) -> Home {
    let settings = HomeSettings::new(Weights::default(), 1.0, 10_000_000, 0.0);
    let mut home = Home::new(settings);
    let lengths = Lengths::new();
    for number in 0..permits {
        let permit_request = EnginePermitRequest {
            id: PermitRequestId(number),
            host: HostKey(number),
            organisation: OrganisationKey(number % 10),
            service: ServiceKey(1),
            weight: 1.0,
            share: 0.1,
            prompt_tokens: 900,
            out_tokens: 0,
            output_limit_tokens: 8_000,
            max_wait_ms: 10_000,
            only_now: false,
            known_tokens: None,
        };
        home.request_permit(1, permit_request, &lengths);
    }
    home.step(1, &lengths, &mut Vec::new());
    home
}

/// Idle streams through one host. Their endpoints, the caller and the engine, are in this process
/// too, so the result is more than the host's own share.
async fn measure_streams() -> Slope {
    let spec = DeploymentSpec {
        hosts: 1,
        engines: 1,
        engine: EngineSpec {
            memory_tokens: 100_000_000,
            batch_limit: 8_192,
            step_ms: 4_000.0,
            ..EngineSpec::default()
        },
        silence_bound_ms: 20_000,
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(spec).await.expect("start a deployment");
    let address = deployment.caller_address(0);
    let mut points = vec![];
    let mut open_streams = Vec::new();
    let before = resident_bytes();
    for step in 1..=3 {
        let requests = (0..200).map(|number| {
            let prompt = format!("quiet {step} {number} #4000");
            async move {
                let request = CallerRequest {
                    key: CALLER_KEY,
                    prompt,
                    ..CallerRequest::default()
                };
                open(address, &request).await
            }
        });
        open_streams.extend(join_all(requests).await);
        points.push((open_streams.len() as f64, resident_bytes() - before));
    }
    let slope = fit("open stream with both endpoints", "bytes", &points);
    drop(open_streams);
    slope
}
