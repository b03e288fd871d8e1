//! What can go wrong at the platform.

use fulmarpath_http::HttpError;

/// A failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The call certainly had no effect: it was never sent, or was refused.
    #[error("could not reach the platform")]
    NotExecuted(#[source] HttpError),
    /// The call may have taken effect although no answer came.
    #[error("could not learn whether the platform carried out the call")]
    OutcomeUnknown(#[source] HttpError),
    /// A conditional write found another version.
    #[error("could not write {key}: its version is another")]
    Conflict {
        /// The object's key.
        key: String,
    },
}

impl From<HttpError> for PlatformError {
    fn from(error: HttpError) -> Self {
        if error.is_unsent() {
            Self::NotExecuted(error)
        } else {
            Self::OutcomeUnknown(error)
        }
    }
}
