//! Reads the bodies of callers' requests within the host's budget.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_cluster::Clock;
use fulmarpath_policy::{Millis, OrganisationKey};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::body_admission::{BodyAdmission, BodyId, BodyState};

/// Room that a body of unknown length asks for first. It is doubled when that is full.
const FIRST_CHUNKED_BYTES: usize = 16 << 10;
/// How often a waiting body looks for slow senders.
const CHECK_PERIOD_MS: Millis = 100;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UnreadBody {
    TooLong,
    NoRoom,
    Broken,
    /// Its end did not arrive in time.
    Overdue,
}

/// Limits for the reading of one body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadLimits {
    pub(crate) max_bytes: usize,
    /// Longest wait for room, each time that the body needs some.
    pub(crate) max_wait_ms: Millis,
}

/// The bodies of callers' requests.
#[derive(Debug, Clone)]
pub(crate) struct RequestBodies {
    clock: Clock,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    admission: BodyAdmission,
    wakers: HashMap<BodyId, Arc<Notify>>,
    next_check_ms: Millis,
}

impl Shared {
    fn decide(&mut self, now_ms: Millis) {
        for id in self.admission.decide(now_ms) {
            if let Some(waker) = self.wakers.get(&id) {
                waker.notify_one();
            }
        }
    }
}

/// The room of one body, given back when dropped.
#[derive(Debug)]
struct BodyRoom {
    bodies: RequestBodies,
    id: BodyId,
    waker: Arc<Notify>,
}

/// A body in memory. The fields are dropped in this order.
struct HeldBody {
    bytes: Vec<u8>,
    _room: BodyRoom,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl RequestBodies {
    pub(crate) fn new(clock: Clock, total_bytes: usize) -> Self {
        let shared = Shared {
            admission: BodyAdmission::new(total_bytes),
            wakers: HashMap::new(),
            next_check_ms: 0,
        };
        Self {
            clock,
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    pub(crate) fn held_bytes(&self) -> usize {
        self.shared.lock().admission.held_bytes()
    }

    /// Reads a body. Its room is held until the last clone of the bytes is dropped.
    pub(crate) async fn read(
        &self,
        body: &mut Incoming,
        organisation: OrganisationKey,
        limits: ReadLimits,
    ) -> Result<Bytes, UnreadBody> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let stated_bytes = body.size_hint().exact();
        let stated_bytes = stated_bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if stated_bytes.is_some_and(|bytes| bytes > limits.max_bytes) {
            return Err(UnreadBody::TooLong);
        }
        let first_bytes = stated_bytes.unwrap_or(FIRST_CHUNKED_BYTES.min(limits.max_bytes));
        let room = self
            .add(organisation, first_bytes, limits.max_wait_ms)
            .ok_or(UnreadBody::NoRoom)?;
        room.wait().await?;
        let mut bytes = Vec::new();
        reserve(&mut bytes, first_bytes)?;
        loop {
            let frame = tokio::select! {
                biased;
                () = room.refused() => return Err(UnreadBody::NoRoom),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|_| UnreadBody::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let needed_bytes = bytes.len() + data.len();
            if needed_bytes > limits.max_bytes {
                return Err(UnreadBody::TooLong);
            }
            if needed_bytes > bytes.capacity() {
                let doubled = (2 * bytes.capacity()).min(limits.max_bytes);
                let new_bytes = doubled.max(needed_bytes);
                room.grow(new_bytes - bytes.capacity(), limits.max_wait_ms);
                room.wait().await?;
                reserve(&mut bytes, new_bytes)?;
            }
            bytes.extend_from_slice(&data);
            room.receive(data.len());
        }
        bytes.shrink_to_fit();
        room.complete()?;
        Ok(Bytes::from_owner(HeldBody { bytes, _room: room }))
    }

    fn add(
        &self,
        organisation: OrganisationKey,
        bytes: usize,
        max_wait_ms: Millis,
    ) -> Option<BodyRoom> {
        let now_ms = self.clock.now_ms();
        let waker = Arc::new(Notify::new());
        let mut shared = self.shared.lock();
        let id = shared
            .admission
            .add(organisation, bytes, now_ms + max_wait_ms)?;
        shared.wakers.insert(id, waker.clone());
        shared.decide(now_ms);
        drop(shared);
        Some(BodyRoom {
            bodies: self.clone(),
            id,
            waker,
        })
    }
}

/// Extends the capacity without an abort if the system has no memory left.
fn reserve(bytes: &mut Vec<u8>, capacity_bytes: usize) -> Result<(), UnreadBody> {
    let more_bytes = capacity_bytes - bytes.len();
    bytes
        .try_reserve_exact(more_bytes)
        .map_err(|_| UnreadBody::NoRoom)
}

impl BodyRoom {
    fn state(&self) -> BodyState {
        self.bodies.shared.lock().admission.state(self.id)
    }

    /// Waits until the body may be read.
    async fn wait(&self) -> Result<(), UnreadBody> {
        loop {
            match self.state() {
                BodyState::Waiting => {}
                BodyState::Reading | BodyState::Complete => return Ok(()),
                BodyState::Refused => return Err(UnreadBody::NoRoom),
            }
            let period = Duration::from_millis(CHECK_PERIOD_MS);
            if timeout(period, self.waker.notified()).await.is_err() {
                self.check();
            }
        }
    }

    /// Decides again, since time has passed; once in each period for all bodies together.
    fn check(&self) {
        let now_ms = self.bodies.clock.now_ms();
        let mut shared = self.bodies.shared.lock();
        if now_ms >= shared.next_check_ms {
            shared.next_check_ms = now_ms + CHECK_PERIOD_MS / 2;
            shared.decide(now_ms);
        }
    }

    /// Completes once the body has to give up its room.
    async fn refused(&self) {
        while self.state() != BodyState::Refused {
            self.waker.notified().await;
        }
    }

    fn grow(&self, bytes: usize, max_wait_ms: Millis) {
        let now_ms = self.bodies.clock.now_ms();
        let mut shared = self.bodies.shared.lock();
        shared.admission.grow(self.id, bytes, now_ms + max_wait_ms);
        shared.decide(now_ms);
    }

    fn receive(&self, bytes: usize) {
        let mut shared = self.bodies.shared.lock();
        shared.admission.receive(self.id, bytes);
    }

    fn complete(&self) -> Result<(), UnreadBody> {
        let now_ms = self.bodies.clock.now_ms();
        let mut shared = self.bodies.shared.lock();
        shared.admission.complete(self.id);
        shared.decide(now_ms);
        match shared.admission.state(self.id) {
            BodyState::Complete => Ok(()),
            _ => Err(UnreadBody::NoRoom),
        }
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        let now_ms = self.bodies.clock.now_ms();
        let mut shared = self.bodies.shared.lock();
        shared.wakers.remove(&self.id);
        shared.admission.remove(self.id);
        shared.decide(now_ms);
    }
}
