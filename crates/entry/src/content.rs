//! Hash of a request's content together with its organisation and service.

use std::hash::{Hash, Hasher};

use fulmarpath_policy::{ContentKey, OrganisationKey, ServiceKey};
use xxhash_rust::xxh3::Xxh3;

/// Content key of a request whose body has this hash. It is the same for each retry by the caller.
pub(crate) fn content_key(
    organisation: OrganisationKey,
    service: ServiceKey,
    text_hash: u64,
) -> ContentKey {
    let mut hasher = Xxh3::new();
    (organisation, service, text_hash).hash(&mut hasher);
    ContentKey(hasher.finish())
}
