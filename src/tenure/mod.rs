//! The right of a host to the targets of its zone.
//!
//! One object on the platform lists the hosts that share a zone's targets. It is written only when
//! a host comes or goes, by conditional update, and each write raises its fence. A listed host's
//! right holds for `LEASE` by its own clock, counted from before it sent what confirmed it: an
//! exchange that each of its witnesses answered, or a platform read that still lists it. The
//! witnesses of a host are two of the listed ones, by hash; they alone remove it.
//!
//! Who removes a silent host holds its targets only provisionally for another `LEASE` (two in zones
//! of more than three hosts): by then the removed one's right has run out, however long it was
//! paused. With the platform away nobody can
//! be removed, and a silent host's targets stay provisional.
//!
//! Two hosts that both believe to own a target can cost a shed request, never a doubled one: the
//! ledger does not rest on this.

mod action;
mod event;
mod lease;
mod machine;
mod object;
mod platform_calls;
#[cfg(test)]
mod tests;

use std::time::Duration;

pub use self::{
    action::Action,
    event::{Event, ReadResult, WriteResult, ZoneHost},
    machine::TenureManager,
    object::{Holder, ZoneTenure},
    platform_calls::perform,
};

/// How long a confirmed right holds.
pub const LEASE: Duration = Duration::from_secs(4);

/// A gap between two ticks from which a host counts as having been paused. After a shorter one its
/// right has not run out: what confirmed it is hardly older than the gap.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Hosts that watch each host.
pub const WITNESS_COUNT: usize = 2;

/// A host that is silent for this long may be removed by any host: its witnesses may have died with
/// it.
pub const FALLBACK_REMOVAL_AFTER: Duration = Duration::from_secs(30);

/// Time between two reads of the object while peers confirm the right: finds a host that wrote
/// itself into the list and is cut off from its peers.
pub const CONFIRMED_READ_INTERVAL: Duration = Duration::from_secs(15);

/// Time between two reads while nobody confirms it.
pub const UNCONFIRMED_READ_INTERVAL: Duration = Duration::from_secs(1);

/// A call without result for this long is given up.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A listed host that was never heard counts as silent after this long: a host that has just
/// started knows nobody yet, and must not remove those it is about to meet.
pub const FIRST_CONTACT_GRACE: Duration = Duration::from_secs(10);
