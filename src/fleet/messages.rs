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

/// What is told of one host everywhere.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostInfo {
    /// Address of its callers' listener.
    pub callers: SocketAddr,
    /// Address of its control listener.
    pub control: SocketAddr,
    pub gossip: SocketAddr,
    pub host: HostId,
    /// It takes no new callers.
    pub leaving: bool,
    /// The store answers it.
    pub reaches_store: bool,
    /// Wall clock at its start, in milliseconds: a restarted host has a higher one.
    pub start_ms: u64,
    /// It gets too little of its processor, and callers are better off elsewhere.
    pub strained: bool,
    /// Rises with each message of one start.
    pub sequence: u64,
}

impl HostInfo {
    /// Which of two words of one host is the later one.
    pub fn order(&self) -> (u64, u64) {
        (self.start_ms, self.sequence)
    }
}

/// Time since the store confirmed to a host that `version` was the latest declaration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeclaredCheckAge {
    pub age_ms: u32,
    pub version: DeclarationVersion,
}

/// What a host tells those of its zone, several times a second; to a host of another zone it is a
/// probe, and answered with that zone's report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Hosts that it hears: gossip address and zone.
    pub contacts: Vec<(SocketAddr, ZoneId)>,
    /// `None` if the store has not confirmed the declaration to this host.
    pub declared_check: Option<DeclaredCheckAge>,
    pub load: Load,
    pub info: HostInfo,
    pub stamp: Stamp,
    pub zone: ZoneId,
}

/// What the hosts of a zone tell other zones, by one of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneReport {
    /// The host that sent it.
    pub sender: HostId,
    /// For a host that probed: whom else to probe.
    pub contacts: Vec<(SocketAddr, ZoneId)>,
    /// The latest confirmation among its hosts.
    pub declared_check: Option<DeclaredCheckAge>,
    /// Its living hosts, and for how many milliseconds each had been silent.
    pub hosts: Vec<(HostInfo, u16)>,
    /// For each part of the store's state, the host that knows most of it.
    pub state_sources: Vec<StateSource>,
    /// That of all its hosts together.
    pub load: Load,
    /// It came from a host of the receiver's own zone, and goes no further.
    pub is_forwarded: bool,
    /// Start and turn of the host that sent it.
    pub order: (u64, u64),
    pub zone: ZoneId,
}

/// A host, and what it knows of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StateSource {
    pub control: SocketAddr,
    pub stamp: Stamp,
}
