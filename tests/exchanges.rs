//! What a running host makes of the answers of peers that are not as they should be.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up fails the test")]

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use lavenderplank::{
    daemon::PeerLink,
    manifest::SignedManifest,
    membership::{Digest, Membership, MembershipLimits, Payload},
    peer::{HandoverAck, HandoverChunk, ManifestReply, PartReply, PartRequest, PeerError, Result},
    standin::{
        fleet::{Fleet, FleetPlan},
        links::Place,
    },
    timeline::{EventKind, Filter},
    view::HostView,
};

#[path = "support/hosts.rs"]
mod hosts;

use hosts::until;

/// Most exchanges within one heartbeat: two partners in the zone, one elsewhere, one that was named,
/// one round more for news, and a follow-up to each.
const MOST: usize = 16;

const FIRST: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
const SECOND: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 2);

/// A peer with nothing to tell.
fn peer(place: &Place, rpc: SocketAddr) -> Mutex<Membership> {
    let own = HostView {
        address: rpc,
        adopted: Vec::new(),
        generation: 0,
        id: rpc.to_string().into(),
        incarnation: 1,
        leaving: false,
        region: place.region.clone(),
        rpc,
        zone: place.zone.clone(),
    };
    Mutex::new(Membership::new(own, MembershipLimits::default()).with_start_time(1))
}

/// A peer that answers every exchange and never takes over a list of the zone's owners.
struct Forgetful {
    /// Exchanges by the asking host's heartbeat, those that could tell it of a list.
    asked: Mutex<BTreeMap<u64, usize>>,
    peer: Mutex<Membership>,
}

#[async_trait]
impl PeerLink for Forgetful {
    async fn exchange(&self, _to: SocketAddr, digest: &Digest) -> Result<Digest> {
        if 0 < digest.tenure_fence {
            *self.asked.lock().unwrap().entry(digest.from.beat).or_default() += 1;
        }
        let mut peer = self.peer.lock().unwrap();
        peer.tick(Duration::from_millis(digest.from.beat));
        Ok(peer.receive(digest, Duration::from_millis(digest.from.beat)))
    }

    async fn handover(&self, to: SocketAddr, _chunk: &HandoverChunk) -> Result<HandoverAck> {
        Err(PeerError::Unreachable { to, why: "unused".into() })
    }

    async fn manifest(&self, _to: SocketAddr) -> Result<ManifestReply> {
        Ok(ManifestReply::default())
    }

    async fn part(&self, _to: SocketAddr, _request: &PartRequest) -> Result<PartReply> {
        Ok(PartReply::default())
    }
}

// A host tells a peer who shares the zone's targets. The peer's answer still asks for the list: it
// holds it up to its next tick, or can't take it at all. Each answer made the host ask again at
// once, so that two hosts of a zone that had just started kept a core busy with thousands of
// exchanges a second, until a tick ended it.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_never_has_enough_is_asked_a_few_times_a_heartbeat() {
    let fleet = Fleet::open(FleetPlan { regions: 1, zones_per_region: 1 }).await.unwrap();
    fleet.apply(1).await.unwrap();
    let place = &fleet.places[0];
    let link = Arc::new(Forgetful { asked: Mutex::default(), peer: peer(place, FIRST) });
    let _host = fleet.start_over(link.clone(), "a-1", place, vec![FIRST]).await.unwrap();
    until(|| async { 5 < link.asked.lock().unwrap().len() }).await;
    let asked = link.asked.lock().unwrap();
    assert!(asked.values().all(|count| *count <= MOST), "{asked:?}");
    assert!(asked.values().any(|count| 1 < *count), "nothing was owed: {asked:?}");
}

/// The first peer has just started and answers at once; the second one knows the manifest in force
/// and is slow.
struct Unequal {
    empty: Mutex<Membership>,
    full: Mutex<Membership>,
    in_force: SignedManifest,
}

#[async_trait]
impl PeerLink for Unequal {
    async fn exchange(&self, to: SocketAddr, digest: &Digest) -> Result<Digest> {
        let peer = if to == FIRST { &self.empty } else { &self.full };
        if to == SECOND {
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        Ok(peer.lock().unwrap().receive(digest, Duration::ZERO))
    }

    async fn handover(&self, to: SocketAddr, _chunk: &HandoverChunk) -> Result<HandoverAck> {
        Err(PeerError::Unreachable { to, why: "unused".into() })
    }

    async fn manifest(&self, to: SocketAddr) -> Result<ManifestReply> {
        Ok(ManifestReply { signed: (to == SECOND).then(|| self.in_force.clone()) })
    }

    async fn part(&self, _to: SocketAddr, _request: &PartRequest) -> Result<PartReply> {
        Ok(PartReply::default())
    }
}

// The platform shows an older manifest that was put back, and of the two peers that a new host asks
// the one that answers first has just started as well and holds none. If that answer ended the wait,
// the host would serve by the older manifest until the second peer told it better.
#[tokio::test(flavor = "multi_thread")]
async fn one_peer_without_a_manifest_does_not_end_a_new_hosts_wait() {
    let fleet = Fleet::open(FleetPlan { regions: 1, zones_per_region: 1 }).await.unwrap();
    fleet.apply(1).await.unwrap();
    let place = &fleet.places[0];
    let in_force = fleet.signed(&fleet.manifest(2)).unwrap();
    let (empty, full) = (peer(place, FIRST), peer(place, SECOND));
    full.lock().unwrap().set_payload(Payload { sequence: 2, ..Payload::default() });
    let link = Arc::new(Unequal { empty, full, in_force });
    let host = fleet.start_over(link, "a-1", place, vec![FIRST, SECOND]).await.unwrap();
    until(|| async { host.sequence() == Some(2) }).await;
    let events = host.recorder().events(&Filter::default());
    let taken =
        events.iter().filter(|event| matches!(event.kind, EventKind::ManifestInForce { .. }));
    assert_eq!(taken.count(), 1, "another one was in force before");
}
