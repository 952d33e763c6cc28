//! Gossip between entry hosts: which hosts are live, their load, and the versions of the store's
//! state that they have. Contains the protocol logic only, without sockets or clocks.
//!
//! Hosts of a zone send each other heartbeats. The state of a zone is sent to other zones as a
//! single report. The hosts of the zone take turns sending it: to one host of each other zone of
//! the region and, less often, to two hosts of each zone in other regions. A host that receives a
//! report of another zone forwards it to its own zone. No host has a special role: when a
//! host is lost, only its turn is missed.
//!
//! Load pattern: hundreds of hosts. If each host sent heartbeats to every other one several times a
//! second, most of the traffic between zones and regions would be heartbeats.

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
    machine::{DeclarationCheck, Fleet, FleetConfig, Outgoing, OwnState, Received},
    messages::{DeclarationCheckAge, Heartbeat, HostInfo, Message, StateSource, ZoneReport},
    peers::{Peer, Peers, SILENCE_TIMEOUT},
    reports::Reports,
    rotation::Rotation,
};
