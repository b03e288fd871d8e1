//! Hash of a request's content together with its organisation and service.

use std::hash::{Hash, Hasher};

use fulmarpath_policy::{ContentKey, OrganisationKey, ServiceKey};
use xxhash_rust::xxh3::Xxh3;

/// Content key of a request with this hash. It is the same for each retry by the caller.
pub(crate) fn content_key(
    organisation: OrganisationKey,
    service: ServiceKey,
    request_hash: u64,
) -> ContentKey {
    let mut hasher = Xxh3::new();
    (organisation, service, request_hash).hash(&mut hasher);
    ContentKey(hasher.finish())
}
