//! `spread`: how long an accepted change takes to be in force on every host.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use fulmarpath::cluster::Change;
use fulmarpath::dev::{Deployment, DeploymentSpec, DevError};
use serde::Serialize;
use std::sync::atomic::Ordering;

/// Measure the spread of changes over many hosts in one process
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Spread {
    /// Hosts
    #[bpaf(argument("N"), fallback(9))]
    hosts: usize,
    /// Changes
    #[bpaf(argument("N"), fallback(10))]
    changes: usize,
    /// The object API goes down just after each acceptance
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

const BOUND: Duration = Duration::from_millis(10_000);

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
        let size = DeploymentSpec {
            hosts: self.hosts,
            engines: 3,
            ..DeploymentSpec::default()
        };
        let deployment = Deployment::start(size).await?;
        let platform = &deployment.object_api;
        let (reads, writes, started) = (platform.reads(), platform.writes(), Instant::now());
        let mut took_ms = Vec::new();
        let mut reverted = 0;
        let mut seen = vec![0; self.hosts];
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
                let mut lags = false;
                for (host, seen) in deployment.running_hosts().zip(&mut seen) {
                    let held = host
                        .node
                        .active_configuration()
                        .map_or(0, |held| held.root.revision);
                    reverted += u64::from(held < *seen);
                    *seen = held;
                    lags |= held < revision;
                }
                if !lags || accepted.elapsed() > BOUND {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            took_ms.push(accepted.elapsed().as_millis() as u64);
            platform.faults.down.store(false, Ordering::Relaxed);
            platform
                .faults
                .suppress_watches
                .store(false, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        let elapsed_s = started.elapsed().as_secs_f64();
        took_ms.sort_unstable();
        Ok(Row {
            hosts: self.hosts,
            api_down: self.api_down,
            changes: self.changes,
            in_force_ms_p50: took_ms[took_ms.len() / 2],
            in_force_ms_max: took_ms[took_ms.len() - 1],
            reverted,
            platform_reads_per_s: (platform.reads() - reads) as f64 / elapsed_s,
            platform_writes_per_s: (platform.writes() - writes) as f64 / elapsed_s,
        })
    }
}
