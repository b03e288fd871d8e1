//! Which faults a seed draws from.

use fulmarpath_platform_standin::StreamFraming;

use super::fault::Fault;

/// Share of the faults that a set adds among those drawn from the sets with restores and expiry.
pub(super) const ADDED_SHARE: f64 = 0.35;

/// The set of faults that a seed draws from. Each set extends the previous one, so that a seed
/// keeps its sequence of faults when kinds are added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultSet {
    /// The basic faults.
    Initial,
    /// Adds engine restarts and directory entries of other writers.
    WithRestarts,
    /// Adds evacuations of data centres and upstreams that return cold.
    WithEvacuations,
    /// Adds upstreams that signal limits, leaving or backoff.
    WithBackpressure,
    /// Adds a store restored from a backup, as [`ADDED_SHARE`] of the draws.
    WithRestores,
    /// Adds entries that expire, as [`ADDED_SHARE`] of the draws.
    WithExpiry,
    /// Adds engines that end in order, as [`ADDED_SHARE`] of the draws, and streams that engines
    /// frame in each way.
    WithFramings,
    /// Adds engines that slow down, and surges, as [`ADDED_SHARE`] of the draws.
    WithLoad,
}

impl FaultSet {
    pub(super) fn count(self) -> usize {
        match self {
            Self::Initial => 17,
            Self::WithRestarts => 19,
            Self::WithEvacuations => 21,
            Self::WithBackpressure => 24,
            Self::WithRestores => 25,
            Self::WithExpiry => 26,
            Self::WithFramings => 27,
            Self::WithLoad => Fault::ALL.len(),
        }
    }

    /// How engines frame their streams, in turn.
    pub(crate) fn framings(self) -> &'static [StreamFraming] {
        match self {
            Self::WithFramings | Self::WithLoad => &[
                StreamFraming::Close,
                StreamFraming::Chunked,
                StreamFraming::Length,
            ],
            _ => &[StreamFraming::Chunked],
        }
    }

    /// The faults that make up [`ADDED_SHARE`] of the draws.
    pub(super) fn frequent(self) -> &'static [Fault] {
        match self {
            Self::WithRestores => &[Fault::StoreReturnsFromCopy],
            Self::WithExpiry => &[Fault::EntriesExpire],
            Self::WithFramings => &[Fault::EngineEnds],
            Self::WithLoad => &[Fault::Surge, Fault::EngineSlows],
            _ => &[],
        }
    }
}
