//! Names of generations: the host that holds the generation, its organisation and a unique number.
//!
//! Engines know no organisations. With the organisation in the name, generations of different
//! organisations never share a name, so an engine can't return one organisation's generation to
//! another.

use fulmarpath_policy::{HostKey, OrganisationKey};
use uuid::Uuid;

/// The parts of a generation's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Identity {
    pub(crate) host: HostKey,
    pub(crate) organisation: OrganisationKey,
}

/// Creates a unique name.
pub(crate) fn new_name(host: HostKey, organisation: OrganisationKey) -> String {
    let unique = Uuid::now_v7().simple();
    format!("{:016x}.{:016x}.{unique}", host.0, organisation.0)
}

/// Parses a name; `None` if it is malformed.
pub(crate) fn parse_name(name: &str) -> Option<Identity> {
    let mut parts = name.split('.');
    let host = u64::from_str_radix(parts.next()?, 16).ok()?;
    let organisation = u64::from_str_radix(parts.next()?, 16).ok()?;
    Uuid::parse_str(parts.next()?).ok()?;
    if parts.next().is_some() {
        return None;
    }
    Some(Identity {
        host: HostKey(host),
        organisation: OrganisationKey(organisation),
    })
}

/// Id of a server-sent event: the generation's name and the token's index.
pub(crate) fn event_id(name: &str, index: u32) -> String {
    format!("{name}:{index}")
}

/// Parses the id of a server-sent event.
pub(crate) fn parse_event_id(id: &str) -> Option<(&str, u32)> {
    let (name, index) = id.rsplit_once(':')?;
    Some((name, index.parse().ok()?))
}
