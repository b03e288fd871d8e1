//! One entry host: its cluster node and its server for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_cluster::{
    ClaimSettings, HttpUpstreamClients, Node, NodeSettings, Safeguard, StartError,
};
use fulmarpath_entry::{EntryServer, EntrySettings, Stopped};
use fulmarpath_settings::HostSettings;
use fulmarpath_store::{HttpHostList, HttpObjectApi};
use tokio::net::TcpListener;

/// A host without contact to the platform or a peer for this long accepts no new work.
const CONTACT_TIMEOUT_MS: u64 = 3_000;
/// How long a disconnected caller may take to reconnect.
const RECONNECT_GRACE_MS: u64 = 5_000;

/// A host could not start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// Binding to an address failed.
    #[error("could not listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// The cluster node could not start.
    #[error("could not join the cluster")]
    Start(#[from] StartError),
}

/// A running entry host.
pub struct Host {
    /// The node of the cluster that runs on it.
    pub node: Arc<Node>,
    /// Address of the server for callers.
    pub caller_address: SocketAddr,
    /// Address of the server for peers.
    pub peer_address: SocketAddr,
    server: EntryServer,
}

impl Host {
    /// Binds the addresses of the settings and starts the host.
    ///
    /// # Errors
    /// [`HostError`]
    pub async fn start(settings: &HostSettings) -> Result<Self, HostError> {
        Self::start_with_safeguard_disabled(settings, None).await
    }

    /// Starts a host with a safeguard disabled. A fault run must detect the missing safeguard.
    pub(crate) async fn start_with_safeguard_disabled(
        settings: &HostSettings,
        disabled_safeguard: Option<Safeguard>,
    ) -> Result<Self, HostError> {
        let callers = listen(settings.caller_address).await?;
        let peers = listen(settings.peer_address).await?;
        let local = |listener: &TcpListener, address: SocketAddr| {
            let local = listener.local_addr();
            local.map_err(|source| HostError::Listen { address, source })
        };
        let caller_address = local(&callers, settings.caller_address)?;
        let peer_address = local(&peers, settings.peer_address)?;
        let claims = ClaimSettings::default();
        let node_settings = NodeSettings {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            peer_address,
            contact_timeout_ms: CONTACT_TIMEOUT_MS,
            claims,
            disabled_safeguard,
        };
        let object_api = Arc::new(HttpObjectApi::new(settings.object_api_address));
        let host_list = Arc::new(HttpHostList::new(settings.host_list_address));
        let clients = Arc::new(HttpUpstreamClients {
            plain_timeout: Duration::from_millis(settings.plain_bound_ms),
        });
        let node = Node::start(node_settings, peers, object_api, host_list, clients).await?;
        let entry_settings = EntrySettings {
            header_limit_bytes: settings.header_limit_bytes,
            body_limit_bytes: settings.body_limit_bytes,
            stream_limit: settings.stream_limit,
            silence_timeout: Duration::from_millis(settings.silence_bound_ms),
            reconnect_grace_ms: RECONNECT_GRACE_MS,
            keyed_retention_ms: claims.window_ms,
            linger: Duration::from_millis(settings.linger_ms),
            drain_timeout: Duration::from_millis(settings.drain_bound_ms),
            operator_key_sha256: settings.operator_key_sha256.clone(),
        };
        let server = EntryServer::start(node.clone(), callers, entry_settings);
        Ok(Self {
            node,
            caller_address,
            peer_address,
            server,
        })
    }

    /// Shuts down gracefully: running requests are finished, unless `abort` resolves first.
    pub async fn stop(self, abort: impl Future<Output = ()>) -> Stopped {
        self.server.stop(abort).await
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, HostError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| HostError::Listen { address, source })
}
