//! Who lives.

use super::{addr, heartbeat, info, secs};
use crate::{
    fleet::{Heartbeat, HostInfo, Message, Peers},
    prelude::*,
};

/// A silent host is taken for lost within two seconds, and lives again with its next word.
#[test]
fn silence_is_loss() {
    let mut peers = Peers::default();
    assert!(peers.record_heartbeat(heartbeat("h", 1, 1), "north".into(), secs(1.0)));
    assert!(!peers.record_heartbeat(heartbeat("h", 1, 2), "north".into(), secs(1.5)));
    assert_eq!(peers.live(secs(3.0)).count(), 1);
    assert_eq!(peers.live(secs(3.3)).count(), 0);
    assert!(peers.record_heartbeat(heartbeat("h", 1, 3), "north".into(), secs(4.0)));
    assert_eq!(peers.live(secs(4.0)).count(), 1);
}

/// A lost host is told once, and again only after it was heard.
#[test]
fn a_loss_is_told_once() {
    let mut peers = Peers::default();
    peers.record_heartbeat(heartbeat("h", 1, 1), "north".into(), secs(1.0));
    assert!(peers.detect_lost(secs(2.0)).is_empty());
    assert_eq!(peers.detect_lost(secs(3.0)).len(), 1);
    assert!(peers.detect_lost(secs(4.0)).is_empty());
    peers.record_heartbeat(heartbeat("h", 1, 2), "north".into(), secs(5.0));
    assert!(peers.detect_lost(secs(5.1)).is_empty());
    assert_eq!(peers.detect_lost(secs(7.0)).len(), 1);
}

/// A datagram that was overtaken, or comes from the start before the last, says nothing.
#[test]
fn old_words_do_not_count() {
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

/// A host starts again after its wall clock was set back: by its start it would be older than
/// before. After a silence its words count all the same.
#[test]
fn a_host_whose_clock_went_back_is_heard_again() {
    let mut peers = Peers::default();
    peers.record_heartbeat(heartbeat("h", 9_000, 5), "north".into(), secs(1.0));
    peers.record_heartbeat(heartbeat("h", 4_000, 1), "north".into(), secs(3.0));
    assert_eq!(peers.live(secs(3.0)).map(|peer| peer.info.start_ms).collect::<Vec<_>>(), [4_000]);
}

/// A host of another zone is told of by two reports that cross. The one that saw it later counts,
/// and the other one does not end its life sooner; when nobody hears it any more it is lost.
#[test]
fn the_latest_word_of_a_host_counts() {
    let (zone, region) = (ZoneId::from("north-b"), RegionId::from("north"));
    let mut peers = Peers::default();
    assert!(peers.record_indirect(info("h", 1, 7), &zone, &region, secs(1.9), secs(2.0)));
    assert!(!peers.record_indirect(info("h", 1, 6), &zone, &region, secs(1.2), secs(2.1)));
    assert_eq!(peers.live(secs(3.5)).count(), 1);
    assert!(!peers.record_indirect(info("h", 1, 7), &zone, &region, secs(1.9), secs(3.5)));
    assert_eq!(peers.live(secs(3.7)).count(), 0, "told again, but silent since");
    assert!(peers.record_indirect(info("h", 1, 9), &zone, &region, secs(3.8), secs(3.9)));
}

/// A datagram is read back as it was written, and damaged ones are refused or read, never a panic.
#[test]
fn datagrams_survive_the_way_and_damage() {
    let mut sent = heartbeat("h", 1, 2);
    sent.load.in_flight = vec![(7, 3)];
    sent.load.recent_objects = vec![(7, 11)];
    sent.contacts = vec![(addr(9), "north-b".into())];
    let sent = Message::Heartbeat(sent);
    let bytes = postcard::to_allocvec(&sent).expect("a datagram can be encoded");
    assert_eq!(postcard::from_bytes::<Message>(&bytes).expect("a datagram"), sent);
    for at in 0..bytes.len() {
        for value in [0, 1, 127, 128, 255] {
            let mut damaged = bytes.clone();
            damaged[at] = value;
            let _ = postcard::from_bytes::<Message>(&damaged);
            let _ = postcard::from_bytes::<Message>(&damaged[..at]);
        }
    }
}
