//! What came with a part of prompts on the upstreams that crashed.

use serde::{Deserialize, Serialize};

use crate::circuit::RequestContents;
use crate::key::ContentKey;

/// Maximum number of contents in each list. Requests that lack only contents beyond these are
/// refused as well.
const MAX_COMPANIONS: usize = 32;

/// What came with a part of prompts on the upstreams that crashed.
///
/// It says which requests with this part have to be refused: a harmless part that only ever came
/// with the one that crashes upstreams has crashed as many.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Companions {
    /// Nothing else can be the cause of all the crashes.
    pub is_sole_cause: bool,
    /// Other contents that had just begun on each of the upstreams.
    pub common: Vec<ContentKey>,
    /// Other contents that had just begun on two of them at least.
    pub frequent: Vec<ContentKey>,
}

impl Companions {
    /// Of a content that is the cause regardless of anything else in the request.
    pub fn none() -> Self {
        Self {
            is_sole_cause: true,
            ..Self::default()
        }
    }

    /// Whether one of the other contents may be the cause.
    pub(super) fn has_other_causes(&self) -> bool {
        let has_others = !self.common.is_empty() || !self.frequent.is_empty();
        has_others && !self.is_sole_cause
    }

    /// Shortens lists that are longer than a home would write.
    pub(super) fn truncate(&mut self) {
        self.common.truncate(MAX_COMPANIONS);
        self.frequent.truncate(MAX_COMPANIONS);
    }

    /// Whether a request with the part has to be refused while its circuit is open. Otherwise it
    /// may run as a probe.
    pub(super) fn refuse(&self, request: &RequestContents) -> bool {
        if self.is_sole_cause {
            return true;
        }
        match self.common.is_empty() {
            true => self.frequent.iter().any(|other| request.contains(*other)),
            false => self.common.iter().all(|other| request.contains(*other)),
        }
    }
}
