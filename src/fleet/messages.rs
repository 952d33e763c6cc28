//! Datagrams between entry hosts.

use super::Load;
use crate::{
    entry::{DeclarationVersion, Stamp},
    prelude::*,
};

/// One datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    Heartbeat(Heartbeat),
    Zone(ZoneReport),
}

impl Message {
    /// Stamps of the hosts from which the state of the store can be fetched.
    pub fn stamps(&self) -> impl Iterator<Item = &Stamp> {
        let (heartbeat, sources) = match self {
            Self::Heartbeat(heartbeat) => (Some(&heartbeat.stamp), &[][..]),
            Self::Zone(report) => (None, &*report.state_sources),
        };
        heartbeat.into_iter().chain(sources.iter().map(|source| &source.stamp))
    }
}

/// Description of one host that all other hosts receive.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostInfo {
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Address that receives datagrams of other hosts.
    pub gossip: SocketAddr,
    pub host: HostId,
    /// The host accepts no new callers because it is stopping.
    pub leaving: bool,
    /// The store answers the requests of this host.
    pub reaches_store: bool,
    /// Wall-clock time of the start, in milliseconds. Increases with each restart.
    pub start_ms: u64,
    /// The host gets too little processor time, and callers should use other hosts.
    pub strained: bool,
    /// Increases with each message that the host sends after a start.
    pub sequence: u64,
}

impl HostInfo {
    /// Orders messages of one host: the later message has the greater value.
    pub fn order(&self) -> (u64, u64) {
        (self.start_ms, self.sequence)
    }
}

/// Time since the store confirmed to a host that `version` was the latest declaration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeclarationCheckAge {
    pub age_ms: u32,
    pub version: DeclarationVersion,
}

/// State of one host, sent to the other hosts of its zone several times a second. Sent to a host of
/// another zone, it is a probe, which that host answers with the report of its own zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Some of the hosts that the sender considers live: gossip address and zone.
    pub contacts: Vec<(SocketAddr, ZoneId)>,
    /// `None` if the store has not confirmed the declaration to this host.
    pub declaration_check: Option<DeclarationCheckAge>,
    pub load: Load,
    pub info: HostInfo,
    pub stamp: Stamp,
    pub zone: ZoneId,
}

/// State of all hosts of a zone, sent to other zones by one of its hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneReport {
    /// The host of the zone that created the report.
    pub sender: HostId,
    /// In the answer to a probe, further hosts to probe: gossip address and zone.
    pub contacts: Vec<(SocketAddr, ZoneId)>,
    /// The latest confirmation that any host of the zone received.
    pub declaration_check: Option<DeclarationCheckAge>,
    /// Live hosts of the zone, each with the number of milliseconds since its last heartbeat.
    pub hosts: Vec<(HostInfo, u16)>,
    /// For each part of the store's state, the host of the zone with the latest version of it.
    pub state_sources: Vec<StateSource>,
    /// Sum of the loads of all hosts of the zone.
    pub load: Load,
    /// Forwarded by a host of the receiver's own zone; the receiver does not forward it again.
    pub is_forwarded: bool,
    /// `HostInfo::order` of the sender.
    pub order: (u64, u64),
    pub zone: ZoneId,
}

/// A host from which the state of the store can be fetched.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StateSource {
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Versions of the state that the host has.
    pub stamp: Stamp,
}
