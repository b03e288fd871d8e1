//! By which path a host reaches an upstream: over its own link, or through a tunnel over another
//! host that still reaches the upstream.
//!
//! A host may lose its links to some or all upstreams while callers and other hosts still reach it.
//! If it knew no path but its own, it would refuse its callers for as long as that lasts. An
//! upstream that has ended looks the same over the own link, so a path is judged by both.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::key::Millis;

/// A host has lost its links to upstreams in general if this many fail and none works.
const MIN_FAILED: usize = 2;
/// How long a failure of an own link counts. Longer than the period of tests, which renew it.
const FAILURE_MEMORY_MS: Millis = 3_000;
/// Time between two tests of the own link to an upstream that is reached through tunnels.
const TEST_PERIOD_MS: Millis = 1_000;
/// How long no tunnel is tried to an upstream that other hosts could not reach either.
const TUNNEL_PAUSE_MS: Millis = 1_000;
/// A loss of the own links is taken for lasting after this time. Where some links are lost, two of
/// them may fail one after the other although others work.
const LASTING_MS: Millis = 400;
/// An upstream that has not been used for this long is forgotten.
const UNUSED_MS: Millis = 10_000;

/// How to reach an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Over the host's own link.
    Direct,
    /// Through a tunnel over another host.
    Tunnel,
}

/// A change of a host's links in general.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinksChange {
    /// No own link works any more.
    Lost,
    /// An own link works again.
    Back {
        /// Time since they were lost.
        after_ms: Millis,
    },
}

/// What is known of an upstream whose own link has failed.
#[derive(Debug, Clone, Copy, Default)]
struct Link {
    failed_ms: Option<Millis>,
    /// The other host that opened the last tunnel, unless none could since.
    via: Option<SocketAddr>,
    /// When other hosts last could not reach it either.
    tunnel_failed_ms: Option<Millis>,
    tested_ms: Millis,
    used_ms: Millis,
}

/// The paths from one host to the upstreams.
#[derive(Debug, Clone, Default)]
pub struct Paths {
    /// Upstreams whose own links have failed, or have not worked since the host was cut off.
    links: HashMap<SocketAddr, Link>,
    /// Since when no own link has worked, if one has failed.
    failing_since_ms: Option<Millis>,
    /// Since when the host has been cut off, if that lasts.
    cut_off_since_ms: Option<Millis>,
    has_reported_loss: bool,
    change: Option<LinksChange>,
    expired_ms: Millis,
}

impl Paths {
    /// The path to try first.
    pub fn choose(&self, now_ms: Millis, upstream: SocketAddr) -> Path {
        let is_tunnelled = self.via(upstream).is_some();
        let prefers_tunnel =
            is_tunnelled || self.has_just_failed(now_ms, upstream) || self.is_cut_off(now_ms);
        if prefers_tunnel && self.may_tunnel(now_ms, upstream) {
            Path::Tunnel
        } else {
            Path::Direct
        }
    }

    /// Whether to try a tunnel to an upstream: not where other hosts have just failed to reach it,
    /// since it has probably ended.
    pub fn may_tunnel(&self, now_ms: Millis, upstream: SocketAddr) -> bool {
        let link = self.links.get(&upstream);
        let failed_ms = link.and_then(|link| link.tunnel_failed_ms);
        failed_ms.is_none_or(|failed_ms| now_ms.saturating_sub(failed_ms) >= TUNNEL_PAUSE_MS)
    }

    /// The other host over which an upstream was last reached.
    pub fn via(&self, upstream: SocketAddr) -> Option<SocketAddr> {
        self.links.get(&upstream)?.via
    }

    /// Whether the own link to an upstream has failed since it last worked.
    pub fn has_lost_link(&self, upstream: SocketAddr) -> bool {
        let link = self.links.get(&upstream);
        link.is_some_and(|link| link.failed_ms.is_some())
    }

    /// Whether to carry a tunnel to an upstream for another host: not where this host's own link has
    /// just failed, so that the other host asks the next one without delay.
    pub fn may_carry(&self, now_ms: Millis, upstream: SocketAddr) -> bool {
        !self.has_just_failed(now_ms, upstream)
    }

    fn has_just_failed(&self, now_ms: Millis, upstream: SocketAddr) -> bool {
        let link = self.links.get(&upstream);
        let failed_ms = link.and_then(|link| link.failed_ms);
        failed_ms.is_some_and(|failed_ms| now_ms.saturating_sub(failed_ms) < TEST_PERIOD_MS)
    }

    /// Whether the host has been cut off for a while.
    pub fn is_lastingly_cut_off(&self, now_ms: Millis) -> bool {
        let since_ms = self.cut_off_since_ms.filter(|_| self.is_cut_off(now_ms));
        since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= LASTING_MS)
    }

    /// Whether the host seems to have lost its links to upstreams in general.
    pub fn is_cut_off(&self, now_ms: Millis) -> bool {
        let Some(since_ms) = self.failing_since_ms else {
            return false;
        };
        let failed = self.links.values().filter_map(|link| link.failed_ms);
        let recent = failed.filter(|failed_ms| {
            *failed_ms >= since_ms && now_ms.saturating_sub(*failed_ms) < FAILURE_MEMORY_MS
        });
        recent.take(MIN_FAILED).count() == MIN_FAILED
    }

    /// Number of upstreams that are reached through tunnels.
    pub fn tunnelled_count(&self) -> usize {
        let links = self.links.values();
        links.filter(|link| link.via.is_some()).count()
    }

    /// Records whether an upstream was reached over the own link.
    pub fn record_direct(&mut self, now_ms: Millis, upstream: SocketAddr, is_open: bool) {
        self.expire(now_ms);
        if is_open {
            self.record_working_link(now_ms, upstream);
            return;
        }
        self.failing_since_ms.get_or_insert(now_ms);
        let link = self.links.entry(upstream).or_default();
        link.failed_ms = Some(now_ms);
        link.tested_ms = now_ms;
        if self.is_cut_off(now_ms) {
            self.cut_off_since_ms.get_or_insert(now_ms);
        }
        if self.is_lastingly_cut_off(now_ms) && !self.has_reported_loss {
            self.has_reported_loss = true;
            self.change = Some(LinksChange::Lost);
        }
    }

    fn record_working_link(&mut self, now_ms: Millis, upstream: SocketAddr) {
        self.links.remove(&upstream);
        self.failing_since_ms = None;
        let since_ms = self.cut_off_since_ms.take();
        if let Some(since_ms) = since_ms.filter(|_| self.has_reported_loss) {
            let after_ms = now_ms.saturating_sub(since_ms);
            self.change = Some(LinksChange::Back { after_ms });
        }
        self.has_reported_loss = false;
    }

    /// Records over which other host an upstream was reached; `None` if over none.
    pub fn record_tunnel(&mut self, now_ms: Millis, upstream: SocketAddr, via: Option<SocketAddr>) {
        // The own link may have worked in a test while the tunnel was opened.
        if !self.links.contains_key(&upstream) && !self.is_cut_off(now_ms) {
            return;
        }
        let link = self.links.entry(upstream).or_default();
        link.used_ms = now_ms;
        link.via = via;
        link.tunnel_failed_ms = via.is_none().then_some(now_ms);
        self.expire(now_ms);
    }

    /// Takes a lasting loss of the own links, or the end of one, to report it once.
    pub fn take_change(&mut self) -> Option<LinksChange> {
        self.change.take()
    }

    /// Whether to test the own link to an upstream that is reached through tunnels; records the
    /// test.
    pub fn begin_test(&mut self, now_ms: Millis, upstream: SocketAddr) -> bool {
        let link = self.links.entry(upstream).or_default();
        let is_due = now_ms.saturating_sub(link.tested_ms) >= TEST_PERIOD_MS;
        if is_due {
            link.tested_ms = now_ms;
        }
        is_due
    }

    fn expire(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.expired_ms) < TEST_PERIOD_MS {
            return;
        }
        self.expired_ms = now_ms;
        self.links.retain(|_, link| {
            let last_ms = link.used_ms.max(link.failed_ms.unwrap_or_default());
            now_ms.saturating_sub(last_ms) < UNUSED_MS
        });
    }
}
