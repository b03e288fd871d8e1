//! Disseminates replicated state from a few watchers to all hosts.
//!
//! One host in each area (a data centre, or several small ones) watches the store. A watcher sends
//! its updates to its area along a tree, so no host sends more than a few copies whatever the size
//! of the fleet. The home of a cell must learn of a leaving engine at once: it watches as well
//! while there are few cells, otherwise a watcher of its area notifies it directly. Hosts that miss
//! an update because of a dead host in the tree detect it by the versions in the next pings. A
//! watch on every host would cost one waiting call per host, and another one for each change.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fulmarpath_policy::{
    HostKey, Millis, Recipient, Revision, StoreAccess, WatcherLiveness, broadcast_branches,
    split_branch,
};
use fulmarpath_wire::{Announcement, CellKey, GatewayPeerClient, ReplicatedState, Rumour};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::encoding::{EncodingError, decode, encode};
use crate::gateway::Gateway;
use crate::roster::directory::{DepartureNotice, DirectoryChange, ListedPage, Registration};
use crate::store::metadata::ReadPage;
use crate::store::sync::{log_decisions, log_store_restored};
use crate::store::watch_duty::WatchDuty;

/// Minimum time between two announcements of one host on its access to the store.
const STORE_ACCESS_INTERVAL_MS: Millis = 400;
/// Changes of the upstreams within this time are announced together. The delay is short against the
/// two seconds for which a leaving upstream may still receive requests.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of cells at which their homes watch the store themselves. Each watcher costs a
/// call for each change, so their number must not grow with the cells.
const MAX_WATCHED_CELLS: usize = 8;
/// Maximum number of registrations in an announced change. A complete list of a large fleet would
/// pass the link of each host several times along the tree and hold up all other updates; hosts
/// fetch it in parts instead, once a ping shows them a later revision.
const MAX_ANNOUNCED: usize = 1_024;

/// The announcement of a host that can't read the store.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct StoreUnreadable {
    host: HostKey,
    /// How long its calls have failed.
    failing_ms: Millis,
}

/// What this host has announced, and what other hosts have announced about their store access.
#[derive(Debug, Default)]
pub(crate) struct Dissemination {
    /// The revision up to which this host has announced the upstreams.
    announced: Mutex<Revision>,
    /// The access of this area's hosts to the store.
    pub(crate) store_access: Mutex<StoreAccess>,
    /// When this host last announced that it can't read the store, and that it does.
    unreadable_announced_ms: Mutex<Millis>,
    readable_announced_ms: Mutex<Millis>,
    pub(crate) duty: Mutex<WatchDuty>,
    /// When a watcher was last known to work.
    pub(crate) liveness: Mutex<WatcherLiveness>,
    /// Whether an announcement of the upstreams is scheduled.
    is_announcing: AtomicBool,
}

impl Dissemination {
    /// Whether it is unknown if any host of this area reads the store. `own_failing_ms` is how long
    /// this host's calls have failed.
    pub(crate) fn is_store_access_uncertain(&self, now_ms: Millis, own_failing_ms: Millis) -> bool {
        let access = self.store_access.lock();
        access.is_uncertain(now_ms, own_failing_ms)
    }
}

impl Gateway {
    /// Whether this host watches the upstreams.
    pub(crate) fn watches_upstreams(&self) -> bool {
        self.is_watcher() || (self.may_watch() && self.watches_as_home())
    }

    /// Whether this host watches the upstreams as the home of a cell, which must not miss a moment.
    pub(crate) fn watches_as_home(&self) -> bool {
        self.homes_watch() && self.is_home_of_any_cell()
    }

    /// Whether homes of cells watch the store themselves.
    fn homes_watch(&self) -> bool {
        self.cells.count() <= MAX_WATCHED_CELLS
    }

    /// Announces to this area that this host can't read the store.
    pub(crate) fn announce_store_unreadable(self: &Arc<Self>) {
        let now_ms = self.clock.now_ms();
        if !is_due(now_ms, &self.dissemination.unreadable_announced_ms) {
            return;
        }
        let unreadable = StoreUnreadable {
            host: self.host_key(),
            failing_ms: self.roster.lock().store_failing_ms(now_ms),
        };
        let area = self.area_branches();
        self.announce(ReplicatedState::StoreUnreadable, &unreadable, area);
    }

    fn handle_store_unreadable(&self, value: &[u8]) -> Result<(), EncodingError> {
        let StoreUnreadable { host, failing_ms } = decode(ReplicatedState::StoreUnreadable, value)?;
        let now_ms = self.clock.now_ms();
        let mut access = self.dissemination.store_access.lock();
        access.record_unreadable(now_ms, host);
        drop(access);
        let mut roster = self.roster.lock();
        roster.mark_store_unavailable_to_peer(now_ms, failing_ms);
        Ok(())
    }

    /// Announces to this area that this host has just read the upstreams from the store, if another
    /// one can't.
    pub(crate) fn announce_store_readable(self: &Arc<Self>) {
        let now_ms = self.clock.now_ms();
        let is_substitute = self.is_watcher() && !self.is_elected_watcher();
        let mut access = self.dissemination.store_access.lock();
        access.record_readable(now_ms);
        let is_needed = is_substitute || access.is_unreadable(now_ms);
        drop(access);
        if is_needed && is_due(now_ms, &self.dissemination.readable_announced_ms) {
            let area = self.area_branches();
            self.announce(ReplicatedState::StoreReadable, &(), area);
        }
    }

    fn handle_store_readable(&self) -> Result<(), EncodingError> {
        let now_ms = self.clock.now_ms();
        let mut access = self.dissemination.store_access.lock();
        access.record_readable(now_ms);
        drop(access);
        self.dissemination.liveness.lock().record(now_ms, 0);
        Ok(())
    }

    /// Announces a configuration that this host has read from the store.
    pub(crate) fn announce_configuration(self: &Arc<Self>) {
        let Some(held) = self.active_configuration() else {
            return;
        };
        if self.is_watcher() {
            let area = self.area_branches();
            self.announce(ReplicatedState::Configuration, &held.configuration, area);
        }
    }

    /// Marks the present revision as announced, before this host reads the upstreams again.
    pub(crate) fn reset_announced_revision(&self) {
        let held = self.roster.lock().revision();
        *self.dissemination.announced.lock() = held;
    }

    /// Announces changes of the upstreams, together with all that follow within [`ANNOUNCE_DELAY`].
    ///
    /// The home of a cell reads each change separately. Announced one by one, hundreds a second
    /// would each be a message to every host.
    pub(crate) fn schedule_directory_announcement(self: &Arc<Self>) {
        if self
            .dissemination
            .is_announcing
            .swap(true, Ordering::Relaxed)
        {
            return;
        }
        let gateway = self.clone();
        tokio::spawn(async move {
            sleep(ANNOUNCE_DELAY).await;
            gateway
                .dissemination
                .is_announcing
                .store(false, Ordering::Relaxed);
            gateway.announce_directory();
        });
    }

    fn announce_directory(self: &Arc<Self>) {
        if !self.is_watcher() {
            return;
        }
        let change = {
            let roster = self.roster.lock();
            let mut announced = self.dissemination.announced.lock();
            let before = std::mem::replace(&mut *announced, roster.revision());
            if roster.revision() <= before {
                return;
            }
            roster.change_since(self.clock.now_ms(), before)
        };
        if change.put.len() > MAX_ANNOUNCED {
            let (count, revision) = (change.put.len(), change.revision);
            info!("spread: {count} upstreams at revision {revision} are left to be fetched");
            return;
        }
        self.announce(ReplicatedState::Upstreams, &change, self.area_branches());
    }

    /// Passes on a page of a list that this host is reading, and uses it at once. A list of one page
    /// is announced when it is complete, like any change.
    pub(crate) fn announce_listed_page(self: &Arc<Self>, page: &ReadPage<'_, Registration>) {
        let is_only_page = page.after.is_none() && page.up_to.is_none();
        let is_of_ended_era = self.store_era.latest() > Some(page.revision.era);
        if is_only_page || is_of_ended_era {
            return;
        }
        self.add_provisional_upstreams(page.items);
        let listed = ListedPage {
            revision: page.revision,
            after: page.after.clone(),
            up_to: page.up_to.map(str::to_owned),
            put: page.items.to_vec(),
        };
        let area = self.area_branches();
        self.announce(ReplicatedState::UpstreamsPage, &listed, area);
    }

    fn handle_listed_page(&self, value: &[u8]) -> Result<(), EncodingError> {
        let page: ListedPage = decode(ReplicatedState::UpstreamsPage, value)?;
        self.observe_era(page.revision, "a watcher");
        let now_ms = self.clock.now_ms();
        self.fleet.join.lock().record_list_progress(now_ms);
        if self.roster.lock().revision() >= page.revision {
            return Ok(());
        }
        self.add_provisional_upstreams(&page.put);
        let complete = self.fleet.listed.lock().add(now_ms, page);
        if let Some(list) = complete {
            self.apply_peer_upstreams(list);
        }
        Ok(())
    }

    /// Notifies the homes in this area of the engines that are leaving, which they would otherwise
    /// learn only after the announcement has passed the tree.
    pub(crate) fn notify_homes(self: &Arc<Self>, departures: Vec<(CellKey, DepartureNotice)>) {
        if departures.is_empty() || self.homes_watch() || !self.is_watcher() {
            return;
        }
        let area = self.area();
        let own_key = self.host_key();
        let mut by_home: HashMap<SocketAddr, Vec<DepartureNotice>> = HashMap::new();
        for (cell, notice) in departures {
            let home = self.home_of(cell);
            let home =
                home.filter(|(key, member)| *key != own_key && area.contains(&member.data_centre));
            if let Some((_, member)) = home {
                by_home.entry(member.address).or_default().push(notice);
            }
        }
        for (home, notices) in by_home {
            self.announce(ReplicatedState::Departures, &notices, vec![vec![home]]);
        }
    }

    fn handle_departures(&self, value: &[u8]) -> Result<(), EncodingError> {
        let notices: Vec<DepartureNotice> = decode(ReplicatedState::Departures, value)?;
        let now_ms = self.clock.now_ms();
        let mut roster = self.roster.lock();
        let mut changed = false;
        for notice in &notices {
            changed |= roster.observe_departure(now_ms, notice);
        }
        if changed {
            self.apply_roster_changes(&mut roster);
        }
        Ok(())
    }

    /// Sends an update to an audience along its branches.
    pub(crate) fn announce<T: Serialize>(
        self: &Arc<Self>,
        kind: ReplicatedState,
        update: &T,
        audience: Vec<Vec<SocketAddr>>,
    ) {
        match encode(kind, update) {
            Ok(value) => self.send_to_branches(kind, &value, audience),
            Err(error) => warn!("spread: could not encode an update of {kind:?}: {error}"),
        }
    }

    /// The other hosts of this area, in branches.
    pub(crate) fn area_branches(&self) -> Vec<Vec<SocketAddr>> {
        let area = self.area();
        self.audience(|data_centre| area.contains(data_centre))
    }

    /// All other hosts, in branches.
    pub(crate) fn all_branches(&self) -> Vec<Vec<SocketAddr>> {
        self.audience(|_| true)
    }

    fn audience(&self, includes: impl Fn(&str) -> bool) -> Vec<Vec<SocketAddr>> {
        let members = self.fleet.members.lock();
        let own_key = members.own_key();
        let recipients = members
            .homes()
            .filter(|(key, member)| *key != own_key && includes(&member.data_centre));
        let recipients = recipients.map(|(key, member)| Recipient {
            data_centre: member.data_centre.as_str(),
            rank: key.0,
            address: member.address,
        });
        broadcast_branches(&self.settings.host.data_centre, recipients)
    }

    /// Sends an update to the first host of each branch, which forwards it to the rest.
    fn send_to_branches(
        self: &Arc<Self>,
        kind: ReplicatedState,
        value: &[u8],
        branches: Vec<Vec<SocketAddr>>,
    ) {
        for branch in branches {
            let Some((first, rest)) = branch.split_first() else {
                continue;
            };
            let (gateway, first, rest) = (self.clone(), *first, rest.to_vec());
            let value = value.to_vec();
            tokio::spawn(async move { gateway.send_announcement(first, kind, value, rest).await });
        }
    }

    /// Sends an update to one host, or to the rest of its branch if that host does not answer.
    ///
    /// Many hosts may die at once, and each is considered present for some more seconds. Without
    /// this fallback a leaving upstream would become known in the rest of the branch only by pings.
    async fn send_announcement(
        self: Arc<Self>,
        host: SocketAddr,
        kind: ReplicatedState,
        value: Vec<u8>,
        rest: Vec<SocketAddr>,
    ) {
        let announcement = Announcement {
            holding: kind,
            value: value.clone(),
            audience: rest.clone(),
        };
        let call = |client: GatewayPeerClient, context| async move {
            client.announce(context, announcement).await
        };
        if let Err(error) = self.fleet.peers.call(host, call).await {
            warn!(
                "spread: could not forward an update of {kind:?}, sending it directly to the other \
                 {} hosts of the branch: {error}",
                rest.len()
            );
            self.send_to_branches(kind, &value, split_branch(&rest));
        }
    }

    /// Applies an announcement and forwards it.
    pub(crate) fn handle_announcement(self: &Arc<Self>, announcement: Announcement) {
        let Announcement {
            holding: kind,
            value,
            audience,
        } = announcement;
        let applied = match kind {
            ReplicatedState::Configuration => self.handle_configuration(&value),
            ReplicatedState::Upstreams => self.handle_directory_change(&value),
            ReplicatedState::StoreUnreadable => self.handle_store_unreadable(&value),
            ReplicatedState::StoreReadable => self.handle_store_readable(),
            ReplicatedState::Members => self.handle_members(&value),
            ReplicatedState::Circuits => self.handle_circuits(&value),
            ReplicatedState::Evacuations => self.handle_evacuations(&value),
            ReplicatedState::Departures => self.handle_departures(&value),
            ReplicatedState::UpstreamsPage => self.handle_listed_page(&value),
        };
        if let Err(error) = applied {
            warn!("spread: could not decode an update of {kind:?}: {error}");
            return;
        }
        self.send_to_branches(kind, &value, split_branch(&audience));
    }

    fn handle_members(&self, value: &[u8]) -> Result<(), EncodingError> {
        let update: Vec<Rumour> = decode(ReplicatedState::Members, value)?;
        self.merge_rumours(&update);
        Ok(())
    }

    fn handle_configuration(&self, value: &[u8]) -> Result<(), EncodingError> {
        self.apply_configuration(decode(ReplicatedState::Configuration, value)?, "a watcher");
        Ok(())
    }

    fn handle_directory_change(&self, value: &[u8]) -> Result<(), EncodingError> {
        let change: DirectoryChange = decode(ReplicatedState::Upstreams, value)?;
        self.observe_era(change.revision, "a watcher");
        let mut roster = self.roster.lock();
        let before = roster.revision();
        if roster.apply_peer_change(self.clock.now_ms(), change) {
            self.apply_roster_changes(&mut roster);
        }
        log_decisions(&mut roster, "a watcher");
        log_store_restored(before, &roster);
        Ok(())
    }
}

/// Whether an announcement is due; if so, the next one is due an interval later.
fn is_due(now_ms: Millis, announced_ms: &Mutex<Millis>) -> bool {
    let mut announced_ms = announced_ms.lock();
    if now_ms.saturating_sub(*announced_ms) < STORE_ACCESS_INTERVAL_MS {
        return false;
    }
    *announced_ms = now_ms;
    true
}
