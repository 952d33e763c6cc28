//! Gossip between entry hosts: which hosts are live, their load, and the versions of the store's
//! state that they have. Contains the protocol logic only, without sockets or clocks.
//!
//! In: the state of this host, a tick ten times a second, and datagrams of other hosts. Out:
//! datagrams, the live hosts, their loads, and who has which state of the store.
//!
//! Hosts of a small zone send each other their states. In a large zone they send them to the
//! collector of the round, which sends the report of the zone to all its hosts; another host
//! collects each round. Reports also go to one host of each other zone of the region and, less
//! often, to two hosts of each zone in other regions, which forward them to their own zones. No
//! host has a lasting role: when a host is lost, only its turn is missed.
//!
//! Cost of a host: a number of datagrams a second that grows with the zones and not with their
//! hosts, of bytes that grow with what changes and with the requests in flight.

mod collection;
mod contacts;
mod crash_report;
mod load;
mod machine;
mod members;
mod messages;
mod peers;
mod reports;
mod rotation;
pub mod simulation;
#[cfg(test)]
mod tests;

pub use self::{
    collection::{Collection, MESH_HOSTS, Round},
    contacts::Contacts,
    crash_report::{CrashReport, merge_crash_reports, truncate as truncate_crash_reports},
    load::Load,
    machine::{DeclarationCheck, Fleet, FleetConfig, Outgoing, OwnState, Received},
    members::Members,
    messages::{
        DeclarationCheckAge, Delivery, Heartbeat, HostInfo, Message, Purpose, StateSource,
        ZoneReport,
    },
    peers::{Peer, Peers, SILENCE_TIMEOUT},
    reports::Reports,
    rotation::Rotation,
};
