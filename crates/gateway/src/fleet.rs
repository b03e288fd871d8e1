//! The other hosts of the fleet.

use std::sync::Arc;

use fulmarpath_cluster::Members;
use fulmarpath_wire::MemberNote;
use parking_lot::Mutex;
use tokio::net::TcpListener;

use crate::directory::HostRegistration;
use crate::gateway::Gateway;

/// What this host knows of the others.
pub(crate) struct Fleet {
    members: Mutex<Members>,
}

impl Fleet {
    pub(crate) fn new(host: &HostRegistration) -> Self {
        let note = MemberNote {
            name: host.name.clone(),
            data_centre: host.data_centre.clone(),
            address: host.address,
        };
        Self {
            members: Mutex::new(Members::new(note, 0)),
        }
    }

    /// Hosts that are believed present, this one with them.
    pub(crate) fn host_count(&self) -> usize {
        self.members.lock().present().count()
    }
}

impl Gateway {
    pub(crate) async fn join_fleet(self: Arc<Self>) {}
    pub(crate) async fn leave_fleet(self: &Arc<Self>) {}
    pub(crate) async fn answer_peers(self: Arc<Self>, _listener: TcpListener) {}
}
