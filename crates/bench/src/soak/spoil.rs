//! Spoils what callers got before it is judged: a check that finds nothing then can't fail.

use fulmarpath_platform_standin::RequestKind;

use super::judge::Outcome;

/// What is spoilt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Spoil {
    /// An event of a whole answer is missing.
    Event,
    /// An answer says that it is another request's.
    Id,
    /// A request that was answered is said not to have run.
    Status,
    /// An answer ends in the middle.
    End,
}

impl Spoil {
    /// Spoils the first outcome that it fits.
    pub(crate) fn apply(self, outcomes: &mut [Outcome]) {
        let mut whole = outcomes.iter_mut().filter(|one| {
            one.kind == RequestKind::Draft && one.got.is_complete && one.got.status == 200
        });
        let Some(outcome) = whole.next() else { return };
        let got = &mut outcome.got;
        match self {
            Self::Event => {
                let second = got.body.find("id: 2\n").unwrap_or(0);
                let third = got.body.find("id: 3\n").unwrap_or(got.body.len());
                got.body.replace_range(second..third, "");
            }
            Self::Id => got.id = Some("another".to_owned()),
            Self::Status => got.status = 503,
            Self::End => got.is_complete = false,
        }
    }
}

impl std::str::FromStr for Spoil {
    type Err = UnknownSpoil;

    fn from_str(name: &str) -> Result<Self, UnknownSpoil> {
        match name {
            "event" => Ok(Self::Event),
            "id" => Ok(Self::Id),
            "status" => Ok(Self::Status),
            "end" => Ok(Self::End),
            _ => Err(UnknownSpoil),
        }
    }
}

/// Nothing of this name can be spoilt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not find what to spoil: use `event`, `id`, `status` or `end`")]
pub(crate) struct UnknownSpoil;
