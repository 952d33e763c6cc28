//! Datagrams between entry hosts.

use std::io;

use xxhash_rust::xxh3::xxh3_64;

use super::{Load, Members};
use crate::{
    entry::{DeclarationVersion, Stamp},
    prelude::*,
};

/// First byte of each datagram. Hosts ignore datagrams with another version.
const ENCODING: u8 = 0x14;

/// One datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    Heartbeat(Heartbeat),
    Zone(ZoneReport),
}

impl Message {
    /// Encodes the datagram.
    pub fn encode(&self) -> io::Result<Vec<u8>> {
        postcard::to_extend(self, vec![ENCODING]).map_err(io::Error::other)
    }

    /// Decodes a datagram of another host.
    pub fn decode(bytes: &[u8]) -> io::Result<Self> {
        match bytes.split_first() {
            Some((&ENCODING, message)) => postcard::from_bytes(message).map_err(io::Error::other),
            _ => Err(io::Error::other("unsupported encoding version")),
        }
    }

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
    /// Processor time that the host may use, in hundredths of a core.
    pub capacity: u16,
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
    /// At least one target accepts connections of this host.
    pub reaches_targets: bool,
    /// Port on which the host serves requests of other hosts, at the address of `gossip`; `None` if
    /// it serves none.
    pub relay_port: Option<u16>,
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

    /// Address on which the host serves requests of other hosts.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.relay_port.map(|port| SocketAddr::new(self.gossip.ip(), port))
    }

    /// Digest of all fields but the sequence.
    pub fn digest(&self) -> u64 {
        let fields = (
            (self.capacity, self.callers, self.control, self.gossip, &self.host),
            (self.leaving, self.reaches_store, self.start_ms, self.strained),
            (self.reaches_targets, self.relay_port),
        );
        xxh3_64(&postcard::to_allocvec(&fields).expect("the fields can be encoded"))
    }
}

/// Time since the store confirmed to a host that `version` was the latest declaration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeclarationCheckAge {
    pub age_ms: u32,
    pub version: DeclarationVersion,
}

/// What the receiver of a heartbeat does besides recording it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Purpose {
    /// Collects it, and sends the report of the round.
    Collect,
    /// Sends the report of the round if the collector does not.
    Standby,
    /// Answers with the complete report of its own zone.
    Probe,
    State,
}

/// State of one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Some of the hosts that the sender considers live: gossip address and zone.
    pub contacts: Vec<(SocketAddr, ZoneId)>,
    /// `None` if the store has not confirmed the declaration to this host.
    pub declaration_check: Option<DeclarationCheckAge>,
    pub load: Load,
    pub info: HostInfo,
    pub purpose: Purpose,
    pub stamp: Stamp,
    pub zone: ZoneId,
}

/// How a report reaches a host of another zone.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Delivery {
    /// As the answer to its probe.
    Answer,
    /// Directly; the receiver forwards the report to its own zone.
    FirstReceiver,
    /// Forwarded by a host of its own zone.
    Forwarded,
}

/// State of all hosts of a zone, sent by one of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneReport {
    /// The host of the zone that created the report, and its gossip address.
    pub sender: HostId,
    pub sender_addr: SocketAddr,
    /// In the answer to a probe, further hosts to probe: gossip address and zone.
    pub contacts: Vec<(SocketAddr, ZoneId)>,
    /// The latest confirmation that any host of the zone received.
    pub declaration_check: Option<DeclarationCheckAge>,
    pub members: Members,
    /// For each part of the store's state, the host of the zone with the latest version of it.
    pub state_sources: Vec<StateSource>,
    /// Sum of the loads of hosts of the zone, and their number; `None` in a report that only shows
    /// who is live.
    pub load: Option<(Load, u16)>,
    pub delivery: Delivery,
    /// Whether it is sent to other regions too.
    pub is_cross_region: bool,
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
