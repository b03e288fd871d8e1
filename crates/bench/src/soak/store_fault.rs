//! Faults of the store after which upstreams leave: restores from a backup, and outages in which
//! entries expire.

use std::time::Duration;

use fulmarpath_platform_standin::StoreMode;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep, sleep_until};

use super::SoakError;
use super::deployment::Deployment;
use super::fault::{LEAVING_BOUND, PROPAGATION_BOUND, restart_host};

/// Live upstreams have registered again within this time after the end of an outage.
const REGISTRATION_BOUND: Duration = Duration::from_millis(2_000);
/// Time after the end of an outage from which on a leaving upstream receives no requests after
/// [`LEAVING_BOUND`].
const STABLE_AFTER: Duration = Duration::from_millis(3_000);

/// How a store is restored from a backup.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoreRestore {
    /// Writes after the backup, which the restore loses.
    lost_writes: usize,
    /// Whether an upstream's leaving entry is among the lost writes; otherwise it is written after
    /// the restore.
    leaves_before_restore: bool,
    /// How long the store does not respond before the restore.
    outage: Duration,
    /// Time from the restore until upstreams and the operator rewrite their entries.
    rewrite_delay: Duration,
    /// Unrelated writes after the restore, which may be more than were lost.
    unrelated_writes: usize,
    /// Number of consecutive restores.
    restores: usize,
    /// A host that is killed at the first restore and starts while the store has only the backup.
    restarted_host: Option<usize>,
}

impl StoreRestore {
    pub(crate) fn draw(rng: &mut ChaCha8Rng, host: usize) -> Self {
        Self {
            lost_writes: rng.random_range(0..30),
            leaves_before_restore: rng.random_bool(0.5),
            outage: Duration::from_millis(rng.random_range(0..2_500)),
            rewrite_delay: Duration::from_millis(rng.random_range(0..1_500)),
            unrelated_writes: rng.random_range(0..40),
            restores: rng.random_range(1..=2),
            restarted_host: rng.random_bool(0.3).then_some(host),
        }
    }
}

/// Restores the store from a backup while a plain upstream leaves shortly before or after. Counts
/// the requests that it receives once all hosts must know, and the hosts in another era. A new
/// instance then replaces it.
pub(crate) async fn restore_store(
    deployment: &mut Deployment,
    plain: usize,
    restore: StoreRestore,
) -> Result<(), SoakError> {
    let upstream = deployment.plains[plain].clone();
    deployment.store.save_backup();
    if restore.leaves_before_restore {
        deployment.mark_plain_draining(plain);
    }
    deployment.write_unrelated(restore.lost_writes);
    sleep(LEAVING_BOUND).await;
    let mut received_before = upstream.received().len();
    if restore.outage > PROPAGATION_BOUND {
        deployment.store.set_mode(StoreMode::Silent);
        sleep(restore.outage).await;
    }
    deployment.store.restore_backup();
    deployment.store.set_mode(StoreMode::Up);
    if let Some(host) = restore.restarted_host {
        restart_host(deployment, host, "KILL").await?;
    }
    for _ in 1..restore.restores {
        deployment.write_unrelated(restore.unrelated_writes);
        sleep(PROPAGATION_BOUND).await;
        deployment.store.restore_backup();
    }
    deployment.write_unrelated(restore.unrelated_writes);
    sleep(restore.rewrite_delay).await;
    deployment.rewrite_entries(plain);
    deployment.mark_plain_draining(plain);
    deployment.write_unrelated(restore.unrelated_writes);
    if !restore.leaves_before_restore {
        sleep(LEAVING_BOUND).await;
        received_before = upstream.received().len();
    }
    sleep(LEAVING_BOUND).await;
    deployment.sent_to_leaving += upstream.received().len() - received_before;
    deployment.another_era += deployment.hosts_in_another_era().await;
    let retired = deployment.restart_plain(plain).await;
    deployment.retired_plains.push(retired);
    Ok(())
}

/// An outage of the store in which the entries of all upstreams expire.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryExpiry {
    /// How long the store does not respond.
    outage: Duration,
    /// When the first upstream registers again, counted from the end of the outage. The others
    /// follow one after the other until [`REGISTRATION_BOUND`].
    first_registration: Duration,
    /// When an upstream leaves, counted from the end of the outage.
    departure: Duration,
}

impl EntryExpiry {
    pub(crate) fn draw(rng: &mut ChaCha8Rng) -> Self {
        Self {
            outage: Duration::from_millis(rng.random_range(4_000..7_000)),
            first_registration: Duration::from_millis(rng.random_range(0..1_500)),
            departure: STABLE_AFTER + Duration::from_millis(rng.random_range(0..1_500)),
        }
    }
}

/// Lets all entries expire in an outage of the store. After it upstreams register again, then a plain
/// one leaves by the removal of its entry. Counts the requests that it receives once all hosts must
/// know. A new instance then replaces it.
pub(crate) async fn expire_entries(deployment: &mut Deployment, plain: usize, expiry: EntryExpiry) {
    let upstream = deployment.plains[plain].clone();
    deployment.store.set_mode(StoreMode::Silent);
    sleep(expiry.outage).await;
    deployment.remove_entries();
    deployment.store.set_mode(StoreMode::Up);
    let returned = Instant::now();
    let count = deployment.upstream_count();
    let spread = REGISTRATION_BOUND - expiry.first_registration;
    for index in 0..count {
        let delay = spread.mul_f32(index as f32 / count as f32);
        sleep_until(returned + expiry.first_registration + delay).await;
        deployment.register_upstream(index);
    }
    sleep_until(returned + expiry.departure).await;
    deployment.remove_plain_entry(plain);
    sleep(LEAVING_BOUND).await;
    let received_before = upstream.received().len();
    sleep(LEAVING_BOUND).await;
    deployment.sent_to_leaving += upstream.received().len() - received_before;
    let retired = deployment.restart_plain(plain).await;
    deployment.retired_plains.push(retired);
}
