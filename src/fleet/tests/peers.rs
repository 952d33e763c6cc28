//! Liveness of hosts.

use super::{addr, heartbeat, info, secs};
use crate::{
    fleet::{Heartbeat, HostInfo, Message, Peers},
    prelude::*,
};

/// Guards against a silent host that is live for more than two seconds, or stays lost after its
/// next heartbeat.
#[test]
fn a_silent_host_is_lost_until_it_is_heard_again() {
    let mut peers = Peers::default();
    assert!(peers.record_heartbeat(heartbeat("h", 1, 1), "north".into(), secs(1.0)));
    assert!(!peers.record_heartbeat(heartbeat("h", 1, 2), "north".into(), secs(1.5)));
    assert_eq!(peers.live(secs(3.0)).count(), 1);
    assert_eq!(peers.live(secs(3.3)).count(), 0);
    assert!(peers.record_heartbeat(heartbeat("h", 1, 3), "north".into(), secs(4.0)));
    assert_eq!(peers.live(secs(4.0)).count(), 1);
}

/// Guards against a lost host that is reported more than once before it is heard again.
#[test]
fn a_lost_host_is_reported_once() {
    let mut peers = Peers::default();
    peers.record_heartbeat(heartbeat("h", 1, 1), "north".into(), secs(1.0));
    assert!(peers.detect_lost(secs(2.0)).is_empty());
    assert_eq!(peers.detect_lost(secs(3.0)).len(), 1);
    assert!(peers.detect_lost(secs(4.0)).is_empty());
    peers.record_heartbeat(heartbeat("h", 1, 2), "north".into(), secs(5.0));
    assert!(peers.detect_lost(secs(5.1)).is_empty());
    assert_eq!(peers.detect_lost(secs(7.0)).len(), 1);
}

/// Guards against datagrams that arrive late, or date from before a restart, and replace newer
/// state.
#[test]
fn outdated_heartbeats_are_ignored() {
    let leaving = |start_ms, sequence| Heartbeat {
        info: HostInfo { leaving: true, ..info("h", start_ms, sequence) },
        ..heartbeat("h", start_ms, sequence)
    };
    let mut peers = Peers::default();
    peers.record_heartbeat(heartbeat("h", 2, 5), "north".into(), secs(1.0));
    peers.record_heartbeat(leaving(2, 4), "north".into(), secs(1.1));
    peers.record_heartbeat(leaving(1, 9), "north".into(), secs(1.2));
    assert!(peers.live(secs(1.3)).all(|peer| !peer.info.leaving));
}

/// Guards against a host that is ignored for good after it restarts with its wall clock set back,
/// so that its start time is lower than before.
#[test]
fn a_host_is_heard_again_after_its_clock_is_set_back() {
    let mut peers = Peers::default();
    peers.record_heartbeat(heartbeat("h", 9_000, 5), "north".into(), secs(1.0));
    peers.record_heartbeat(heartbeat("h", 4_000, 1), "north".into(), secs(3.0));
    assert_eq!(peers.live(secs(3.0)).map(|peer| peer.info.start_ms).collect::<Vec<_>>(), [4_000]);
}

/// Guards against a host of another zone that is lost early because an older report arrives after a
/// newer one, or that stays live because reports repeat state from before its silence.
#[test]
fn the_latest_time_at_which_a_host_was_heard_counts() {
    let (zone, region) = (ZoneId::from("north-b"), RegionId::from("north"));
    let mut peers = Peers::default();
    assert!(peers.record_indirect(info("h", 1, 7), &zone, &region, secs(1.9), secs(2.0)));
    assert!(!peers.record_indirect(info("h", 1, 6), &zone, &region, secs(1.2), secs(2.1)));
    assert_eq!(peers.live(secs(3.5)).count(), 1);
    assert!(!peers.record_indirect(info("h", 1, 7), &zone, &region, secs(1.9), secs(3.5)));
    assert_eq!(peers.live(secs(3.7)).count(), 0, "reported again, but silent since");
    assert!(peers.record_indirect(info("h", 1, 9), &zone, &region, secs(3.8), secs(3.9)));
}

/// Guards against a datagram that is decoded differently from how it was encoded, and against a
/// panic while a damaged one is decoded.
#[test]
fn datagrams_round_trip_and_damage_causes_no_panic() {
    let mut sent = heartbeat("h", 1, 2);
    sent.load.in_flight = vec![(7, 3)];
    sent.load.recent_objects = vec![(7, 11)];
    sent.contacts = vec![(addr(9), "north-b".into())];
    let sent = Message::Heartbeat(sent);
    let bytes = sent.encode().expect("a datagram can be encoded");
    assert_eq!(Message::decode(&bytes).expect("a datagram"), sent);
    for at in 0..bytes.len() {
        for value in [0, 1, 127, 128, 255] {
            let mut damaged = bytes.clone();
            damaged[at] = value;
            let _ = Message::decode(&damaged);
            let _ = Message::decode(&damaged[..at]);
        }
    }
}
