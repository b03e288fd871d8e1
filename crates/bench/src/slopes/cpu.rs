//! CPU time of each control call, over TCP connections between running hosts.

use std::time::Instant;

use fulmarpath::dev::{Deployment, DeploymentSpec};
use fulmarpath_policy::{
    EnginePermitRequest, HostKey, OrganisationKey, PermitKey, PermitRequestId, RequestLimits,
    ServiceKey, UpstreamKey,
};
use fulmarpath_wire::{
    MemberInfo, MemberState, PeerClient, PermitId, Ping, Progress, Rumour, RunState, SlotRequest,
    Versions,
};
use tarpc::client::Config;
use tarpc::context::{self, Context};
use tarpc::tokio_serde::formats::Bincode;

use super::{Slope, fit};

/// Calls per measured point.
const CALLS: u32 = 4_000;
/// Unit of the CPU times in /proc/self/stat.
const TICK_US: f64 = 10_000.0;

/// CPU time that this process has used.
fn cpu_time_us() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks * TICK_US
}

fn call_context() -> Context {
    context::current()
}

/// CPU time of one call on both sides together, in µs. The idle load of the deployment during that
/// time is subtracted.
async fn cpu_us_per_call<F: Future>(idle_share: f64, mut call: impl FnMut(u32) -> F) -> f64 {
    let (before_us, started) = (cpu_time_us(), Instant::now());
    for number in 0..CALLS {
        call(number).await;
    }
    let idle_us = started.elapsed().as_secs_f64() * 1e6 * idle_share;
    (cpu_time_us() - before_us - idle_us) / f64::from(CALLS)
}

pub(crate) async fn measure() -> Vec<Slope> {
    let spec = DeploymentSpec {
        hosts: 2,
        engines: 1,
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(spec).await.expect("start a deployment");
    let address = deployment.host(0).peer_address;
    let transport = tarpc::serde_transport::tcp::connect(address, Bincode::default).await;
    let client =
        PeerClient::new(Config::default(), transport.expect("connect to the host")).spawn();
    let idle_share = measure_idle_share().await;
    let upstream = UpstreamKey::of("engine-0");
    // The cost of a call that has no count: a horizontal line.
    let constant = |cost: f64| vec![(0.0, cost), (1.0, cost)];
    let ping = ping(deployment.host(1).peer_address);
    let ping_us = cpu_us_per_call(idle_share, |_| client.ping(call_context(), ping.clone())).await;
    let permit_us = cpu_us_per_call(idle_share, |number| {
        let client = &client;
        async move {
            let request = permit_request(number);
            let _ = client.ask(call_context(), upstream, request).await;
            let _ = client.withdraw(call_context(), upstream, request.id).await;
        }
    })
    .await;
    let slot = SlotRequest {
        organisation: OrganisationKey(1),
        host: HostKey(1),
        bounds: RequestLimits {
            requests_per_s: 1e9,
            concurrent: u32::MAX,
        },
    };
    let slot_us = cpu_us_per_call(idle_share, |_| client.take_slot(call_context(), slot)).await;
    let mut progress = Vec::new();
    for count in [1u32, 20, 80] {
        let report = vec![unknown_permit(upstream); count as usize];
        let us = cpu_us_per_call(idle_share, |_| {
            client.progress(call_context(), HostKey(1), report.clone())
        })
        .await;
        progress.push((f64::from(count), us));
    }
    vec![
        fit("ping", "us", &constant(ping_us)),
        fit("ask and withdraw", "us", &constant(permit_us)),
        fit("slot", "us", &constant(slot_us)),
        fit("progress, each permit", "us", &progress),
    ]
}

async fn measure_idle_share() -> f64 {
    const IDLE_WINDOW: std::time::Duration = std::time::Duration::from_millis(2_000);
    let before_us = cpu_time_us();
    tokio::time::sleep(IDLE_WINDOW).await;
    (cpu_time_us() - before_us) / IDLE_WINDOW.as_micros() as f64
}

fn permit_request(number: u32) -> EnginePermitRequest {
    EnginePermitRequest {
        id: PermitRequestId(u64::from(number)),
        host: HostKey(1),
        organisation: OrganisationKey(u64::from(number % 10)),
        service: ServiceKey(1),
        weight: 1.0,
        share: 0.1,
        prompt_tokens: 60,
        out_tokens: 0,
        output_limit_tokens: 8_000,
        max_wait_ms: 10_000,
        only_now: true,
        known_tokens: None,
    }
}

fn unknown_permit(upstream: UpstreamKey) -> Progress {
    Progress {
        upstream,
        permit: PermitId {
            epoch: 0,
            key: PermitKey::default(),
        },
        out_tokens: 7,
        state: RunState::Running,
    }
}

fn ping(address: std::net::SocketAddr) -> Ping {
    Ping {
        from: Rumour {
            member: MemberInfo {
                name: "host-1".into(),
                data_centre: "zrh-b".into(),
                address,
            },
            state: MemberState::Alive,
            incarnation: 1,
        },
        rumours: Vec::new(),
        versions: Versions::default(),
    }
}
