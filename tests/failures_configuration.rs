//! Accepted changes are in force everywhere in time and never revert; stops cut nothing.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use fulmarpath::cluster::{Change, PublishError};
use fulmarpath::dev::caller::{CallerRequest, complete, expected, open, read};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec, declarations};

const IN_FORCE_BOUND: Duration = Duration::from_millis(3_000);

fn ask(prompt: &str) -> CallerRequest {
    CallerRequest {
        key: CALLER_KEY,
        prompt: prompt.to_owned(),
        ..CallerRequest::default()
    }
}

async fn deployment(hosts: usize) -> Deployment {
    let size = DeploymentSpec {
        hosts,
        ..DeploymentSpec::default()
    };
    Deployment::start(size).await.expect("it starts")
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
                .map_or(0, |held| held.root.revision)
        })
        .collect()
}

/// Waits until all live hosts have a revision in force, and tells how long that took.
async fn in_force(deployment: &Deployment, revision: u64) -> Duration {
    let started = Instant::now();
    while revisions(deployment).iter().any(|held| *held < revision) {
        assert!(
            started.elapsed() < IN_FORCE_BOUND * 4,
            "{:?}",
            revisions(deployment)
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

/// The object API goes down right after a change is accepted. The host that made the change has
/// it, and passes it on without the platform.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_spreads_without_the_platform() {
    let deployment = deployment(6).await;
    let revision = deployment.host(0).node.publish(&use_preset("peak")).await;
    deployment
        .object_api
        .faults
        .down
        .store(true, Ordering::Relaxed);
    let revision = revision.expect("the change is accepted");
    let took = in_force(&deployment, revision).await;
    assert!(took < IN_FORCE_BOUND, "{took:?}");
}

/// A host starts while the object API is down. It must take the configuration from a peer, at the
/// latest revision, before it takes work.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_without_the_platform_learns_from_peers() {
    let mut deployment = deployment(3).await;
    let revision = deployment.host(1).node.publish(&use_preset("peak")).await;
    let revision = revision.expect("the change is accepted");
    deployment
        .object_api
        .faults
        .down
        .store(true, Ordering::Relaxed);
    let host = deployment.add_host().await.expect("it starts");
    deployment.wait_until_ready().await.expect("it takes work");
    in_force(&deployment, revision).await;
    let got = complete(deployment.caller_address(host), &ask("by the new host #9")).await;
    assert_eq!(got.text(), expected("by the new host #9"));
}

/// Two operators apply onto the same revision at the same moment: one is accepted, the other
/// hears of the conflict, and the accepted one is what stays in force.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_one_winner() {
    let deployment = deployment(3).await;
    let (one, other) = (apply(3.0, Some(1)), apply(5.0, Some(1)));
    let (first, second) = tokio::join!(
        deployment.host(0).node.publish(&one),
        deployment.host(1).node.publish(&other),
    );
    let (weight, lost) = match (first, second) {
        (Ok(2), Err(lost)) => (3.0, lost),
        (Err(lost), Ok(2)) => (5.0, lost),
        both => panic!("one must win: {both:?}"),
    };
    assert_eq!(lost, PublishError::Conflict { seen: 1, found: 2 });
    in_force(&deployment, 2).await;
    for host in deployment.running_hosts() {
        let held = host.node.active_configuration().expect("a configuration");
        assert_eq!(held.declarations.organisations[0].weight, weight);
    }
}

/// A preset is switched while declarations are being applied: both are accepted, in some order,
/// and neither undoes the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_switch_during_an_apply_keeps_both() {
    let deployment = deployment(3).await;
    let (new, switch) = (apply(3.0, None), use_preset("peak"));
    let (applied, switched) = tokio::join!(
        deployment.host(0).node.publish(&new),
        deployment.host(1).node.publish(&switch),
    );
    switched.expect("a switch waits for nobody");
    if applied.is_err() {
        deployment
            .host(0)
            .node
            .publish(&new)
            .await
            .expect("it is accepted then");
    }
    in_force(&deployment, 3).await;
    for host in deployment.running_hosts() {
        let held = host.node.active_configuration().expect("a configuration");
        assert_eq!(held.root.preset, "peak");
        assert_eq!(held.declarations.organisations[0].weight, 3.0);
    }
}

/// The answer to the root's update is lost after it took effect: the operator is told that the
/// change was accepted, and it stands once in the history.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_found_in_the_history() {
    let deployment = deployment(3).await;
    let faults = &deployment.object_api.faults;
    faults.drop_write_responses.store(1, Ordering::Relaxed);
    let revision = deployment.host(0).node.publish(&use_preset("peak")).await;
    let revision = revision.expect("the change is accepted");
    in_force(&deployment, revision).await;
    let held = deployment
        .host(2)
        .node
        .active_configuration()
        .expect("a configuration");
    assert_eq!(held.root.history.len() as u64, held.root.revision);
}

/// Maintenance closes the services while an answer streams: the answer is finished, the next
/// request is refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn maintenance_cuts_nothing_in_progress() {
    let deployment = deployment(3).await;
    let prompt = "runs into maintenance #150";
    let call = open(deployment.caller_address(0), &ask(prompt)).await;
    let reading = tokio::spawn(read(call, usize::MAX));
    let revision = deployment
        .host(2)
        .node
        .publish(&use_preset("maintenance"))
        .await;
    in_force(&deployment, revision.expect("accepted")).await;
    let refused = complete(deployment.caller_address(1), &ask("too late #5")).await;
    assert_eq!(refused.problem.as_deref(), Some("not-run/service-closed"));
    let got = reading.await.expect("the caller reads");
    assert_eq!(got.text(), expected(prompt));
}

/// A host is stopped while it streams. Its peers hear of it, it takes nothing new, the answer is
/// finished, nothing is cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing() {
    let mut deployment = deployment(3).await;
    let prompt = "runs into a stop #150";
    let address = deployment.caller_address(0);
    let call = open(address, &ask(prompt)).await;
    let reading = tokio::spawn(read(call, usize::MAX));
    let cut = deployment.stop(0).await;
    assert_eq!(cut, 0);
    let got = reading.await.expect("the caller reads");
    assert_eq!(got.text(), expected(prompt));
}

/// A host whose only peers are dead and whose platform is down can't know what is in force: it
/// takes no new work from 3 s after its last word from either. The watch that waits when the
/// platform goes down is still answered, up to a second later.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_from_everybody_takes_no_work() {
    let mut deployment = deployment(2).await;
    assert!(deployment.host(0).node.takes_work());
    deployment
        .object_api
        .faults
        .down
        .store(true, Ordering::Relaxed);
    deployment.kill(1);
    tokio::time::sleep(IN_FORCE_BOUND + Duration::from_millis(1_500)).await;
    assert!(!deployment.host(0).node.takes_work());
    let refused = complete(deployment.caller_address(0), &ask("cut off #5")).await;
    assert_eq!(refused.problem.as_deref(), Some("not-run/host-closed"));
    deployment
        .object_api
        .faults
        .down
        .store(false, Ordering::Relaxed);
    deployment
        .wait_until_ready()
        .await
        .expect("it takes work again");
}
