//! A lease on the right to give a model's engines orders, with a fencing number.
//!
//! Hosts' clocks are never compared: a holder counts its time from before it sent the renewal, and
//! a successor from when it last saw the record change.

use fulmarpath_policy::Millis;
use fulmarpath_store::Version;
use serde::{Deserialize, Serialize};

/// How long a renewal lasts.
pub const LEASE_MS: Millis = 6_000;
/// When the holder renews.
const RENEW_MS: Millis = 2_000;
/// How long an order may be on its way; an order is given only with more of the lease left, and a
/// successor waits so long beyond the lease.
pub const ORDER_TIMEOUT_MS: Millis = 2_500;

/// The lease as the platform holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it.
    pub holder: String,
    /// Grows with each new holder.
    pub fencing: u64,
    /// Grows with each renewal, so that each write changes the record.
    pub renewal: u64,
}

/// What to do about the lease now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing yet.
    Wait,
    /// Write this record: over that version, or where none stands.
    Write {
        /// The version to replace.
        over: Option<Version>,
        /// The record.
        record: LeaseRecord,
    },
}

/// What one host knows of a lease.
#[derive(Debug, Default)]
pub struct Lease {
    seen: Option<(Version, Millis)>,
    held: Option<(LeaseRecord, Version, Millis)>,
}

impl Lease {
    /// Decides by the record as it was just read.
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
                record: record_of(host, 1, 1),
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
                record: record_of(host, held.fencing, held.renewal + 1),
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
        // Taking over earlier could let two holders give orders at once: the old one's last order
        // may have been sent just before its lease ended.
        if now_ms.saturating_sub(since_ms) < LEASE_MS + ORDER_TIMEOUT_MS {
            return LeaseAction::Wait;
        }
        LeaseAction::Write {
            over: Some(version),
            record: record_of(host, record.fencing + 1, 1),
        }
    }

    /// A write that was sent at `sent_ms` was accepted with this version.
    pub fn accepted(&mut self, sent_ms: Millis, record: LeaseRecord, version: Version) {
        self.held = Some((record, version, sent_ms + LEASE_MS));
    }

    /// The fencing number under which an order may be sent now, if any.
    ///
    /// Engines that check the number are safe by that alone. For those that ignore it, a holder
    /// that was paused past its lease must notice before it sends: the remaining time has to cover
    /// the order's way.
    pub fn order_fencing(&self, now_ms: Millis) -> Option<u64> {
        let (record, _, until_ms) = self.held.as_ref()?;
        (*until_ms > now_ms + ORDER_TIMEOUT_MS).then_some(record.fencing)
    }
}

fn record_of(holder: &str, fencing: u64, renewal: u64) -> LeaseRecord {
    LeaseRecord {
        holder: holder.to_owned(),
        fencing,
        renewal,
    }
}
