//! Other hosts, as they were last heard or heard of.

use super::{DeclaredCheck, Heartbeat, HostInfo, Load};
use crate::{entry::Stamp, prelude::*};

/// A host that is silent longer than this is taken for lost. Reports between regions come every half
/// second, so that two of them may go missing.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_700);

/// A silent host's address is probed this long, so that it is found again after a partition.
const PEER_TTL: Duration = Duration::from_secs(120);

/// A host as it was last heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Taken from its heartbeat; `None` if it is known only through other hosts.
    pub declared_check: Option<DeclaredCheck>,
    /// When it last spoke, as far as this host was told.
    pub last_heard: Moment,
    /// It was told to be lost.
    pub is_lost: bool,
    /// Taken from its heartbeat; `None` if it is known only through other hosts.
    pub load: Load,
    pub info: HostInfo,
    pub region: RegionId,
    /// Taken from its heartbeat; `None` if it is known only through other hosts.
    pub stamp: Option<Stamp>,
    pub zone: ZoneId,
}

impl Peer {
    /// Whether it counts as living.
    pub fn is_live(&self, now: Moment) -> bool {
        now.saturating_sub(self.last_heard) < SILENCE_TIMEOUT
    }
}

/// All hosts that were heard.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<HostId, Peer>,
}

impl Peers {
    /// Takes a heartbeat in; true when it comes from a host that did not count as living.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        region: RegionId,
        now: Moment,
    ) -> bool {
        let Heartbeat { declared_check, load, info, stamp, zone, .. } = heartbeat;
        let declared_check = declared_check.map(|age| DeclaredCheck::from_age(age, now));
        let known = self.peers.get(&info.host);
        if known.is_some_and(|known| is_outdated(&info, known, now)) {
            return false;
        }
        let new = known.is_none_or(|known| !known.is_live(now));
        let stamp = Some(stamp);
        let host = info.host.clone();
        let is_lost = false;
        let peer =
            Peer { declared_check, last_heard: now, is_lost, load, info, region, stamp, zone };
        self.peers.insert(host, peer);
        new
    }

    /// Takes another host's word of a host that spoke at `heard`; true when that one did not count
    /// as living.
    ///
    /// Only ever prolongs a life: a host that was cut off from its zone, and tells of itself alone,
    /// must not take the others out of look-ups.
    pub fn record_indirect(
        &mut self,
        info: HostInfo,
        zone: &ZoneId,
        region: &RegionId,
        last_heard: Moment,
        now: Moment,
    ) -> bool {
        let Some(known) = self.peers.get_mut(&info.host) else {
            let peer = Peer {
                declared_check: None,
                last_heard,
                is_lost: false,
                load: Load::default(),
                info,
                region: region.clone(),
                stamp: None,
                zone: zone.clone(),
            };
            let new = peer.is_live(now);
            self.peers.insert(peer.info.host.clone(), peer);
            return new;
        };
        if info.order() < known.info.order() && known.is_live(now) {
            return false;
        }
        let was_live = known.is_live(now);
        known.last_heard = known.last_heard.max(last_heard);
        known.info = info;
        known.region = region.clone();
        known.zone = zone.clone();
        let new = !was_live && known.is_live(now);
        known.is_lost &= !new;
        new
    }

    /// Hosts that live, in the order of their names.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.values().filter(move |peer| peer.is_live(now))
    }

    /// Hosts that have been silent for a while.
    pub fn silent(&self, now: Moment) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.values().filter(move |peer| !peer.is_live(now))
    }

    /// Tells which hosts have fallen silent since the last call, and forgets those that were silent
    /// for long.
    pub fn detect_lost(&mut self, now: Moment) -> Vec<Peer> {
        let mut lost = Vec::new();
        for peer in self.peers.values_mut() {
            if !peer.is_lost && !peer.is_live(now) {
                peer.is_lost = true;
                lost.push(peer.clone());
            }
        }
        self.peers.retain(|_, peer| now.saturating_sub(peer.last_heard) < PEER_TTL);
        lost
    }
}

/// Datagrams overtake each other, and a start before the last has nothing to say. A clock that was
/// set back would silence the host for good, so after a while any word counts.
fn is_outdated(info: &HostInfo, known: &Peer, now: Moment) -> bool {
    info.order() <= known.info.order() && known.is_live(now)
}
