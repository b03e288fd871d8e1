//! A lease on sending orders to a model's engines, with a fencing number.
//!
//! Clocks of hosts are never compared: the holder counts the lease from before it sent the renewal,
//! and a successor counts it from when it last saw the record change.

use fulmarpath_policy::Millis;
use fulmarpath_store::Version;
use serde::{Deserialize, Serialize};

/// Duration of the lease after a renewal.
pub const LEASE_MS: Millis = 6_000;
/// Age of a renewal at which the holder renews again.
const RENEW_MS: Millis = 2_000;
/// Timeout of an order. An order is sent only while more than this remains of the lease, and a
/// successor waits this long beyond the end of the lease.
pub const ORDER_TIMEOUT_MS: Millis = 2_500;

/// The lease as stored on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the holding host.
    pub holder: String,
    /// Fencing number; grows with each new holder.
    pub fencing: u64,
    /// Grows with each renewal, which makes each write change the record.
    pub renewal: u64,
}

/// What a host should do about the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Write nothing, and decide again after the next read.
    Wait,
    /// Write a record, either over a version or as the first one.
    Write {
        /// Version to replace; `None` to create the record.
        over: Option<Version>,
        /// Record to write.
        record: LeaseRecord,
    },
}

/// The state of a lease as one host sees it.
#[derive(Debug, Default)]
pub struct Lease {
    /// Version of the record as last read without holding the lease, and when it was first read.
    seen: Option<(Version, Millis)>,
    /// The record that this host wrote, its version, and the end of the lease.
    held: Option<(LeaseRecord, Version, Millis)>,
}

impl Lease {
    /// Decides what to do, given the record that was just read.
    pub fn decide(
        &mut self,
        now_ms: Millis,
        host: &str,
        read: Option<(Version, LeaseRecord)>,
    ) -> LeaseAction {
        let Some((version, record)) = read else {
            self.held = None;
            return LeaseAction::Write {
                over: None,
                record: new_record(host, 1, 1),
            };
        };
        if let Some((held, held_version, until_ms)) = &self.held
            && *held_version == version
        {
            if *until_ms > now_ms + LEASE_MS - RENEW_MS {
                return LeaseAction::Wait;
            }
            return LeaseAction::Write {
                over: Some(version),
                record: new_record(host, held.fencing, held.renewal + 1),
            };
        }
        self.held = None;
        let since_ms = match self.seen {
            Some((seen, since_ms)) if seen == version => since_ms,
            _ => {
                self.seen = Some((version, now_ms));
                now_ms
            }
        };
        // Taking over earlier could let two holders send orders concurrently: the old holder's last
        // order may have been sent just before its lease ended.
        if now_ms.saturating_sub(since_ms) < LEASE_MS + ORDER_TIMEOUT_MS {
            return LeaseAction::Wait;
        }
        LeaseAction::Write {
            over: Some(version),
            record: new_record(host, record.fencing + 1, 1),
        }
    }

    /// Records that a write sent at `sent_ms` was accepted with this version.
    pub fn accepted(&mut self, sent_ms: Millis, record: LeaseRecord, version: Version) {
        self.held = Some((record, version, sent_ms + LEASE_MS));
    }

    /// The fencing number under which an order may be sent now, if any.
    ///
    /// The number alone protects engines that check it. For engines that ignore it, a holder that
    /// was paused past its lease must detect that before it sends: the remaining time has to cover
    /// the timeout of an order.
    pub fn order_fencing(&self, now_ms: Millis) -> Option<u64> {
        let (record, _, until_ms) = self.held.as_ref()?;
        (*until_ms > now_ms + ORDER_TIMEOUT_MS).then_some(record.fencing)
    }
}

fn new_record(holder: &str, fencing: u64, renewal: u64) -> LeaseRecord {
    LeaseRecord {
        holder: holder.to_owned(),
        fencing,
        renewal,
    }
}
