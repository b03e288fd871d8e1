//! Requests that end whatever upstream begins to run them (queries of death), told by their content.
//!
//! Such a request costs all that runs on an upstream each time its caller tries again, at any host.
//! No host sees enough: the tries are new requests, each at another host and another upstream. So all
//! hosts report to the home of a service who had just begun on an upstream that ended, the home rules
//! on contents, and every host keeps the rulings.
//!
//! Blame is shared by whoever began beside, so two crashes don't bar: they let one request of a
//! content run at a time. One that is innocent ends well then and is free again; a third crash shows
//! one that is not.

mod alibi;
mod record;
mod rulings;

use serde::{Deserialize, Serialize};

use crate::key::{ContentKey, Millis, UpstreamKey};

pub use alibi::Alibis;
pub use record::CrashRecord;
pub use rulings::Rulings;

/// How requests of one content may run, in order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// Like any other.
    Free,
    /// One at a time in the whole fleet, with leave of the home.
    OneAtATime,
    /// Not at all for a term, then one at a time.
    Barred,
}

impl Standing {
    /// What is told of it in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::OneAtATime => "run one at a time",
            Self::Barred => "barred",
        }
    }
}

/// What a home has decided on a content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ruling {
    /// The content.
    pub content: ContentKey,
    /// Counts the rulings on this content; a later one replaces an earlier one.
    pub turn: u32,
    /// How its requests may run.
    pub standing: Standing,
    /// How often it was barred; a free one keeps the number of its last bars.
    pub bars: u32,
    /// The latest upstreams that ended under it.
    pub crashes: Vec<UpstreamKey>,
    /// Since the decision.
    pub age_ms: Millis,
}

impl Ruling {
    /// Whether it is so old that no host keeps it.
    pub fn is_forgotten(&self) -> bool {
        self.age_ms >= FORGET_MS
    }

    /// How long a bar lasts in all; 0 without one.
    fn term_ms(&self) -> Millis {
        if self.standing != Standing::Barred {
            return 0;
        }
        let last = TERMS_MS.len() - 1;
        let served = (self.bars as usize).saturating_sub(1);
        TERMS_MS[served.min(last)]
    }
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Free,
    /// It may if the home lets it be the one that runs.
    AskHome,
    /// It may not.
    Refused {
        /// Until the bar ends.
        retry_after_ms: Millis,
    },
}

/// A run that has lasted for so long is not what ends its upstream. Requests that do end it within
/// some 110 ms of their first token; a tenth of a long generation's time is enough to tell the
/// generations that merely ran beside from them.
const BEGUN_MS: Millis = 1_000;

/// Whether a run may be what ended its upstream, after so long there; `None` where nothing of its
/// answer had come.
pub fn may_have_ended_it(ran_ms: Option<Millis>) -> bool {
    ran_ms.is_none_or(|ran_ms| ran_ms < BEGUN_MS)
}

/// Crashes after which a content runs one at a time: two may be chance, as where a caller's second
/// try meets the same trouble as its first.
const HOLD_CRASHES: usize = 2;
/// Crashes after which a content is barred: the third came while it ran alone of its kind. Each one
/// cuts what runs beside, one or two generations on an ordinary day, up to all slots on a full one.
const BAR_CRASHES: usize = 3;
/// Terms of the first, second and later bars. After each, one request shows whether upstreams bear
/// the content by now, as with a new version; it costs an upstream where they don't, so three at the
/// most are spent on a day.
const TERMS_MS: [Millis; 3] = [300_000, 3_600_000, 86_400_000];
/// After so long a ruling is forgotten: as long as the longest term.
const FORGET_MS: Millis = 86_400_000;
/// Crashes kept of a content. A bar takes three; more only tell more others that they are innocent.
const MOST_CRASHES: usize = 8;
