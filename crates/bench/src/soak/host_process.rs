//! A host process of the soak, started and stopped from outside.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use fulmarpath_http::get;

use super::SoakError;

const METRICS_TIMEOUT: Duration = Duration::from_secs(2);
/// Ports of a host, as in the settings file of the stand-in platform.
const CALLER_PORT: u16 = 8740;
const METRICS_PORT: u16 = 7215;
const PEER_PORT: u16 = 8748;

/// A host process and the files and binary that it was started with.
pub(crate) struct HostProcess {
    pub(super) name: String,
    pub(super) ip: IpAddr,
    pub(super) file: PathBuf,
    pub(super) binary: PathBuf,
    pub(super) log: PathBuf,
    pub(super) child: Option<Child>,
}

impl HostProcess {
    pub(crate) fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    /// The store era that the host exports in its metrics.
    pub(super) async fn era(&self) -> Option<u64> {
        let metrics = SocketAddr::new(self.ip, METRICS_PORT);
        let page = get(metrics, "/metrics", METRICS_TIMEOUT).await.ok()?;
        let page = page.bytes(METRICS_TIMEOUT).await.ok()?;
        let page = String::from_utf8_lossy(&page);
        let mut values = page
            .lines()
            .filter_map(|line| line.strip_prefix("fulmarpath_gateway_store_era "));
        values.next()?.parse().ok()
    }

    pub(super) fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEER_PORT)
    }

    pub(crate) fn start(&mut self) -> Result<(), SoakError> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|source| SoakError::Process { source })?;
        let errors = log
            .try_clone()
            .map_err(|source| SoakError::Process { source })?;
        let child = Command::new(&self.binary)
            .arg("gateway")
            .arg(&self.file)
            .stdout(log)
            .stderr(errors)
            .stdin(Stdio::null())
            .spawn()
            .map_err(|source| SoakError::Process { source })?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process by its id.
    pub(crate) fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-s", signal, &id]).status();
        }
    }

    /// Waits until the process has exited.
    pub(crate) async fn wait_for_exit(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        while let Ok(None) = child.try_wait() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Whether the process was started and has not exited, also not on its own.
    pub(crate) fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        match child.try_wait() {
            Ok(status) => status.is_none(),
            Err(error) => {
                spdlog::warn!(
                    "soak: could not query the process of {}: {error}",
                    self.name
                );
                true
            }
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
