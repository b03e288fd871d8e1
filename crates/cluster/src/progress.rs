//! Progress reports of permits to the homes that granted them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmarpath_policy::HostKey;
use fulmarpath_wire::{PeerClient, PermitId, Progress};
use futures::future::join_all;

use crate::node::Node;

/// Time between two progress reports per member of the fleet. A larger fleet reports less often,
/// which bounds the messages that a host sends and receives.
const PROGRESS_PERIOD_MS_PER_MEMBER: u64 = 5;
/// Bounds of the time between two progress reports.
const PROGRESS_PERIOD_MS: std::ops::RangeInclusive<u64> = 500..=2_000;

impl Node {
    fn progress_period(&self) -> Duration {
        let wanted_ms = self.member_count() as u64 * PROGRESS_PERIOD_MS_PER_MEMBER;
        Duration::from_millis(
            wanted_ms.clamp(*PROGRESS_PERIOD_MS.start(), *PROGRESS_PERIOD_MS.end()),
        )
    }

    /// Reports all permits to their homes once per period, with one message to each home.
    pub(crate) async fn report_progress(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.progress_period()).await;
            let running: Vec<Progress> = {
                let held_permits = self.held_permits.lock();
                held_permits
                    .values()
                    .filter_map(|held| held.progress())
                    .collect()
            };
            let mut by_home: HashMap<HostKey, (SocketAddr, Vec<Progress>)> = HashMap::new();
            for progress in running {
                let Some((key, info)) = self.engine_homes(progress.upstream, 1).pop() else {
                    continue;
                };
                let (_, group) = by_home
                    .entry(key)
                    .or_insert_with(|| (info.address, Vec::new()));
                group.push(progress);
            }
            let sends = by_home
                .into_iter()
                .map(|(key, (address, progress))| self.send_progress(key, address, progress));
            join_all(sends).await;
            self.restate_slots().await;
        }
    }

    pub(crate) async fn send_progress(
        &self,
        home: HostKey,
        address: SocketAddr,
        progress: Vec<Progress>,
    ) {
        let reply = if home == self.key {
            let mut reply = self.homes.progress(self.clock.now_ms(), &progress);
            reply.moves = self.homes.take_moves(self.key);
            reply
        } else {
            let own = self.key;
            let call = |client: PeerClient, context| async move {
                client.progress(context, own, progress).await
            };
            match self.peers.call(address, call).await {
                Ok(reply) => reply,
                Err(_) => return,
            }
        };
        self.apply_move_requests(&reply.moves);
        for permit in reply.unknown {
            self.restore(home, address, permit).await;
        }
    }

    fn apply_move_requests(&self, moves: &[PermitId]) {
        let held = self.held_permits.lock();
        for permit in held.values() {
            if permit.id.lock().is_some_and(|id| moves.contains(&id)) {
                permit.move_requested.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Restores at a new home a permit that an earlier home granted.
    async fn restore(&self, home: HostKey, address: SocketAddr, permit: PermitId) {
        let held = {
            let all = self.held_permits.lock();
            let mut all = all.values();
            all.find(|held| *held.id.lock() == Some(permit)).cloned()
        };
        let Some(held) = held else { return };
        let upstream = held.upstream;
        let mut request = held.engine_request;
        request.out_tokens = held.out_tokens.load(Ordering::Relaxed);
        let id = if home == self.key {
            self.home_settings_of(upstream).map(|settings| {
                let now_ms = self.clock.now_ms();
                self.homes.restore(now_ms, upstream, settings, request)
            })
        } else {
            let call = |client: PeerClient, context| async move {
                client.restore(context, upstream, request).await
            };
            self.peers.call(address, call).await.ok().flatten()
        };
        if id.is_some() {
            *held.id.lock() = id;
        }
    }
}
