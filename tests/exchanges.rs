//! How often a running host exchanges with a peer that never has enough.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up fails the test")]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use lavenderplank::{
    daemon::PeerLink,
    membership::{Digest, Membership, MembershipLimits},
    peer::{HandoverAck, HandoverChunk, ManifestReply, PartReply, PartRequest, PeerError, Result},
    standin::fleet::{Fleet, FleetPlan},
    view::HostView,
};

#[path = "support/hosts.rs"]
mod hosts;

use hosts::until;

/// Most exchanges within one heartbeat: two partners in the zone, one elsewhere, one that was named,
/// one round more for news, and a follow-up to each.
const MOST: usize = 16;

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
    let rpc = SocketAddr::from(([127, 0, 0, 1], 1));
    let own = HostView {
        address: rpc,
        adopted: Vec::new(),
        generation: 0,
        id: "forgetful".into(),
        incarnation: 1,
        leaving: false,
        region: place.region.clone(),
        rpc,
        zone: place.zone.clone(),
    };
    let peer = Membership::new(own, MembershipLimits::default()).started_at(1);
    let link = Arc::new(Forgetful { asked: Mutex::default(), peer: Mutex::new(peer) });
    let _host = fleet.start_over(link.clone(), "a-1", place, vec![rpc]).await.unwrap();
    until(|| async { 5 < link.asked.lock().unwrap().len() }).await;
    let asked = link.asked.lock().unwrap();
    assert!(asked.values().all(|count| *count <= MOST), "{asked:?}");
    assert!(asked.values().any(|count| 1 < *count), "nothing was owed: {asked:?}");
}
