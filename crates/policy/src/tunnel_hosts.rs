//! Over which other hosts to reach upstreams when the own links are lost.

use std::net::SocketAddr;

use crate::key::Millis;

/// How long a host that could not open a tunnel is not asked again: it may be stopping, or have
/// lost its links as well.
const UNUSABLE_MS: Millis = 1_000;
/// How long candidates are kept before others are drawn.
const CANDIDATES_MS: Millis = 5_000;

#[derive(Debug, Clone, Copy)]
struct Candidate {
    host: SocketAddr,
    unusable_until_ms: Millis,
}

/// Hosts to ask for tunnels, in order.
#[derive(Debug, Clone, Default)]
pub struct TunnelHosts {
    candidates: Vec<Candidate>,
    drawn_ms: Option<Millis>,
}

impl TunnelHosts {
    /// Whether to draw new candidates: none may be asked, or they are old.
    pub fn needs_candidates(&self, now_ms: Millis) -> bool {
        let Some(drawn_ms) = self.drawn_ms else {
            return true;
        };
        let age_ms = now_ms.saturating_sub(drawn_ms);
        let has_usable = self.usable(now_ms).next().is_some();
        age_ms >= CANDIDATES_MS || (!has_usable && age_ms >= UNUSABLE_MS)
    }

    /// Replaces the candidates. The host that opened the last tunnel stays the first.
    pub fn set_candidates(&mut self, now_ms: Millis, hosts: &[SocketAddr]) {
        let mut candidates: Vec<Candidate> = self.candidates.iter().take(1).copied().collect();
        for host in hosts {
            let known = self.candidates.iter().find(|one| one.host == *host);
            if candidates.iter().all(|one| one.host != *host) {
                candidates.push(known.copied().unwrap_or(Candidate {
                    host: *host,
                    unusable_until_ms: 0,
                }));
            }
        }
        self.candidates = candidates;
        self.drawn_ms = Some(now_ms);
    }

    /// The hosts to ask for a tunnel, in order; `preferred` comes first if it may be asked.
    pub fn to_ask(&self, now_ms: Millis, preferred: Option<SocketAddr>) -> Vec<SocketAddr> {
        let mut hosts: Vec<SocketAddr> = self.usable(now_ms).collect();
        let index = hosts.iter().position(|host| Some(*host) == preferred);
        if let Some(index) = index {
            hosts[..=index].rotate_right(1);
        }
        hosts
    }

    /// Records that a host has opened a tunnel: it is asked first from now on.
    pub fn record_open(&mut self, host: SocketAddr) {
        if let Some(index) = self.candidates.iter().position(|one| one.host == host) {
            self.candidates[..=index].rotate_right(1);
        }
    }

    /// Records that a host can't open tunnels at present.
    pub fn record_unusable(&mut self, now_ms: Millis, host: SocketAddr) {
        let candidates = self.candidates.iter_mut();
        for candidate in candidates.filter(|one| one.host == host) {
            candidate.unusable_until_ms = now_ms + UNUSABLE_MS;
        }
    }

    fn usable(&self, now_ms: Millis) -> impl Iterator<Item = SocketAddr> {
        let candidates = self.candidates.iter();
        let usable = candidates.filter(move |one| one.unusable_until_ms <= now_ms);
        usable.map(|one| one.host)
    }
}
