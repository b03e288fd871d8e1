//! Which new connections a host turns away while a surge of them overloads it.
//!
//! A load balancer may hand most new connections of a data centre, or of all, to one host. Their
//! requests would wait there until their callers give up, while other hosts are idle. A caller whose
//! connection is closed before its request was read tries another host at once.

use crate::key::Millis;

/// Interval between two measurements of the delay, each by the host's timer.
pub const DELAY_PERIOD_MS: Millis = 20;
/// The shortest delay in this time is taken for the standing one. A processor that is shared by time
/// slices, or a host that was suspended, delays only some of the timers in it.
const INTERVAL_MS: Millis = 500;
/// Standing delay above which a host is overloaded. A request waits for several such turns.
const TARGET_DELAY_MS: Millis = 20;
/// Time over which the usual rate of new connections is averaged.
const USUAL_RATE_WINDOW_S: f32 = 20.0;
/// Seconds after the start until a usual rate is known.
const WARM_UP_S: u32 = 5;
/// Multiple of the usual rate that is a surge. Without one, other hosts are likely to be overloaded
/// as well, and nothing is turned away.
const SURGE: f32 = 3.0;
/// New connections per second that are never a surge.
const MIN_SURGE_PER_S: f32 = 10.0;
/// By how much the share that is turned away rises in an interval with overload.
const RISE: f32 = 0.3;
/// By how much it falls in an interval without, while the surge lasts.
const FALL: f32 = 0.1;
/// Largest share that is turned away, so that the host notices the end of the surge.
const MAX_SHARE: f32 = 0.95;

/// Measures a host's delay and its new connections, and decides which of them to turn away.
#[derive(Debug, Clone, Default)]
pub struct Surge {
    interval_started_ms: Millis,
    /// The shortest delay in this interval.
    least_delay_ms: Option<Millis>,
    second_started_ms: Millis,
    /// New connections in this second.
    count: u32,
    /// New connections in the second before.
    last_count: u32,
    /// Seconds that went into the usual rate.
    seconds: u32,
    usual_per_s: f32,
    /// Share of the new connections that is turned away.
    share: f32,
    /// Part of a connection that is still to be turned away.
    due: f32,
}

impl Surge {
    /// Starts to measure, when a surge begins.
    pub fn begin(&mut self, now_ms: Millis) {
        self.interval_started_ms = now_ms;
        self.least_delay_ms = None;
    }

    /// Records by how much a timer of the host was late; true if that starts or ends the turning
    /// away of connections.
    pub fn record_delay(&mut self, now_ms: Millis, delay_ms: Millis) -> bool {
        let least_ms = self.least_delay_ms.unwrap_or(delay_ms);
        self.least_delay_ms = Some(least_ms.min(delay_ms));
        self.roll_second(now_ms);
        if now_ms.saturating_sub(self.interval_started_ms) < INTERVAL_MS {
            return false;
        }
        self.interval_started_ms = now_ms;
        let standing_ms = self.least_delay_ms.take().unwrap_or(0);
        let was_turning_away = self.is_turning_away();
        let is_overloaded = standing_ms > TARGET_DELAY_MS;
        self.share = match (self.is_surging(), is_overloaded) {
            (true, true) => (self.share + RISE).min(MAX_SHARE),
            (true, false) => (self.share - FALL).max(0.0),
            (false, _) => 0.0,
        };
        self.is_turning_away() != was_turning_away
    }

    /// Whether a new connection is accepted; counts it.
    pub fn accepts(&mut self, now_ms: Millis) -> bool {
        self.roll_second(now_ms);
        self.count += 1;
        self.due += self.share;
        if self.due < 1.0 {
            return true;
        }
        self.due -= 1.0;
        false
    }

    /// Whether some new connections are turned away.
    pub fn is_turning_away(&self) -> bool {
        self.share > 0.0
    }

    /// New connections in the current second or the one before, whichever had more, and the usual
    /// rate per second.
    pub fn rates_per_s(&self) -> (u32, f32) {
        (self.count.max(self.last_count), self.usual_per_s)
    }

    /// Whether far more connections arrive than usual.
    pub fn is_surging(&self) -> bool {
        let rate = self.count.max(self.last_count) as f32;
        let is_known = self.seconds >= WARM_UP_S;
        is_known && rate > MIN_SURGE_PER_S && rate > SURGE * self.usual_per_s
    }

    /// Begins another second, and includes the one before in the usual rate unless it was a surge.
    fn roll_second(&mut self, now_ms: Millis) {
        let passed_ms = now_ms.saturating_sub(self.second_started_ms);
        if passed_ms < 1_000 {
            return;
        }
        let is_usual = !self.is_surging();
        self.second_started_ms = now_ms;
        self.last_count = std::mem::take(&mut self.count);
        // Nothing is counted while no connection arrives, nor while the host is suspended.
        if passed_ms >= 2_000 || !is_usual {
            return;
        }
        self.seconds += 1;
        let weight = 1.0 / (self.seconds as f32).min(USUAL_RATE_WINDOW_S);
        self.usual_per_s += (self.last_count as f32 - self.usual_per_s) * weight;
    }
}
