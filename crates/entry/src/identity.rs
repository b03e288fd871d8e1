//! Names of generations: the host that holds it, its organisation and a unique number.
//!
//! The organisation is part of the name, so that an engine, which knows no organisations, can't
//! hand one organisation's generation to another: with another organisation it is another name.

use fulmarpath_policy::{HostKey, OrganisationKey};
use uuid::Uuid;

/// The parts of a generation's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Identity {
    pub(crate) host: HostKey,
    pub(crate) organisation: OrganisationKey,
}

/// A new name.
pub(crate) fn new_name(host: HostKey, organisation: OrganisationKey) -> String {
    let unique = Uuid::now_v7().simple();
    format!("{:016x}.{:016x}.{unique}", host.0, organisation.0)
}

/// The parts of a name; `None` where it isn't one.
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

/// The id of an event: a generation's name and a token's index.
pub(crate) fn event_id(name: &str, index: u32) -> String {
    format!("{name}:{index}")
}

/// The parts of an event's id.
pub(crate) fn parse_event_id(id: &str) -> Option<(&str, u32)> {
    let (name, index) = id.rsplit_once(':')?;
    Some((name, index.parse().ok()?))
}
