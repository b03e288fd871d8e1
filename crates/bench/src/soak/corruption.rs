//! Corrupts a recorded response before it is checked, to show that the checks report a violation.

use fulmarpath_platform_standin::RequestKind;

use super::verdict::Outcome;

/// The part of a response that is corrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Corruption {
    /// Removes an event from a complete response.
    Event,
    /// Replaces the request id by that of another request.
    Id,
    /// Reports a request that was served as not run.
    Status,
    /// Marks a response as truncated.
    End,
}

impl Corruption {
    /// Corrupts the first complete streamed response.
    pub(crate) fn apply(self, outcomes: &mut [Outcome]) {
        let mut complete = outcomes.iter_mut().filter(|one| {
            one.kind == RequestKind::Draft && one.response.is_complete && one.response.status == 200
        });
        let Some(outcome) = complete.next() else {
            return;
        };
        let response = &mut outcome.response;
        match self {
            Self::Event => {
                let second = response.body.find("id: 2\n").unwrap_or(0);
                let third = response.body.find("id: 3\n").unwrap_or(response.body.len());
                response.body.replace_range(second..third, "");
            }
            Self::Id => response.id = Some("another".to_owned()),
            Self::Status => response.status = 503,
            Self::End => response.is_complete = false,
        }
    }
}

impl std::str::FromStr for Corruption {
    type Err = UnknownCorruption;

    fn from_str(name: &str) -> Result<Self, UnknownCorruption> {
        match name {
            "event" => Ok(Self::Event),
            "id" => Ok(Self::Id),
            "status" => Ok(Self::Status),
            "end" => Ok(Self::End),
            _ => Err(UnknownCorruption),
        }
    }
}

/// The name on the command line is not that of a corruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not find a corruption of this name: use `event`, `id`, `status` or `end`")]
pub(crate) struct UnknownCorruption;
