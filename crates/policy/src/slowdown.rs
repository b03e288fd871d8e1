//! How far a reported slowdown counts: as far as other upstreams have room for the work.
//!
//! Where all upstreams of a service are busy, those that take the work of a slowed one become full
//! and their requests queue, also after the slowdown has ended. With four fifths of the slots in
//! use, a slowdown that counted fully made requests slower on the mean
//! (`docs/design/uneven-load.md`, part 5).

/// Share of a service's slots in use up to which a slowdown counts fully.
const MAX_USED_FULLY: f32 = 0.5;
/// Share from which on it does not count.
const MAX_USED: f32 = 0.75;

/// How far a slowdown counts (0 to 1) in a service of whose `slots` so many are in use.
pub fn spare_share(used: f32, slots: f32) -> f32 {
    let used_share = used / slots.max(1.0);
    ((MAX_USED - used_share) / (MAX_USED - MAX_USED_FULLY)).clamp(0.0, 1.0)
}
