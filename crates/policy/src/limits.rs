//! Limits of an organisation: requests a second and requests at once.
//!
//! One host, the organisation's home, keeps the exact counts; entry hosts ask it. A slot whose
//! holder died lapses.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::key::{HostKey, Millis, OrganisationKey};

/// An organisation's declared limits.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Requests a second, also the burst.
    pub requests_per_s: f32,
    /// Requests at once.
    pub concurrent: u32,
}

/// Why a request is over its limit, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitExceeded {
    /// Too many requests a second.
    Rate {
        /// Time until the next is allowed.
        retry_after_ms: Millis,
    },
    /// Too many requests at once.
    Concurrency {
        /// A guess at when one ends.
        retry_after_ms: Millis,
    },
}

#[derive(Debug)]
struct Usage {
    allowance: f32,
    refilled_at_ms: Millis,
    held: HashMap<HostKey, Held>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Held {
    slots: u32,
    heard_at_ms: Millis,
}

const LAPSE_MS: Millis = 6_000;
const CONCURRENCY_RETRY_MS: Millis = 1_000;

/// The usage of those organisations whose home this host is.
#[derive(Debug, Default)]
pub struct LimitTable {
    usage: HashMap<OrganisationKey, Usage>,
}

impl LimitTable {
    /// Takes a slot for one request of `organisation` at `host`.
    pub fn acquire(
        &mut self,
        now_ms: Millis,
        organisation: OrganisationKey,
        host: HostKey,
        bounds: RequestLimits,
    ) -> Result<(), LimitExceeded> {
        let usage = self.usage.entry(organisation).or_insert(Usage {
            allowance: bounds.requests_per_s,
            refilled_at_ms: now_ms,
            held: HashMap::new(),
        });
        // A host that died can't give its slots back: without the lapse its organisation would
        // be refused for ever. Live hosts restate what they hold each second.
        usage
            .held
            .retain(|_, held| now_ms.saturating_sub(held.heard_at_ms) < LAPSE_MS);
        let elapsed_s = now_ms.saturating_sub(usage.refilled_at_ms) as f32 / 1_000.0;
        usage.refilled_at_ms = now_ms;
        let burst = bounds.requests_per_s.max(1.0);
        usage.allowance = (usage.allowance + elapsed_s * bounds.requests_per_s).min(burst);
        if usage.allowance < 1.0 {
            let wait_s = (1.0 - usage.allowance) / bounds.requests_per_s.max(0.001);
            let retry_after_ms = (wait_s * 1_000.0).ceil() as Millis;
            return Err(LimitExceeded::Rate { retry_after_ms });
        }
        let at_once: u32 = usage.held.values().map(|held| held.slots).sum();
        if at_once >= bounds.concurrent {
            return Err(LimitExceeded::Concurrency {
                retry_after_ms: CONCURRENCY_RETRY_MS,
            });
        }
        usage.allowance -= 1.0;
        let held = usage.held.entry(host).or_default();
        held.slots += 1;
        held.heard_at_ms = now_ms;
        Ok(())
    }

    /// States how many requests of `organisation` run at `host`.
    pub fn set_held(
        &mut self,
        now_ms: Millis,
        organisation: OrganisationKey,
        host: HostKey,
        slots: u32,
    ) {
        let usage = self.usage.entry(organisation).or_insert(Usage {
            // A home that has just taken over knows of no use: it starts with a whole burst, or the
            // first callers after each move of a home would be refused for nothing.
            allowance: f32::MAX,
            refilled_at_ms: now_ms,
            held: HashMap::new(),
        });
        let heard_at_ms = now_ms;
        usage.held.insert(host, Held { slots, heard_at_ms });
    }
}
