//! `spread`: time until an accepted configuration change is active on every host.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use fulmarpath::cluster::Change;
use fulmarpath::dev::{Deployment, DeploymentSpec, DevError};
use serde::Serialize;
use std::sync::atomic::Ordering;

/// Measure the propagation of configuration changes to many hosts in one process
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Spread {
    /// Number of hosts
    #[bpaf(argument("N"), fallback(9))]
    hosts: usize,
    /// Number of changes
    #[bpaf(argument("N"), fallback(10))]
    changes: usize,
    /// Make the object API unreachable right after it accepts each change
    api_down: bool,
}

#[derive(Serialize)]
struct Row {
    hosts: usize,
    api_down: bool,
    changes: usize,
    in_force_ms_p50: u64,
    in_force_ms_max: u64,
    reverted: u64,
    platform_reads_per_s: f64,
    platform_writes_per_s: f64,
}

const ACTIVATION_TIMEOUT: Duration = Duration::from_millis(10_000);

impl Spread {
    pub(crate) fn run(&self) {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        match runtime.block_on(self.measure()) {
            Ok(row) => println!("{}", serde_json::to_string(&row).unwrap_or_default()),
            Err(error) => println!("{error}"),
        }
    }

    async fn measure(&self) -> Result<Row, DevError> {
        let spec = DeploymentSpec {
            hosts: self.hosts,
            engines: 3,
            ..DeploymentSpec::default()
        };
        let deployment = Deployment::start(spec).await?;
        let platform = &deployment.object_api;
        let (reads, writes, started) = (platform.reads(), platform.writes(), Instant::now());
        let mut activation_ms = Vec::new();
        let mut reverted = 0;
        let mut latest = vec![0; self.hosts];
        for change in 0..self.changes {
            let preset = ["peak", "ordinary"][change % 2].to_owned();
            let node = &deployment.host(change % self.hosts).node;
            platform
                .faults
                .suppress_watches
                .store(self.api_down, Ordering::Relaxed);
            let revision = node.publish(&Change::UsePreset { preset }).await?;
            platform.faults.down.store(self.api_down, Ordering::Relaxed);
            let accepted = Instant::now();
            loop {
                let mut is_pending = false;
                for (host, latest) in deployment.running_hosts().zip(&mut latest) {
                    let active = host
                        .node
                        .active_configuration()
                        .map_or(0, |active| active.root.revision);
                    reverted += u64::from(active < *latest);
                    *latest = active;
                    is_pending |= active < revision;
                }
                if !is_pending || accepted.elapsed() > ACTIVATION_TIMEOUT {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            activation_ms.push(accepted.elapsed().as_millis() as u64);
            platform.faults.down.store(false, Ordering::Relaxed);
            platform
                .faults
                .suppress_watches
                .store(false, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        let elapsed_s = started.elapsed().as_secs_f64();
        activation_ms.sort_unstable();
        Ok(Row {
            hosts: self.hosts,
            api_down: self.api_down,
            changes: self.changes,
            in_force_ms_p50: activation_ms[activation_ms.len() / 2],
            in_force_ms_max: activation_ms[activation_ms.len() - 1],
            reverted,
            platform_reads_per_s: (platform.reads() - reads) as f64 / elapsed_s,
            platform_writes_per_s: (platform.writes() - writes) as f64 / elapsed_s,
        })
    }
}
