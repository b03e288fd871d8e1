//! What a host may use of its machine, and what it uses.

mod body_admission;
mod budget;
mod request_bodies;
mod usage;

use std::time::Duration;

use fulmarpath_cluster::Clock;
use fulmarpath_policy::Millis;
use spdlog::warn;
use tokio::time::sleep;

pub use body_admission::{BodyAdmission, BodyId, BodyState};
pub use budget::{ByteBudget, HeldBytes};
pub(crate) use request_bodies::{ReadLimits, UnreadBody};

use crate::gateway::Gateway;
use request_bodies::RequestBodies;
use usage::{descriptor_limit, open_descriptors, resident_bytes};

/// How often the delay of the workers and the memory of the process are measured.
const MEASURE_PERIOD_MS: Millis = 500;
/// Delay of a timer beyond which a line is logged. Callers give up a host that has not read a
/// request after one second.
const LOGGED_DELAY_MS: Millis = 500;
/// Fraction of the memory limit above which a line is logged, once until the memory falls below it.
const LOGGED_MEMORY_FRACTION: f64 = 0.7;

/// Fraction of the memory limit that the bodies of callers' requests may hold.
const REQUEST_BODIES_FRACTION: f64 = 0.25;
/// Fraction of the memory limit that the bodies of upstreams' responses may hold.
const RESPONSE_BODIES_FRACTION: f64 = 0.15;

/// Descriptors for listeners, the store and the runtime.
const RESERVED_DESCRIPTORS: usize = 24;
/// Part of the descriptors that is reserved for other hosts and for files.
const RESERVED_PART: usize = 8;

/// Limits of a host's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    /// Memory beyond which the process is ended.
    pub memory_bytes: usize,
    /// Descriptors that it may have open.
    pub descriptors: usize,
}

impl Default for HostLimits {
    fn default() -> Self {
        Self {
            memory_bytes: 256 << 20,
            descriptors: 1_024,
        }
    }
}

/// The bytes that a host's buffers may hold.
#[derive(Debug)]
pub(crate) struct Resources {
    limits: HostLimits,
    /// Bodies of callers' requests, until each request has ended.
    pub(crate) request_bodies: RequestBodies,
    /// Bodies of upstreams' responses that are read in full before they are passed on.
    pub(crate) response_bodies: ByteBudget,
}

/// What a host uses of its machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) request_body_bytes: usize,
    pub(crate) response_body_bytes: usize,
    pub(crate) stream_bytes: usize,
    /// 0 if the system does not tell.
    pub(crate) resident_bytes: usize,
    /// 0 if the system does not tell.
    pub(crate) open_descriptors: usize,
}

impl Resources {
    pub(crate) fn new(limits: HostLimits, clock: Clock) -> Self {
        let part = |fraction: f64| (limits.memory_bytes as f64 * fraction) as usize;
        Self {
            request_bodies: RequestBodies::new(clock, part(REQUEST_BODIES_FRACTION)),
            response_bodies: ByteBudget::new(part(RESPONSE_BODIES_FRACTION)),
            limits,
        }
    }

    /// Descriptors for the connections of callers and for their requests to upstreams. The limit of
    /// the process may change while it runs.
    pub(crate) fn caller_descriptors(&self) -> usize {
        let limit = descriptor_limit().min(self.limits.descriptors);
        let reserved = RESERVED_DESCRIPTORS + limit / RESERVED_PART;
        limit.saturating_sub(reserved)
    }
}

impl Gateway {
    pub(crate) fn usage(&self) -> Usage {
        Usage {
            request_body_bytes: self.resources.request_bodies.held_bytes(),
            response_body_bytes: self.resources.response_bodies.held_bytes(),
            stream_bytes: self.stream_buffers.held_bytes(),
            resident_bytes: resident_bytes().unwrap_or_default(),
            open_descriptors: open_descriptors().unwrap_or_default(),
        }
    }

    /// Measures how late timers fire, and logs when the process nears its memory limit. The system
    /// ends a process that exceeds it, without a line of what held the memory.
    pub(crate) async fn measure_resources(&self) {
        let mut is_high = false;
        loop {
            let due_ms = self.clock.now_ms() + MEASURE_PERIOD_MS;
            sleep(Duration::from_millis(MEASURE_PERIOD_MS)).await;
            let delay_ms = self.clock.now_ms().saturating_sub(due_ms);
            self.metrics.record_worker_delay(delay_ms);
            if delay_ms > LOGGED_DELAY_MS {
                warn!("host: the worker threads were busy or paused for {delay_ms} ms");
            }
            let limit_bytes = self.resources.limits.memory_bytes as f64 * LOGGED_MEMORY_FRACTION;
            let resident = resident_bytes().unwrap_or_default();
            let was_high = std::mem::replace(&mut is_high, resident as f64 > limit_bytes);
            if is_high && !was_high {
                let usage = self.usage();
                warn!(
                    "host: {resident} bytes of memory are in use, of {} allowed; request bodies \
                     hold {}, response bodies {}, streams {}",
                    self.resources.limits.memory_bytes,
                    usage.request_body_bytes,
                    usage.response_body_bytes,
                    usage.stream_bytes
                );
            }
        }
    }
}
