//! Last known state of the other hosts, received from them directly or through other hosts.

use super::{DeclarationCheck, Heartbeat, HostInfo, Load};
use crate::{entry::Stamp, prelude::*};

/// A host that is silent for this time is considered lost. Reports between regions are sent every
/// half second, so up to two consecutive ones may be lost.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Time for which a silent host is kept as a receiver of probes and reports, so that it is found
/// again after a partition.
const PEER_TTL: Duration = Duration::from_secs(120);

/// Last known state of one host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Taken from its heartbeat; `None` if it is known only through other hosts.
    pub declaration_check: Option<DeclarationCheck>,
    /// When the host last sent a message, as far as this host knows.
    pub last_heard: Moment,
    /// Whether `Peers::detect_lost` has reported the host since it was last live.
    pub is_lost: bool,
    /// Taken from its heartbeat; empty if it is known only through other hosts.
    pub load: Load,
    pub info: HostInfo,
    pub region: RegionId,
    /// Taken from its heartbeat; `None` if it is known only through other hosts.
    pub stamp: Option<Stamp>,
    pub zone: ZoneId,
}

impl Peer {
    /// Whether the host has been heard within `SILENCE_TIMEOUT`.
    pub fn is_live(&self, now: Moment) -> bool {
        now.saturating_sub(self.last_heard) < SILENCE_TIMEOUT
    }
}

/// All other known hosts.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<HostId, Peer>,
}

impl Peers {
    /// Records a heartbeat. Returns whether its sender was not live before.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        region: RegionId,
        now: Moment,
    ) -> bool {
        let Heartbeat { declaration_check, load, info, stamp, zone, .. } = heartbeat;
        let declaration_check = declaration_check.map(|age| DeclarationCheck::from_age(age, now));
        let known = self.peers.get(&info.host);
        if known.is_some_and(|known| is_outdated(&info, known, now)) {
            return false;
        }
        let is_new = known.is_none_or(|known| !known.is_live(now));
        let stamp = Some(stamp);
        let host = info.host.clone();
        let is_lost = false;
        let peer =
            Peer { declaration_check, last_heard: now, is_lost, load, info, region, stamp, zone };
        self.peers.insert(host, peer);
        is_new
    }

    /// Records a host that another host last heard at `last_heard`. Returns whether it becomes
    /// live.
    ///
    /// Never makes a live host lost earlier: a host that is partitioned from its zone and reports
    /// only itself must not remove the other hosts of the zone from look-ups.
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
                declaration_check: None,
                last_heard,
                is_lost: false,
                load: Load::default(),
                info,
                region: region.clone(),
                stamp: None,
                zone: zone.clone(),
            };
            let is_new = peer.is_live(now);
            self.peers.insert(peer.info.host.clone(), peer);
            return is_new;
        };
        if info.order() < known.info.order() && known.is_live(now) {
            return false;
        }
        let was_live = known.is_live(now);
        known.last_heard = known.last_heard.max(last_heard);
        known.info = info;
        known.region = region.clone();
        known.zone = zone.clone();
        let is_new = !was_live && known.is_live(now);
        known.is_lost &= !is_new;
        is_new
    }

    /// Live hosts, ordered by name.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.values().filter(move |peer| peer.is_live(now))
    }

    /// Known hosts that are not live.
    pub fn silent(&self, now: Moment) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.values().filter(move |peer| !peer.is_live(now))
    }

    /// Returns the hosts that have become silent since the last call, and removes hosts that have
    /// been silent for `PEER_TTL`.
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

/// Whether a message was overtaken by a later one, or dates from before a restart of its sender.
/// Messages from a silent host are always accepted: after its clock is set back, all its messages
/// would otherwise be rejected.
fn is_outdated(info: &HostInfo, known: &Peer, now: Moment) -> bool {
    info.order() <= known.info.order() && known.is_live(now)
}
