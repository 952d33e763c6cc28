//! Last known state of the other hosts, received from them directly or through other hosts.

use super::{DeclarationCheck, Heartbeat, HostInfo, Load, Members};
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
    /// When its state last changed, or when it became live.
    pub changed_at: Moment,
    /// Taken from its heartbeat; `None` if it is known only through other hosts.
    pub declaration_check: Option<DeclarationCheck>,
    /// When the host last sent a message, as far as this host knows.
    pub last_heard: Moment,
    /// When its last heartbeat arrived; `None` if it is known only through other hosts.
    pub heartbeat_at: Option<Moment>,
    /// Whether `Peers::detect_lost` has reported the host since it was last live.
    pub is_lost: bool,
    /// Taken from its heartbeat; empty if it is known only through other hosts.
    pub load: Load,
    pub info: HostInfo,
    /// `HostInfo::digest` of `info`.
    digest: u64,
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

    /// Whether its last heartbeat is as recent, so that its load is known.
    pub fn has_recent_load(&self, now: Moment) -> bool {
        self.heartbeat_at.is_some_and(|at| now.saturating_sub(at) < SILENCE_TIMEOUT)
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
        let digest = info.digest();
        let unchanged = known.filter(|known| !is_new && known.digest == digest);
        let peer = Peer {
            changed_at: unchanged.map_or(now, |known| known.changed_at),
            declaration_check,
            digest,
            heartbeat_at: Some(now),
            last_heard: now,
            is_lost: false,
            load,
            info,
            region,
            stamp: Some(stamp),
            zone,
        };
        self.peers.insert(peer.info.host.clone(), peer);
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
                changed_at: now,
                declaration_check: None,
                digest: info.digest(),
                heartbeat_at: None,
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
        if known.info.start_ms != info.start_ms {
            (known.heartbeat_at, known.stamp) = (None, None);
        }
        known.last_heard = known.last_heard.max(last_heard);
        let is_new = !was_live && known.is_live(now);
        let digest = info.digest();
        if is_new || known.digest != digest {
            known.changed_at = now;
        }
        known.digest = digest;
        known.info = info;
        known.region = region.clone();
        known.zone = zone.clone();
        known.is_lost &= !is_new;
        is_new
    }

    /// Records the hosts of a zone that another host reports. `own_digest` is that of this host if
    /// it is in that zone. Returns the hosts that become live, and whether the known live hosts are
    /// those of the report.
    ///
    /// Hosts that are not listed are as live as the report says, unless it covers fewer than half
    /// of the known ones: then its sender is probably cut off from its zone.
    pub fn record_members(
        &mut self,
        members: &Members,
        zone: &ZoneId,
        region: &RegionId,
        own_digest: Option<u64>,
        now: Moment,
    ) -> (Vec<HostId>, bool) {
        let since = |silent_ms: u16| now.saturating_sub(Duration::from_millis(silent_ms.into()));
        let mut new = Vec::new();
        for (info, silent_ms) in &members.listed {
            if self.record_indirect(info.clone(), zone, region, since(*silent_ms), now) {
                new.push(info.host.clone());
            }
        }
        if members.is_complete {
            return (new, true);
        }
        let is_live = |peer: &&mut Peer| peer.zone == *zone && peer.is_live(now);
        let mut live: Vec<&mut Peer> = self.peers.values_mut().filter(is_live).collect();
        let digests = live.iter().map(|peer| peer.digest).chain(own_digest);
        let matches = digests.fold(0_u64, u64::wrapping_add) == members.digest;
        if matches || live.len() <= 2 * usize::from(members.count) {
            for peer in &mut live {
                let is_listed = members.listed.iter().any(|(info, _)| info.host == peer.info.host);
                if !is_listed {
                    peer.last_heard = peer.last_heard.max(since(members.silent_ms));
                }
            }
        }
        (new, matches)
    }

    /// All known hosts, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.values()
    }

    /// Live hosts, ordered by name.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.values().filter(move |peer| peer.is_live(now))
    }

    /// Sum of the digests of the live hosts. It changes with each change of a live host, but not
    /// with its load.
    pub fn live_digest(&self, now: Moment) -> u64 {
        self.live(now).fold(0, |sum, peer| sum.wrapping_add(peer.digest))
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
