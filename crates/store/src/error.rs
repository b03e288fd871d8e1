//! Errors of calls to the platform.

use fulmarpath_http::HttpError;

/// A failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The call certainly had no effect: it was not sent, or was refused.
    #[error("could not have the platform execute the call: {0}")]
    NotExecuted(#[source] HttpError),
    /// The call may have taken effect, but no usable response arrived.
    #[error("could not determine whether the platform executed the call: {0}")]
    OutcomeUnknown(#[source] HttpError),
    /// A conditional write found a different version.
    #[error("could not write {key}: its version differs from the expected one")]
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
