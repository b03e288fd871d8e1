//! Accepted changes become active on every host in time and are never reverted. Shutdowns and
//! maintenance interrupt no running stream.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use fulmarpath::cluster::{Change, PublishError};
use fulmarpath::dev::caller::{CallerRequest, complete, expected, open, read};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec, declarations};

const ACTIVATION_LIMIT: Duration = Duration::from_millis(3_000);

fn request(prompt: &str) -> CallerRequest {
    CallerRequest {
        key: CALLER_KEY,
        prompt: prompt.to_owned(),
        ..CallerRequest::default()
    }
}

async fn deployment(hosts: usize) -> Deployment {
    let spec = DeploymentSpec {
        hosts,
        ..DeploymentSpec::default()
    };
    Deployment::start(spec).await.expect("it starts")
}

fn use_preset(preset: &str) -> Change {
    Change::UsePreset {
        preset: preset.to_owned(),
    }
}

fn apply(weight: f32, onto: Option<u64>) -> Change {
    let mut declarations = declarations();
    declarations.organisations[0].weight = weight;
    Change::Apply {
        declarations: Box::new(declarations),
        onto,
    }
}

fn revisions(deployment: &Deployment) -> Vec<u64> {
    let hosts = deployment.running_hosts();
    hosts
        .map(|host| {
            host.node
                .active_configuration()
                .map_or(0, |active| active.root.revision)
        })
        .collect()
}

/// Waits until a revision is active on all running hosts and returns how long that took.
async fn wait_until_active(deployment: &Deployment, revision: u64) -> Duration {
    let started = Instant::now();
    while revisions(deployment)
        .iter()
        .any(|active| *active < revision)
    {
        assert!(
            started.elapsed() < ACTIVATION_LIMIT * 4,
            "{:?}",
            revisions(deployment)
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

/// The object API goes down right after a change is accepted. The host that published the change
/// must still distribute it to its peers.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_spreads_while_the_object_api_is_down() {
    let deployment = deployment(6).await;
    let revision = deployment.host(0).node.publish(&use_preset("peak")).await;
    deployment
        .object_api
        .faults
        .down
        .store(true, Ordering::Relaxed);
    let revision = revision.expect("the change is accepted");
    let took = wait_until_active(&deployment, revision).await;
    assert!(took < ACTIVATION_LIMIT, "{took:?}");
}

/// A host starts while the object API is down. It must fetch the latest revision of the
/// configuration from a peer before it accepts work.
#[tokio::test(flavor = "multi_thread")]
async fn host_starting_during_an_outage_gets_the_configuration_from_peers() {
    let mut deployment = deployment(3).await;
    let revision = deployment.host(1).node.publish(&use_preset("peak")).await;
    let revision = revision.expect("the change is accepted");
    deployment
        .object_api
        .faults
        .down
        .store(true, Ordering::Relaxed);
    let host = deployment.add_host().await.expect("it starts");
    deployment
        .wait_until_ready()
        .await
        .expect("it accepts work");
    wait_until_active(&deployment, revision).await;
    let response = complete(
        deployment.caller_address(host),
        &request("by the new host #9"),
    )
    .await;
    assert_eq!(response.text(), expected("by the new host #9"));
}

/// Two operators apply onto the same revision at the same time. One change is accepted and stays
/// active; the other fails with a conflict.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_applies_have_one_winner() {
    let deployment = deployment(3).await;
    let (one, other) = (apply(3.0, Some(1)), apply(5.0, Some(1)));
    let (first, second) = tokio::join!(
        deployment.host(0).node.publish(&one),
        deployment.host(1).node.publish(&other),
    );
    let (weight, rejected) = match (first, second) {
        (Ok(2), Err(rejected)) => (3.0, rejected),
        (Err(rejected), Ok(2)) => (5.0, rejected),
        results => panic!("exactly one must be accepted: {results:?}"),
    };
    assert_eq!(rejected, PublishError::Conflict { seen: 1, found: 2 });
    wait_until_active(&deployment, 2).await;
    for host in deployment.running_hosts() {
        let active = host.node.active_configuration().expect("a configuration");
        assert_eq!(active.declarations.organisations[0].weight, weight);
    }
}

/// A preset is switched while declarations are applied. Both changes are accepted, in either order,
/// and neither overwrites the other.
#[tokio::test(flavor = "multi_thread")]
async fn preset_switch_during_an_apply_keeps_both() {
    let deployment = deployment(3).await;
    let (new, switch) = (apply(3.0, None), use_preset("peak"));
    let (applied, switched) = tokio::join!(
        deployment.host(0).node.publish(&new),
        deployment.host(1).node.publish(&switch),
    );
    switched.expect("a switch has no precondition");
    if applied.is_err() {
        deployment
            .host(0)
            .node
            .publish(&new)
            .await
            .expect("the retry is accepted");
    }
    wait_until_active(&deployment, 3).await;
    for host in deployment.running_hosts() {
        let active = host.node.active_configuration().expect("a configuration");
        assert_eq!(active.root.preset, "peak");
        assert_eq!(active.declarations.organisations[0].weight, 3.0);
    }
}

/// The write of the root takes effect but its response is lost. The operator must be told that the
/// change was accepted, and the history must contain it once.
#[tokio::test(flavor = "multi_thread")]
async fn lost_write_response_is_found_in_the_history() {
    let deployment = deployment(3).await;
    let faults = &deployment.object_api.faults;
    faults.drop_write_responses.store(1, Ordering::Relaxed);
    let revision = deployment.host(0).node.publish(&use_preset("peak")).await;
    let revision = revision.expect("the change is accepted");
    wait_until_active(&deployment, revision).await;
    let active = deployment
        .host(2)
        .node
        .active_configuration()
        .expect("a configuration");
    assert_eq!(active.root.history.len() as u64, active.root.revision);
}

/// A maintenance preset closes the services while a response streams. The stream is finished, and
/// the next request is refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn maintenance_finishes_running_streams() {
    let deployment = deployment(3).await;
    let prompt = "runs into maintenance #150";
    let call = open(deployment.caller_address(0), &request(prompt)).await;
    let reading = tokio::spawn(read(call, usize::MAX));
    let revision = deployment
        .host(2)
        .node
        .publish(&use_preset("maintenance"))
        .await;
    wait_until_active(&deployment, revision.expect("accepted")).await;
    let refused = complete(deployment.caller_address(1), &request("too late #5")).await;
    assert_eq!(refused.problem.as_deref(), Some("not-run/service-closed"));
    let response = reading.await.expect("the caller reads");
    assert_eq!(response.text(), expected(prompt));
}

/// A host is shut down while it streams. It notifies its peers, accepts no new requests and
/// finishes the stream; nothing is interrupted.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_finishes_running_streams() {
    let mut deployment = deployment(3).await;
    let prompt = "runs into a stop #150";
    let address = deployment.caller_address(0);
    let call = open(address, &request(prompt)).await;
    let reading = tokio::spawn(read(call, usize::MAX));
    let interrupted = deployment.stop(0).await;
    assert_eq!(interrupted, 0);
    let response = reading.await.expect("the caller reads");
    assert_eq!(response.text(), expected(prompt));
}

/// A host whose peers are all dead and whose platform is down can't know the active configuration.
/// It must accept no new work from 3 s after its last contact with either. A watch that is pending
/// when the platform goes down is still answered, up to a second later.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_host_accepts_no_work() {
    let mut deployment = deployment(2).await;
    assert!(deployment.host(0).node.takes_work());
    deployment
        .object_api
        .faults
        .down
        .store(true, Ordering::Relaxed);
    deployment.kill(1);
    tokio::time::sleep(ACTIVATION_LIMIT + Duration::from_millis(1_500)).await;
    assert!(!deployment.host(0).node.takes_work());
    let refused = complete(deployment.caller_address(0), &request("cut off #5")).await;
    assert_eq!(refused.problem.as_deref(), Some("not-run/host-closed"));
    deployment
        .object_api
        .faults
        .down
        .store(false, Ordering::Relaxed);
    deployment
        .wait_until_ready()
        .await
        .expect("it accepts work again");
}
