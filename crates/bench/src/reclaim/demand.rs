//! How the rate of requests changes over time and between data centres.

use std::f64::consts::TAU;
use std::ops::Range;

/// Changes of the request rate, relative to its mean.
#[derive(Debug)]
pub(super) struct Demand {
    /// Mean share of each data centre. If there are none, requests go to the data centres in turn.
    pub(super) data_centre_shares: &'static [f64],
    /// Amplitude of the swing of each data centre, relative to its mean.
    pub(super) swing: f64,
    pub(super) swing_period_s: f64,
    pub(super) surges: &'static [Surge],
    /// Interval at which the surges repeat.
    pub(super) surge_period_s: f64,
}

/// A time in which one kind of request is sent more often.
#[derive(Debug)]
pub(super) struct Surge {
    pub(super) is_long: bool,
    /// The rate as a multiple of the usual one.
    pub(super) factor: f64,
    /// Time within the period of the surges.
    pub(super) during_s: Range<f64>,
}

impl Demand {
    /// The same rate at all times.
    pub(super) const EVEN: Self = Self {
        data_centre_shares: &[],
        swing: 0.0,
        swing_period_s: 1.0,
        surges: &[],
        surge_period_s: 1.0,
    };

    /// Upper bound of [`Demand::factor`].
    pub(super) fn peak(&self, is_long: bool) -> f64 {
        let surges = self.surges.iter().filter(|surge| surge.is_long == is_long);
        let surge = surges.map(|surge| surge.factor).fold(1.0, f64::max);
        (1.0 + self.swing) * surge
    }

    /// The rate of a kind in all data centres, relative to its mean without surges.
    pub(super) fn factor(&self, is_long: bool, at_s: f64) -> f64 {
        if self.data_centre_shares.is_empty() {
            return 1.0;
        }
        let swings: f64 = self.weights(at_s).sum();
        swings * self.surge(is_long, at_s)
    }

    fn surge(&self, is_long: bool, at_s: f64) -> f64 {
        let in_period_s = at_s % self.surge_period_s;
        let mut surges = self.surges.iter();
        let current =
            surges.find(|surge| surge.is_long == is_long && surge.during_s.contains(&in_period_s));
        current.map_or(1.0, |surge| surge.factor)
    }

    /// The rate of each data centre. Their peaks are spread evenly over the period.
    fn weights(&self, at_s: f64) -> impl Iterator<Item = f64> {
        let count = self.data_centre_shares.len() as f64;
        let shares = self.data_centre_shares.iter().enumerate();
        shares.map(move |(index, share)| {
            let phase = at_s / self.swing_period_s + index as f64 / count;
            share * (1.0 + self.swing * (TAU * phase).sin())
        })
    }

    /// The data centre of a request, by a draw from 0 to 1; `None` if requests go to them in turn.
    pub(super) fn data_centre(&self, at_s: f64, draw: f64) -> Option<u64> {
        let all: f64 = self.weights(at_s).sum();
        let mut left = draw * all;
        let last = self.data_centre_shares.len().checked_sub(1)?;
        let index = self.weights(at_s).position(|weight| {
            left -= weight;
            left < 0.0
        });
        Some(index.unwrap_or(last) as u64)
    }
}
