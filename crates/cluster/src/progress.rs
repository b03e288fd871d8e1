//! Reports of how far permits are, to the homes that gave them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmarpath_policy::HostKey;
use fulmarpath_wire::{PeerClient, PermitId, Progress};
use futures::future::join_all;

use crate::node::Node;

/// Between two reports of progress, for each member; a larger fleet reports less often, so that
/// what a host sends and hears stays bounded.
const PROGRESS_MS_PER_MEMBER: u64 = 5;
const PROGRESS_MS: std::ops::RangeInclusive<u64> = 500..=2_000;

impl Node {
    fn progress_period(&self) -> Duration {
        let wanted_ms = self.member_count() as u64 * PROGRESS_MS_PER_MEMBER;
        Duration::from_millis(wanted_ms.clamp(*PROGRESS_MS.start(), *PROGRESS_MS.end()))
    }

    /// Reports all permits to their homes once a period, one message to each home.
    pub(crate) async fn report_progress(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.progress_period()).await;
            let running: Vec<Progress> = {
                let held = self.held.lock();
                held.values().filter_map(|one| one.progress()).collect()
            };
            let mut by_home: HashMap<HostKey, (SocketAddr, Vec<Progress>)> = HashMap::new();
            for progress in running {
                let Some((key, note)) = self.engine_homes(progress.upstream, 1).pop() else {
                    continue;
                };
                let (_, same) = by_home
                    .entry(key)
                    .or_insert_with(|| (note.address, Vec::new()));
                same.push(progress);
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
            let mine = self.key;
            let call = |client: PeerClient, context| async move {
                client.progress(context, mine, progress).await
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
        let held = self.held.lock();
        for one in held.values() {
            if one.id.lock().is_some_and(|id| moves.contains(&id)) {
                one.move_requested.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Tells a new home of a permit that an earlier one gave.
    async fn restore(&self, home: HostKey, address: SocketAddr, permit: PermitId) {
        let held = {
            let all = self.held.lock();
            let mut all = all.values();
            all.find(|one| *one.id.lock() == Some(permit)).cloned()
        };
        let Some(held) = held else { return };
        let upstream = held.upstream;
        let mut ask = held.ask;
        ask.out_tokens = held.out_tokens.load(Ordering::Relaxed);
        let id = if home == self.key {
            self.home_settings_of(upstream).map(|settings| {
                let now_ms = self.clock.now_ms();
                self.homes.restore(now_ms, upstream, settings, ask)
            })
        } else {
            let call = |client: PeerClient, context| async move {
                client.restore(context, upstream, ask).await
            };
            self.peers.call(address, call).await.ok().flatten()
        };
        if id.is_some() {
            *held.id.lock() = id;
        }
    }
}
