//! Small `Copy` keys. A key is a hash of the declared name, so that all hosts derive the same keys
//! without exchanging tables.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Milliseconds since an epoch that the caller chooses, or a duration in milliseconds.
pub type Millis = u64;

macro_rules! name_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// The key of a declared name.
            pub fn of(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }
    };
}

name_key!(
    /// An entry host.
    HostKey
);
name_key!(
    /// An organisation.
    OrganisationKey
);
name_key!(
    /// A service that organisations call.
    ServiceKey
);
name_key!(
    /// A model.
    ModelKey
);
name_key!(
    /// An engine or plain service.
    UpstreamKey
);

/// Identifies the content of a request across the caller's retries: a hash of its organisation,
/// method, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentKey(pub u64);
