//! Which host is home of a cell, and what passes between it and the others.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_policy::{
    HostKey, Migration, MigrationOutcome, Placement, PlacementRequest, RunEnd, RunKey, UpstreamKey,
};
use fulmarpath_wire::{CellKey, GatewayPeerClient, MemberInfo, MigrationAnswer, RelayedRuns};
use parking_lot::Mutex;
use spdlog::{info, warn};

use crate::gateway::Gateway;
use crate::metrics::TransferLabels;

/// Between two statements of what this host relays: how long a new home knows too little.
const RESTATE_PERIOD: Duration = Duration::from_millis(1_000);
/// A home that doesn't answer in time costs its caller this much of the time to a first token.
const PLACE_BOUND: Duration = Duration::from_millis(150);
/// A transfer takes some 200 ms in a data centre, and waits for another at its destination.
const CARRY_BOUND: Duration = Duration::from_millis(2_500);
/// Between two looks at a leaving engine without anything to carry off now.
const LOOK_PERIOD: Duration = Duration::from_millis(25);

/// What this host does for cells.
#[derive(Default)]
pub(crate) struct Duties {
    /// Engines whose generations this host is carrying off.
    carrying_off: Mutex<HashSet<UpstreamKey>>,
    /// Cells whose home did not answer lately: this host acts for its own generations.
    homeless: Mutex<HashSet<CellKey>>,
    /// Wakes the statement of what this host relays.
    pub(crate) restate_now: tokio::sync::Notify,
}

impl Gateway {
    pub(crate) fn home_of(&self, cell: CellKey) -> Option<(HostKey, MemberInfo)> {
        self.fleet.members.lock().homes_of(cell.0, 1).pop()
    }

    pub(crate) fn host_key(&self) -> HostKey {
        self.fleet.members.lock().my_key()
    }

    /// Whether this host is home of any cell.
    pub(crate) fn has_cell(&self) -> bool {
        self.cells.keys().into_iter().any(|cell| self.is_home(cell))
    }

    pub(crate) fn is_home(&self, cell: CellKey) -> bool {
        let home = self.home_of(cell);
        home.is_none_or(|(key, _)| key == self.host_key())
    }

    /// Asks the cell's home where a generation starts. Without a home this host decides by what it
    /// knows itself: it sees its own generations only, and that is better than no answer.
    pub(crate) async fn place(&self, cell: CellKey, request: PlacementRequest) -> Placement {
        if let Some((key, note)) = self.home_of(cell)
            && key != self.host_key()
        {
            let asked = request.clone();
            let call = |client: GatewayPeerClient, context| async move {
                client.place(context, cell, asked).await
            };
            let peers = &self.fleet.peers;
            match peers
                .call_with_timeout(note.address, PLACE_BOUND, call)
                .await
            {
                Ok(Some(placement)) => return placement,
                Ok(None) => {}
                Err(error) => warn!("cells: placed without a home: {error}"),
            }
        }
        let placement = self.place_here(cell, request);
        // A cell's home counts what it starts at a cold engine; a host in its place has to ask.
        if let Placement::On { engine, .. } = placement
            && !self.is_home(cell)
            && let Err(retry_after_ms) = self.request_start_if_cold(engine).await
        {
            return Placement::Full { retry_after_ms };
        }
        placement
    }

    /// Places as the cell's home.
    pub(crate) fn answer_place(
        &self,
        cell: CellKey,
        request: &PlacementRequest,
    ) -> Option<Placement> {
        self.is_home(cell)
            .then(|| self.place_here(cell, request.clone()))
    }

    /// Places by this host's own table.
    ///
    /// A host that has just started takes itself for the home of every cell until it has met the others:
    /// where all start at once, each would start what a cold engine bears. It leaves those to others.
    fn place_here(&self, cell: CellKey, mut request: PlacementRequest) -> Placement {
        let now_ms = self.clock.now_ms();
        if !self.fleet.is_in_touch(now_ms) {
            request.excluded.extend(self.instances.cold(now_ms));
        }
        self.cells.place(now_ms, cell, &request)
    }

    /// Tells the cell's home that a generation is over.
    pub(crate) fn tell_end(self: &Arc<Self>, cell: CellKey, run: RunKey, end: RunEnd) {
        self.cells.end(self.clock.now_ms(), cell, run, end);
        let Some((key, note)) = self.home_of(cell) else {
            return;
        };
        if key == self.host_key() {
            return;
        }
        let gateway = self.clone();
        tokio::spawn(async move {
            let call = |client: GatewayPeerClient, context| async move {
                client.ended(context, cell, run, end).await
            };
            if gateway.fleet.peers.call(note.address, call).await.is_err() {
                // The next statement tells it all the same.
                warn!("cells: the home did not hear of an end");
            }
        });
    }

    /// States to each cell's home what this host relays, again and again and when it matters.
    pub(crate) async fn restate_runs(self: Arc<Self>) {
        loop {
            let notified = self.duties.restate_now.notified();
            let _ = tokio::time::timeout(RESTATE_PERIOD, notified).await;
            let present: HashSet<HostKey> = {
                let members = self.fleet.members.lock();
                members.homes().map(|(key, _)| key).collect()
            };
            self.cells.keep_hosts(|host| present.contains(&host));
            let cell_with = |engine| self.cells.cell_with(engine);
            for restatement in self.runs.restatements(self.host_key(), cell_with) {
                self.restate(restatement).await;
            }
        }
    }

    async fn restate(&self, restatement: RelayedRuns) {
        let cell = restatement.cell;
        self.cells.restate(self.clock.now_ms(), &restatement);
        let Some((key, note)) = self.home_of(cell) else {
            return;
        };
        if key == self.host_key() {
            self.duties.homeless.lock().remove(&cell);
            return;
        }
        let call = |client: GatewayPeerClient, context| async move {
            client.restate(context, restatement).await
        };
        let heard = self.fleet.peers.call(note.address, call).await;
        let mut homeless = self.duties.homeless.lock();
        let changed = match heard {
            Ok(()) => homeless.remove(&cell),
            Err(_) => homeless.insert(cell),
        };
        if changed && heard.is_err() {
            warn!("cells: {} is home of a cell and does not answer", note.name);
        }
    }

    /// Whether this host carries generations of a cell off: as the home, or in its place for those
    /// that this host relays itself.
    fn acts_for(&self, cell: CellKey) -> bool {
        self.is_home(cell) || self.duties.homeless.lock().contains(&cell)
    }

    /// Looks for leaving engines whose generations are to be carried off.
    pub(crate) async fn carry_off_leaving(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LOOK_PERIOD).await;
            for (cell, engine) in self.cells.leaving() {
                if !self.acts_for(cell) || !self.duties.carrying_off.lock().insert(engine) {
                    continue;
                }
                tokio::spawn(self.clone().learn_time_left(cell, engine));
                let gateway = self.clone();
                tokio::spawn(async move {
                    gateway.carry_off(cell, engine).await;
                    gateway.duties.carrying_off.lock().remove(&engine);
                });
            }
        }
    }

    /// Carries off one generation after the other while there are any.
    async fn carry_off(self: &Arc<Self>, cell: CellKey, engine: UpstreamKey) {
        let mut moved = 0;
        while self.cells.is_leaving(cell, engine) && self.acts_for(cell) {
            let now_ms = self.clock.now_ms();
            let Some(carry) = self.cells.next_carry(now_ms, cell, engine) else {
                tokio::time::sleep(LOOK_PERIOD).await;
                continue;
            };
            let end = self.order(carry).await;
            info!(
                "cells: {:016x} from {:016x} to {:016x}: {end:?} after {} ms",
                carry.run.0,
                carry.from.0,
                carry.to.0,
                self.clock.now_ms().saturating_sub(now_ms)
            );
            let labels = TransferLabels { end: name(end) };
            self.metrics.transfers.get_or_create(&labels).inc();
            moved += u32::from(end == MigrationOutcome::Moved);
            self.cells.carried(self.clock.now_ms(), cell, carry, end);
        }
        info!("cells: {moved} generations carried off {:016x}", engine.0);
    }

    async fn order(self: &Arc<Self>, carry: Migration) -> MigrationOutcome {
        let Migration { run, to, host, .. } = carry;
        if host == self.host_key() {
            return end(self.carry_here(run, to).await);
        }
        let note = {
            let members = self.fleet.members.lock();
            members.find(host).map(|rumour| rumour.member.clone())
        };
        let Some(note) = note else {
            return MigrationOutcome::Ended;
        };
        let call = |client: GatewayPeerClient, context| async move {
            client.carry(context, run, to).await
        };
        let peers = &self.fleet.peers;
        match peers
            .call_with_timeout(note.address, CARRY_BOUND, call)
            .await
        {
            Ok(answer) => end(answer),
            Err(error) => {
                warn!("cells: a generation may not have moved: {error}");
                MigrationOutcome::Orphaned
            }
        }
    }

    /// Carries a generation that this host relays to another engine.
    pub(crate) async fn carry_here(&self, run: RunKey, to: UpstreamKey) -> MigrationAnswer {
        let Some(destination) = self.instances.destination(self.clock.now_ms(), to) else {
            return MigrationAnswer::Stayed;
        };
        self.runs.migrate(run, destination).await
    }
}

/// Its name on metrics.
fn name(end: MigrationOutcome) -> &'static str {
    match end {
        MigrationOutcome::Moved => "moved",
        MigrationOutcome::NotMoved => "stayed",
        MigrationOutcome::Refused => "refused",
        MigrationOutcome::Orphaned => "left_behind",
        MigrationOutcome::Ended => "over",
    }
}

fn end(answer: MigrationAnswer) -> MigrationOutcome {
    match answer {
        MigrationAnswer::Moved => MigrationOutcome::Moved,
        MigrationAnswer::Stayed => MigrationOutcome::NotMoved,
        MigrationAnswer::Refused => MigrationOutcome::Refused,
        MigrationAnswer::LeftBehind => MigrationOutcome::Orphaned,
        MigrationAnswer::Over => MigrationOutcome::Ended,
    }
}
