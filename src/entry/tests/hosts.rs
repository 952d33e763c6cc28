//! Who lives, and whom callers are sent to.

use super::secs;
use crate::{
    entry::{Beat, LiveHost, LookupPlace, Peers, Stamp, lookup::addresses},
    prelude::*,
};

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn beat(host: &str, start: u64, turn: u64) -> Beat {
    Beat {
        callers: addr(1),
        control: addr(2),
        crashes: Vec::new(),
        demand: Vec::new(),
        gossip: addr(3),
        host: host.into(),
        leaving: false,
        peers: Vec::new(),
        running: Vec::new(),
        stamp: Stamp::default(),
        start,
        turn,
        zone: "north-a".into(),
    }
}

/// A silent host is taken for lost within two seconds, and lives again with its next word.
#[test]
fn silence_is_loss() {
    let mut peers = Peers::default();
    assert!(peers.heard(beat("h", 1, 1), "north".into(), secs(1.0)));
    assert!(!peers.heard(beat("h", 1, 2), "north".into(), secs(1.5)));
    assert_eq!(peers.live(secs(3.0)).count(), 1);
    assert_eq!(peers.live(secs(3.3)).count(), 0);
    assert!(peers.heard(beat("h", 1, 3), "north".into(), secs(4.0)));
    assert_eq!(peers.live(secs(4.0)).count(), 1);
}

/// A datagram that was overtaken, or comes from the start before the last, says nothing.
#[test]
fn old_words_do_not_count() {
    let mut peers = Peers::default();
    peers.heard(beat("h", 2, 5), "north".into(), secs(1.0));
    peers.heard(Beat { leaving: true, ..beat("h", 2, 4) }, "north".into(), secs(1.1));
    peers.heard(Beat { leaving: true, ..beat("h", 1, 9) }, "north".into(), secs(1.2));
    assert!(peers.live(secs(1.3)).all(|peer| !peer.beat.leaving));
}

/// A host starts again after its wall clock was set back: by its start it would be older than
/// before. After a silence its words count all the same.
#[test]
fn a_host_whose_clock_went_back_is_heard_again() {
    let mut peers = Peers::default();
    peers.heard(beat("h", 9_000, 5), "north".into(), secs(1.0));
    peers.heard(beat("h", 4_000, 1), "north".into(), secs(3.0));
    assert_eq!(peers.live(secs(3.0)).map(|peer| peer.beat.start).collect::<Vec<_>>(), [4_000]);
}

/// Callers are sent to all hosts of their region, and to the others only where that has none.
#[test]
fn callers_are_sent_to_their_region() {
    let host = |name: &str, region: &str, port| LiveHost {
        callers: addr(port),
        host: name.into(),
        region: region.into(),
        zone: "x".into(),
    };
    let hosts = [host("a", "north", 1), host("b", "south", 2), host("c", "north", 3)];
    let place = |region: &str| LookupPlace { region: region.into(), zone: "x".into() };
    assert_eq!(addresses(&hosts, &place("north")), [addr(1), addr(3)]);
    assert_eq!(addresses(&hosts, &place("west")), [addr(1), addr(2), addr(3)]);
}

/// A beat is read back as it was written, and damaged ones are refused or read, never a panic.
#[test]
fn beats_survive_the_way_and_damage() {
    let mut sent = beat("h", 1, 2);
    sent.running = vec![(7, 3)];
    sent.peers = vec![addr(9)];
    let bytes = postcard::to_allocvec(&sent).expect("a beat can be encoded");
    assert_eq!(postcard::from_bytes::<Beat>(&bytes).expect("a beat"), sent);
    for at in 0..bytes.len() {
        for value in [0, 1, 127, 128, 255] {
            let mut damaged = bytes.clone();
            damaged[at] = value;
            let _ = postcard::from_bytes::<Beat>(&damaged);
            let _ = postcard::from_bytes::<Beat>(&damaged[..at]);
        }
    }
}
