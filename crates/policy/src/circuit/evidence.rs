//! Decides from the crashes of a content how its requests may run.

use crate::circuit::CircuitState;
use crate::circuit::suspect::ContentKind;
use crate::key::Millis;

/// Crashes that half-open a circuit. Two may be a coincidence, for example when a caller's retry
/// meets the same fault as its first attempt.
pub(super) const HALF_OPEN_CRASHES: usize = 2;
/// Crashes that open a circuit: the third one happened while no other request of its content was
/// running. Each crash terminates everything on the upstream, one or two generations at usual load
/// and up to all slots at full load.
pub(super) const OPEN_CRASHES: usize = 3;
/// How long a part is only suspected, in which a host that serves it reports so. Where many
/// upstreams crash for another reason, each part that many requests share is on several of them;
/// restricting it would refuse sound requests.
const SUSPICION_MS: Millis = 1_000;

/// What the home of crash reports knows of a content.
#[derive(Debug, Clone, Copy)]
pub(super) struct Evidence {
    pub(super) kind: ContentKind,
    /// Number of upstreams that crashed since the content was last answered.
    pub(super) crashes: usize,
    /// The state of its circuit.
    pub(super) state: CircuitState,
    /// Since when the circuit has not been closed.
    pub(super) suspected_ms: Option<Millis>,
    /// One of the crashed requests was sent after that.
    pub(super) has_later_crash: bool,
    /// A content of other requests was on all the same upstreams. Not used for parts, of which the
    /// circuit lists such contents.
    pub(super) has_rival: bool,
    /// Of a part for any model: requests for one model were on all the same upstreams.
    pub(super) is_in_one_model: bool,
}

/// A decision on a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decision {
    /// The circuit remains as it is.
    Keep,
    /// To be decided again at this time.
    Wait { until_ms: Millis },
    /// The circuit gets this state.
    Set(CircuitState),
}

impl Evidence {
    pub(super) fn decide(&self, now_ms: Millis) -> Decision {
        if self.crashes < HALF_OPEN_CRASHES {
            return Decision::Keep;
        }
        match self.kind {
            ContentKind::Whole => Decision::Set(self.state_of_whole()),
            ContentKind::PartInModel | ContentKind::PartInAnyModel => self.decide_on_part(now_ms),
        }
    }

    fn state_of_whole(&self) -> CircuitState {
        match self.crashes >= OPEN_CRASHES && !self.has_rival {
            true => CircuitState::Open,
            false => CircuitState::HalfOpen,
        }
    }

    /// A part is shared by requests that crash nothing, so crashes at the same moment do not
    /// suffice: a request that was sent after the part became suspected has to crash another
    /// upstream, and no host may have served the part meanwhile.
    fn decide_on_part(&self, now_ms: Millis) -> Decision {
        let Some(suspected_ms) = self.suspected_ms else {
            return Decision::Set(CircuitState::Suspected);
        };
        let until_ms = suspected_ms + SUSPICION_MS;
        if now_ms < until_ms {
            return Decision::Wait { until_ms };
        }
        if self.crashes >= OPEN_CRASHES && self.has_later_crash {
            // The part may be harmless in other models.
            return Decision::Set(match self.is_in_one_model {
                true => CircuitState::HalfOpen,
                false => CircuitState::Open,
            });
        }
        match self.state {
            CircuitState::Suspected => Decision::Set(CircuitState::HalfOpen),
            _ => Decision::Keep,
        }
    }
}
