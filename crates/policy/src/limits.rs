//! Limits of an organisation: request rate and concurrency.
//!
//! One host, the organisation's home, keeps the exact counts, and entry hosts acquire slots from
//! it. The slots of a dead host expire.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::key::{HostKey, Millis, OrganisationKey};

/// An organisation's declared limits.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Requests per second, which is also the burst size.
    pub requests_per_s: f32,
    /// Maximum number of concurrent requests.
    pub concurrent: u32,
}

/// Which limit a request exceeds, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitExceeded {
    /// Too many requests per second.
    Rate {
        /// Time until the next request is allowed.
        retry_after_ms: Millis,
    },
    /// Too many concurrent requests.
    Concurrency {
        /// Rough estimate of when a request ends.
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
    updated_at_ms: Millis,
}

const HELD_SLOTS_TTL_MS: Millis = 6_000;
const CONCURRENCY_RETRY_MS: Millis = 1_000;

/// Usage of the organisations whose home is this host.
#[derive(Debug, Default)]
pub struct LimitTable {
    usage: HashMap<OrganisationKey, Usage>,
}

impl LimitTable {
    /// Acquires a slot for one request of `organisation` at `host`.
    pub fn acquire(
        &mut self,
        now_ms: Millis,
        organisation: OrganisationKey,
        host: HostKey,
        limits: RequestLimits,
    ) -> Result<(), LimitExceeded> {
        let usage = self.usage.entry(organisation).or_insert(Usage {
            allowance: limits.requests_per_s,
            refilled_at_ms: now_ms,
            held: HashMap::new(),
        });
        // A dead host can't release its slots. Without the expiry its organisation would be
        // refused forever. Live hosts report the slots that they hold each second.
        usage
            .held
            .retain(|_, held| now_ms.saturating_sub(held.updated_at_ms) < HELD_SLOTS_TTL_MS);
        let elapsed_s = now_ms.saturating_sub(usage.refilled_at_ms) as f32 / 1_000.0;
        usage.refilled_at_ms = now_ms;
        let burst = limits.requests_per_s.max(1.0);
        usage.allowance = (usage.allowance + elapsed_s * limits.requests_per_s).min(burst);
        if usage.allowance < 1.0 {
            let wait_s = (1.0 - usage.allowance) / limits.requests_per_s.max(0.001);
            let retry_after_ms = (wait_s * 1_000.0).ceil() as Millis;
            return Err(LimitExceeded::Rate { retry_after_ms });
        }
        let concurrent: u32 = usage.held.values().map(|held| held.slots).sum();
        if concurrent >= limits.concurrent {
            return Err(LimitExceeded::Concurrency {
                retry_after_ms: CONCURRENCY_RETRY_MS,
            });
        }
        usage.allowance -= 1.0;
        let held = usage.held.entry(host).or_default();
        held.slots += 1;
        held.updated_at_ms = now_ms;
        Ok(())
    }

    /// Sets how many requests of `organisation` run at `host`.
    pub fn set_held(
        &mut self,
        now_ms: Millis,
        organisation: OrganisationKey,
        host: HostKey,
        slots: u32,
    ) {
        let usage = self.usage.entry(organisation).or_insert(Usage {
            // A new home doesn't know the recent usage. It starts with a full burst, since
            // otherwise the first callers after each change of the home would be refused without
            // need.
            allowance: f32::MAX,
            refilled_at_ms: now_ms,
            held: HashMap::new(),
        });
        let updated_at_ms = now_ms;
        usage.held.insert(
            host,
            Held {
                slots,
                updated_at_ms,
            },
        );
    }
}
