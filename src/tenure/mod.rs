//! Tenure: the lease that entitles a host to send to its share of the targets of its zone.
//!
//! One object on the platform lists the hosts that share a zone's targets. It is written by
//! conditional update, only when a host joins or leaves, and each write increments its fence. The
//! lease of a listed host is valid for `LEASE` by its own clock. It counts from before the host
//! sent what confirmed it: an exchange to which each of its witnesses responded, or a platform read
//! that still listed the host. The witnesses of a host are `WITNESS_COUNT` of the other listed
//! hosts, chosen by hash. Only they remove it, unless it has been silent for
//! `FALLBACK_REMOVAL_AFTER`.
//!
//! After a silent host is removed, its targets are provisional for one `LEASE` (two in zones of
//! more than three hosts): the new owners use them at reduced concurrency. By the end of that time
//! the lease of the removed host has expired, however long it was paused. While the platform is
//! unavailable no host can be removed, and the targets of a silent host stay provisional.
//!
//! If two hosts both consider themselves the owner of a target, requests may be shed, but none runs
//! twice: the ledger does not depend on tenure.

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

/// Validity of a confirmed lease.
pub const LEASE: Duration = Duration::from_secs(4);

/// Gap between two ticks from which a host counts as having been paused. After a shorter gap its
/// lease has not expired, since what confirmed it is hardly older than the gap.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Number of witnesses of each host.
pub const WITNESS_COUNT: usize = 2;

/// Silence after which any host of the zone may remove a host, since its witnesses may have failed
/// with it.
pub const FALLBACK_REMOVAL_AFTER: Duration = Duration::from_secs(30);

/// Time between two reads of the object while peers confirm the lease. The reads find a host that
/// wrote itself into the list and is partitioned from its peers.
pub const CONFIRMED_READ_INTERVAL: Duration = Duration::from_secs(15);

/// Time between two reads while the lease is about to expire or the list has to change.
pub const UNCONFIRMED_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a platform call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a listed host that was never heard counts as silent. A host that has just
/// started knows no other host yet, and must not remove those that it has not heard so far.
pub const FIRST_CONTACT_GRACE: Duration = Duration::from_secs(10);
