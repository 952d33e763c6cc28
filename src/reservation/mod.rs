//! Slots of targets that one host hands out to all hosts of a region.
//!
//! Load pattern: dozens of hosts send requests to targets of three slots, and a request takes as
//! long as a few reports between hosts. If each host chooses by what the others reported last, many
//! choose the same target at once while others have free slots.
//!
//! The targets of a service in a region are divided into groups, and each group has an owner among
//! the hosts of the region. A host asks the owner for a slot, and the owner selects the target by
//! the exact number of requests there. The right to send does not depend on it: without an answer, a
//! host selects a target itself, and tells the owner. Two owners at a time are harmless.
//!
//! Pure decision logic and messages; `crate::entry` sends the messages and keeps the time.

mod groups;
mod held_slots;
mod messages;
mod owners;
mod pressure;
#[cfg(test)]
mod tests;

pub use self::{
    groups::{group_count, group_of, object_groups},
    held_slots::{HeldSlots, LEASE},
    messages::{
        Answer, Ask, Grant, MAX_EXCLUDED, MAX_REFRESHED, Message, Refusal, Released, ReleasedEnd,
        Taken,
    },
    owners::{GroupKey, OwnerCache},
    pressure::Pressure,
};

/// Number of a group among those of a service in a region.
pub type GroupNumber = u16;

/// Hash of a host's id and start.
pub type SenderTag = u32;

/// Number of a reservation; unique among those of one sender.
pub type ReservationId = u32;
