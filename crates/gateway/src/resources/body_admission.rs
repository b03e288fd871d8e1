//! Decides which bodies of callers' requests may be read, within one budget.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use fulmarpath_policy::{Millis, OrganisationKey};

/// Multiple of the free bytes that one organisation may hold. The rest stays free for others.
const ORGANISATION_MULTIPLE: usize = 3;
/// The same for small bodies.
const SMALL_ORGANISATION_MULTIPLE: usize = 7;
/// Part of the budget up to which a body is small. Small bodies don't wait behind large ones.
const SMALL_PART: usize = 256;
/// Time within which a sender is expected to fill the room that its body was granted.
const EXPECTED_FILL_MS: Millis = 4_000;
/// Part of the budget that growing bodies leave to the oldest of them.
const OLDEST_PART: usize = 2;
/// A sender is judged no sooner than this after its body got room.
const MIN_JUDGED_MS: Millis = 500;

/// Identifies a body; later bodies have greater ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// Whether a body may be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyState {
    /// It waits for room, and nothing of it is read meanwhile.
    Waiting,
    /// It may be read into the room that it holds.
    Reading,
    /// All of it has been read.
    Complete,
    /// It has to give up its room.
    Refused,
}

#[derive(Debug)]
struct Body {
    organisation: OrganisationKey,
    state: BodyState,
    held_bytes: usize,
    received_bytes: usize,
    /// Room that it waits for, or that it was granted last.
    asked_bytes: usize,
    /// Bytes that it had received when it got that room.
    received_before: usize,
    granted_ms: Millis,
    wait_until_ms: Millis,
    /// Whether its length is unknown and it has needed more than its first room.
    is_growing: bool,
}

impl Body {
    /// Whether its sender takes too long to fill the room.
    fn is_slow(&self, now_ms: Millis) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.granted_ms);
        let received = (self.received_bytes - self.received_before) as u64;
        self.state == BodyState::Reading
            && elapsed_ms >= MIN_JUDGED_MS
            && received * EXPECTED_FILL_MS < self.asked_bytes as u64 * elapsed_ms
    }

    fn received_fraction(&self) -> f64 {
        self.received_bytes as f64 / self.held_bytes.max(1) as f64
    }
}

/// Grants bodies room in order of arrival, first those of the organisation that holds least.
///
/// A body of stated length gets room for all of it or none. One of unknown length grows; part of the
/// budget is left to the oldest of these, and if all room is held by bodies that wait for more, the
/// newest is refused. While a body waits, slow senders lose their room.
#[derive(Debug)]
pub struct BodyAdmission {
    total_bytes: usize,
    held_bytes: usize,
    next_id: u64,
    bodies: BTreeMap<BodyId, Body>,
    waiting: BTreeSet<BodyId>,
    /// Bodies that have grown and are neither complete nor refused.
    growing: BTreeSet<BodyId>,
    held_by: HashMap<OrganisationKey, usize>,
}

impl BodyAdmission {
    /// Creates a budget of `total_bytes`.
    pub fn new(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            held_bytes: 0,
            next_id: 0,
            bodies: BTreeMap::new(),
            waiting: BTreeSet::new(),
            growing: BTreeSet::new(),
            held_by: HashMap::new(),
        }
    }

    /// The whole budget.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Bytes that bodies hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds a body that waits for room until `wait_until_ms`; `None` if it is larger than the whole
    /// budget.
    pub fn add(
        &mut self,
        organisation: OrganisationKey,
        bytes: usize,
        wait_until_ms: Millis,
    ) -> Option<BodyId> {
        if bytes > self.total_bytes {
            return None;
        }
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let body = Body {
            organisation,
            state: BodyState::Waiting,
            held_bytes: 0,
            received_bytes: 0,
            asked_bytes: bytes,
            received_before: 0,
            granted_ms: 0,
            wait_until_ms,
            is_growing: false,
        };
        self.bodies.insert(id, body);
        self.waiting.insert(id);
        Some(id)
    }

    /// Lets a body that has filled its room wait for more.
    pub fn grow(&mut self, id: BodyId, bytes: usize, wait_until_ms: Millis) {
        let total_bytes = self.total_bytes;
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        if body.state != BodyState::Reading {
            return;
        }
        if body.held_bytes + bytes > total_bytes {
            body.state = BodyState::Refused;
            self.growing.remove(&id);
            return;
        }
        body.state = BodyState::Waiting;
        body.is_growing = true;
        body.asked_bytes = bytes;
        body.wait_until_ms = wait_until_ms;
        self.waiting.insert(id);
        self.growing.insert(id);
    }

    /// Counts bytes of a body that were read.
    pub fn receive(&mut self, id: BodyId, bytes: usize) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.received_bytes += bytes;
        }
    }

    /// Marks a body as read in full and gives back the room that it doesn't need.
    pub fn complete(&mut self, id: BodyId) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        if body.state != BodyState::Reading {
            return;
        }
        body.state = BodyState::Complete;
        self.growing.remove(&id);
        let unused_bytes = body.held_bytes.saturating_sub(body.received_bytes);
        body.held_bytes -= unused_bytes;
        let organisation = body.organisation;
        self.give_back(organisation, unused_bytes);
    }

    /// Removes a body whose bytes are no longer in memory.
    pub fn remove(&mut self, id: BodyId) {
        self.waiting.remove(&id);
        self.growing.remove(&id);
        if let Some(body) = self.bodies.remove(&id) {
            self.give_back(body.organisation, body.held_bytes);
        }
    }

    /// Whether a body may be read.
    pub fn state(&self, id: BodyId) -> BodyState {
        let body = self.bodies.get(&id);
        body.map_or(BodyState::Refused, |body| body.state)
    }

    /// Grants and refuses what the time and the free room allow; returns the bodies whose state has
    /// changed.
    pub fn decide(&mut self, now_ms: Millis) -> Vec<BodyId> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let bodies = &self.bodies;
        let is_late = |id: &BodyId| bodies[id].wait_until_ms <= now_ms;
        let mut changed: Vec<_> = self.waiting.iter().copied().filter(is_late).collect();
        for id in &changed {
            self.refuse(*id);
        }
        while let Some(id) = self.next_small().or_else(|| self.next_waiting()) {
            if self.fits(id, self.total_bytes - self.held_bytes) {
                self.grant(now_ms, id);
                changed.push(id);
                continue;
            }
            let Some(victim) = self.victim(now_ms, id) else {
                break;
            };
            self.refuse(victim);
            changed.push(victim);
        }
        changed
    }

    /// The first small body that fits now.
    fn next_small(&self) -> Option<BodyId> {
        let free_bytes = self.total_bytes - self.held_bytes;
        let mut waiting = self.waiting.iter().copied();
        waiting.find(|id| self.is_small(&self.bodies[id]) && self.fits(*id, free_bytes))
    }

    /// The body whose turn it is. Those that hold a part come first, since their end frees room.
    fn next_waiting(&self) -> Option<BodyId> {
        self.waiting.iter().copied().min_by_key(|id| {
            let body = &self.bodies[id];
            match body.held_bytes > 0 {
                true => (false, 0, *id),
                false => (true, self.held_by_organisation(body.organisation), *id),
            }
        })
    }

    fn fits(&self, id: BodyId, free_bytes: usize) -> bool {
        let body = &self.bodies[&id];
        let Some(left_bytes) = free_bytes.checked_sub(body.asked_bytes) else {
            return false;
        };
        let must_leave_part = body.is_growing && self.growing.first() != Some(&id);
        if must_leave_part && left_bytes < self.total_bytes / OLDEST_PART {
            return false;
        }
        let held_bytes = self.held_by_organisation(body.organisation);
        let multiple = match self.is_small(body) {
            true => SMALL_ORGANISATION_MULTIPLE,
            false => ORGANISATION_MULTIPLE,
        };
        let is_only_body = held_bytes == body.held_bytes;
        is_only_body || held_bytes + body.asked_bytes <= multiple.saturating_mul(left_bytes)
    }

    fn is_small(&self, body: &Body) -> bool {
        body.held_bytes + body.asked_bytes <= self.total_bytes / SMALL_PART
    }

    /// The body to refuse for the sake of one that waits; `None` if that would not help, or if
    /// enough bodies are about to give up their room.
    fn victim(&self, now_ms: Millis, waiting: BodyId) -> Option<BodyId> {
        let held_by = |is_counted: &dyn Fn(&Body) -> bool| -> usize {
            let counted = self.bodies.values().filter(|body| is_counted(body));
            counted.map(|body| body.held_bytes).sum()
        };
        let refused_bytes = held_by(&|body| body.state == BodyState::Refused);
        let free_soon = self.total_bytes - self.held_bytes + refused_bytes;
        if self.fits(waiting, free_soon) {
            return None;
        }
        let slow_bytes = held_by(&|body| body.is_slow(now_ms));
        if slow_bytes > 0 && self.fits(waiting, free_soon + slow_bytes) {
            let slow = self.bodies.iter().filter(|(_, body)| body.is_slow(now_ms));
            let fraction = |body: &Body| body.received_fraction();
            let slowest = slow.min_by(|(id, body), (other_id, other)| {
                let by_fraction = fraction(body).total_cmp(&fraction(other));
                by_fraction.then(other_id.cmp(id))
            });
            return slowest.map(|(id, _)| *id);
        }
        let mut holding = self.bodies.iter().filter(|(_, body)| body.held_bytes > 0);
        let is_waiting = |body: &Body| body.state == BodyState::Waiting;
        let all_wait = holding.clone().all(|(_, body)| is_waiting(body));
        let newest = holding.next_back().map(|(id, _)| *id);
        newest.filter(|_| all_wait)
    }

    fn grant(&mut self, now_ms: Millis, id: BodyId) {
        self.waiting.remove(&id);
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.state = BodyState::Reading;
        body.held_bytes += body.asked_bytes;
        body.received_before = body.received_bytes;
        body.granted_ms = now_ms;
        self.held_bytes += body.asked_bytes;
        *self.held_by.entry(body.organisation).or_default() += body.asked_bytes;
    }

    fn refuse(&mut self, id: BodyId) {
        self.waiting.remove(&id);
        self.growing.remove(&id);
        if let Some(body) = self.bodies.get_mut(&id) {
            body.state = BodyState::Refused;
        }
    }

    fn held_by_organisation(&self, organisation: OrganisationKey) -> usize {
        self.held_by.get(&organisation).copied().unwrap_or_default()
    }

    fn give_back(&mut self, organisation: OrganisationKey, bytes: usize) {
        self.held_bytes -= bytes;
        if let Some(held) = self.held_by.get_mut(&organisation) {
            *held -= bytes;
            if *held == 0 {
                self.held_by.remove(&organisation);
            }
        }
    }
}
