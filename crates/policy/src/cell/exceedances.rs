//! How often delays of a kind exceed a given length.

/// Pauses up to this length are in the first bucket.
const MIN_PAUSE_MS: f32 = 16.0;
const BUCKETS_PER_DOUBLING: f32 = 12.0;
/// Covers pauses of up to four seconds, beyond which no route has its bound.
const BUCKETS: usize = 96;
/// Time that is assumed without any long pause, so that a single one in the first seconds of a home
/// doesn't count as usual.
const INITIAL_EXPOSURE_S: f32 = 20.0;

/// How often pauses longer than a given length occur, for each second in which they may.
#[derive(Debug)]
pub(super) struct Exceedances {
    /// Intervals by their longest pause.
    counts: [f32; BUCKETS],
    /// Number of longest pauses above the start of each bucket.
    above: [f32; BUCKETS + 1],
    exposure_s: f32,
}

impl Default for Exceedances {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            above: [0.0; BUCKETS + 1],
            exposure_s: 0.0,
        }
    }
}

fn position(pause_ms: f32) -> f32 {
    let doublings = (pause_ms.max(MIN_PAUSE_MS) / MIN_PAUSE_MS).log2();
    (doublings * BUCKETS_PER_DOUBLING).min(BUCKETS as f32 - 0.001)
}

impl Exceedances {
    pub(super) fn record(&mut self, longest_pause_ms: f32, exposure_s: f32) {
        self.counts[position(longest_pause_ms) as usize] += 1.0;
        self.exposure_s += exposure_s;
    }

    pub(super) fn decay(&mut self, keep: f32) {
        self.counts.iter_mut().for_each(|count| *count *= keep);
        self.exposure_s *= keep;
    }

    pub(super) fn refresh(&mut self) {
        for bucket in (0..BUCKETS).rev() {
            self.above[bucket] = self.above[bucket + 1] + self.counts[bucket];
        }
    }

    /// Number of pauses longer than this in each second.
    pub(super) fn rate(&self, pause_ms: f32) -> f32 {
        let at = position(pause_ms);
        let bucket = at as usize;
        let above = self.above[bucket] - self.counts[bucket] * (at - bucket as f32);
        above / (INITIAL_EXPOSURE_S + self.exposure_s)
    }
}
