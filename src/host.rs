//! One entry host: its part in the cluster and its callers' side.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_cluster::{ClaimSettings, HttpEngines, Node, NodeSettings, Safeguard, StartError};
use fulmarpath_entry::{EntryServer, EntrySettings, Stopped};
use fulmarpath_settings::HostSettings;
use fulmarpath_store::{HttpHostList, HttpObjectApi};
use tokio::net::TcpListener;

/// Without a word from the platform or a peer for so long, a host takes no new work.
const CONFIRM_BOUND_MS: u64 = 3_000;
/// How long a caller that lost its connection may take to come back.
const GRACE_MS: u64 = 5_000;

/// A host could not start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// An address can't be used.
    #[error("could not listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// The part in the cluster could not start.
    #[error("could not join the cluster")]
    Start(#[from] StartError),
}

/// A running entry host.
pub struct Host {
    /// Its part in the cluster.
    pub node: Arc<Node>,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    server: EntryServer,
}

impl Host {
    /// Listens on the addresses of the settings and starts.
    ///
    /// # Errors
    /// [`HostError`]
    pub async fn start(settings: &HostSettings) -> Result<Self, HostError> {
        Self::start_with_safeguard_disabled(settings, None).await
    }

    /// Starts a host that lacks a safeguard, for a fault run that must notice it.
    pub(crate) async fn start_with_safeguard_disabled(
        settings: &HostSettings,
        without: Option<Safeguard>,
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
            contact_timeout_ms: CONFIRM_BOUND_MS,
            claims,
            disabled_safeguard: without,
        };
        let object_api = Arc::new(HttpObjectApi::new(settings.object_api_address));
        let host_list = Arc::new(HttpHostList::new(settings.host_list_address));
        let engines = Arc::new(HttpEngines {
            plain_timeout: Duration::from_millis(settings.plain_bound_ms),
        });
        let node = Node::start(node_settings, peers, object_api, host_list, engines).await?;
        let entry_settings = EntrySettings {
            header_limit_bytes: settings.header_limit_bytes,
            body_limit_bytes: settings.body_limit_bytes,
            stream_limit: settings.stream_limit,
            silence_timeout: Duration::from_millis(settings.silence_bound_ms),
            reconnect_grace_ms: GRACE_MS,
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

    /// Stops; what runs is finished unless `hurry` resolves first.
    pub async fn stop(self, hurry: impl Future<Output = ()>) -> Stopped {
        self.server.stop(hurry).await
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, HostError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| HostError::Listen { address, source })
}
