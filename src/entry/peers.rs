//! Other hosts: who lives, what they run, what they know.

use super::Stamp;
use crate::{
    placement::{ObjectTag, TargetTag},
    prelude::*,
};

/// What a host tells others, several times a second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Address of its callers' listener.
    pub callers: SocketAddr,
    /// Address of its control listener.
    pub control: SocketAddr,
    /// Requests that crash targets: fingerprint and crashes seen.
    pub crashes: Vec<(u64, u8)>,
    /// Busy slots that its callers ask for, by hash of the service.
    pub demand: Vec<(u32, f32)>,
    pub gossip: SocketAddr,
    pub host: HostId,
    /// It takes no new callers.
    pub leaving: bool,
    /// Gossip addresses of hosts that it hears.
    pub peers: Vec<SocketAddr>,
    /// The store answers it.
    pub reaches_store: bool,
    /// Requests in attempt by target.
    pub running: Vec<(u32, u8)>,
    /// Objects that it lately asked targets for.
    pub runs: Vec<(TargetTag, ObjectTag)>,
    pub stamp: Stamp,
    /// Wall clock at its start, in milliseconds: a restarted host has a higher one.
    pub start: u64,
    /// Rises with each heartbeat of one start.
    pub turn: u64,
    pub zone: ZoneId,
}

/// A host that is silent longer than this is taken for lost. Beats between regions come every half
/// second, so that two of them may go missing.
pub const SILENCE: Duration = Duration::from_millis(1_700);

/// A silent host's address is greeted this long, so that it is found again after a partition.
const FORGET: Duration = Duration::from_secs(120);

/// A host as it was last heard.
#[derive(Clone, Debug)]
pub struct Peer {
    pub heartbeat: Heartbeat,
    pub heard: Moment,
    /// It was told to be lost.
    pub is_lost: bool,
    pub region: RegionId,
}

/// All hosts that were heard.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<HostId, Peer>,
}

impl Peers {
    /// Takes a heartbeat in; true when it comes from a host that did not count as living.
    pub fn heard(&mut self, heartbeat: Heartbeat, region: RegionId, now: Moment) -> bool {
        let host = heartbeat.host.clone();
        if let Some(known) = self.peers.get(&host) {
            let order = |heartbeat: &Heartbeat| (heartbeat.start, heartbeat.turn);
            // Datagrams overtake each other, and a start before the last has nothing to say. A
            // clock that was set back would silence the host for good, so after a while any word
            // counts.
            if order(&heartbeat) <= order(&known.heartbeat)
                && now.saturating_sub(known.heard) < SILENCE
            {
                return false;
            }
        }
        let new = !self.is_live(&host, now);
        self.peers.insert(host, Peer { heartbeat, heard: now, is_lost: false, region });
        new
    }

    /// Hosts that live, in the order of their names.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| now.saturating_sub(peer.heard) < SILENCE)
    }

    /// Addresses of all hosts that were heard not too long ago.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.values().map(|peer| peer.heartbeat.gossip)
    }

    /// Tells which hosts have fallen silent since the last call, and forgets those that were silent
    /// for long.
    pub fn tick(&mut self, now: Moment) -> Vec<Peer> {
        let mut lost = Vec::new();
        for peer in self.peers.values_mut() {
            if !peer.is_lost && SILENCE <= now.saturating_sub(peer.heard) {
                peer.is_lost = true;
                lost.push(peer.clone());
            }
        }
        self.peers.retain(|_, peer| now.saturating_sub(peer.heard) < FORGET);
        lost
    }

    fn is_live(&self, host: &HostId, now: Moment) -> bool {
        self.peers.get(host).is_some_and(|peer| now.saturating_sub(peer.heard) < SILENCE)
    }
}
