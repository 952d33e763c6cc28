//! Which entry hosts live, what they run, and what they know: decisions only, no sockets or clocks.
//!
//! Hosts of a zone send each other heartbeats. What a zone knows of itself goes to other zones as
//! one report: its hosts take turns at sending it, to one host of each other zone of the region
//! and, less often, to two of each zone beyond. Whoever gets a report from outside passes it on to
//! its own zone. No host has a role in this, so that the loss of any of them costs a turn.
//!
//! Load pattern: hundreds of hosts, each of which would else send to each other one several times a
//! second; most of the traffic between zones and regions would be heartbeats.

mod contacts;
mod load;
mod machine;
mod messages;
mod peers;
mod reports;
mod rotation;
#[cfg(test)]
mod tests;

pub use self::{
    contacts::Contacts,
    load::Load,
    machine::{DeclaredCheck, Fleet, FleetConfig, Outgoing, OwnState, Received},
    messages::{DeclaredCheckAge, Heartbeat, HostInfo, Message, StateSource, ZoneReport},
    peers::{Peer, Peers, SILENCE_TIMEOUT},
    reports::Reports,
    rotation::Rotation,
};
