//! The calls that gateways make to each other.

use serde::{Deserialize, Serialize};

use crate::message::{Ping, Pong};

/// What every gateway holds a copy of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Holding {
    /// The operator's configuration.
    Configuration,
    /// The upstreams' registrations.
    Upstreams,
}

/// What one gateway may ask of another.
#[tarpc::service]
pub trait GatewayPeer {
    /// Liveness, rumours of other members and the versions held: `root` is the configuration's,
    /// `host_list` the revision of the upstreams.
    async fn ping(ping: Ping) -> Pong;
    /// What the receiver holds, as JSON; empty where it holds none.
    async fn holding(holding: Holding) -> Vec<u8>;
}
