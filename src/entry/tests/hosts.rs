//! Who lives, and whom callers are sent to.

use std::collections::BTreeSet;

use super::secs;
use crate::{
    entry::{
        CallerLocation, LiveHost, Revisions, Stamp, StorePart,
        lookup::host_addresses,
        peer_queries::{PeerQueries, QueryOutcome},
        stale_records::{HostRecord, StaleRecordTracker},
        sync::{RawObjects, ReceivedState, ResponseCache, StateDiff, parse_revisions},
        watcher_election::WatcherElection,
    },
    fleet::{HostInfo, Load, Peer, StateSource},
    prelude::*,
};

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Hosts are replaced for good under new names. Their records go after ten minutes of silence; a
/// host that was heard in between, the own one, and all while nobody is heard stay.
#[test]
fn records_of_hosts_that_are_gone_are_removed() {
    let record =
        |port| HostRecord { gossip: addr(port), key: format!("hosts/{port}").into(), version: 1 };
    let listed = [record(1), record(2), record(3)];
    let (own, heard) = (addr(1), [addr(2)].into());
    let mut records = StaleRecordTracker::default();
    assert!(records.find_stale(&listed, &heard, own, secs(0.0)).is_empty());
    assert!(records.find_stale(&listed, &heard, own, secs(599.0)).is_empty());
    assert!(records.find_stale(&listed, &Default::default(), own, secs(601.0)).is_empty());
    assert_eq!(records.find_stale(&listed, &heard, own, secs(601.0)), [record(3)]);
    let all = [addr(2), addr(3)].into();
    assert!(records.find_stale(&listed, &all, own, secs(660.0)).is_empty());
    assert!(
        records.find_stale(&listed, &heard, own, secs(720.0)).is_empty(),
        "it was heard meanwhile"
    );
}

/// Callers are sent to all hosts of their region, and to the others only where that has none.
#[test]
fn callers_are_sent_to_their_region() {
    let host = |name: &str, region: &str, port| LiveHost {
        callers: addr(port),
        host: name.into(),
        is_strained: false,
        region: region.into(),
        zone: "x".into(),
    };
    let hosts = [host("a", "north", 1), host("b", "south", 2), host("c", "north", 3)];
    let place = |region: &str| CallerLocation { region: region.into(), zone: "x".into() };
    assert_eq!(host_addresses(&hosts, &place("north")), [addr(1), addr(3)]);
    assert_eq!(host_addresses(&hosts, &place("west")), [addr(1), addr(2), addr(3)]);
}

fn peer(host: &str, region: &str, reaches_store: bool) -> Peer {
    let info = HostInfo {
        callers: addr(1),
        control: addr(2),
        gossip: addr(3),
        host: host.into(),
        leaving: false,
        reaches_store,
        start_ms: 1,
        strained: false,
        sequence: 1,
    };
    Peer {
        declaration_check: None,
        last_heard: secs(1.0),
        is_lost: false,
        load: Load::default(),
        info,
        region: region.into(),
        stamp: None,
        zone: "north-a".into(),
    }
}

/// A region has more hosts than an answer names. Each host is named to the callers of some zone, and
/// to about as many as any other; a zone's callers are named the same ones again, also when a host
/// is lost, but for a few.
#[test]
fn all_hosts_of_a_large_region_get_callers() {
    let host = |at: u16| LiveHost {
        callers: addr(at),
        host: format!("h-{at}").into(),
        is_strained: false,
        region: "north".into(),
        zone: format!("north-{}", at % 3).into(),
    };
    let hosts: Vec<LiveHost> = (0..170).map(host).collect();
    let named = |hosts: &[LiveHost], zone: u16| -> BTreeSet<SocketAddr> {
        let zone = format!("north-{zone}").into();
        host_addresses(hosts, &CallerLocation { region: "north".into(), zone })
            .into_iter()
            .collect()
    };
    let parts: Vec<BTreeSet<SocketAddr>> = (0..3).map(|zone| named(&hosts, zone)).collect();
    assert!(parts.iter().all(|part| part.len() == 64));
    assert_eq!(parts.iter().flatten().collect::<BTreeSet<_>>().len(), 170);
    let fewer = named(&hosts[1..], 1);
    assert!(61 <= fewer.intersection(&parts[1]).count(), "{fewer:?}");
}

/// One of four hosts of a region gets too little of its processor, and callers are sent to the three
/// others. When most of them say so, callers would crowd the few that are left: all are named.
#[test]
fn strained_hosts_are_left_out_while_they_are_few() {
    let named = |strained: usize| {
        let host = |at: u16| LiveHost {
            callers: addr(at),
            host: format!("h-{at}").into(),
            is_strained: usize::from(at) < strained,
            region: "north".into(),
            zone: "x".into(),
        };
        let hosts: Vec<LiveHost> = (0..4).map(host).collect();
        host_addresses(&hosts, &CallerLocation { region: "north".into(), zone: "x".into() }).len()
    };
    assert_eq!([0, 1, 2, 3, 4].map(named), [4, 3, 2, 4, 4]);
}

/// Six hosts of a region: two watch the store, and each finds out by itself whether it is one of
/// them. One of the two no longer reaches the store: a third takes its place.
#[test]
fn two_hosts_of_a_region_watch() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let watchers = |unreached: Option<&str>| -> Vec<&str> {
        let watches = |host: &&str| {
            let others = names.iter().filter(|name| *name != host);
            let mut peers: Vec<Peer> =
                others.map(|name| peer(name, "north", Some(*name) != unreached)).collect();
            peers.push(peer("far", "south", true));
            WatcherElection::default().decide(
                &(*host).into(),
                &"north".into(),
                peers.iter(),
                secs(1.0),
            )
        };
        names.into_iter().filter(watches).collect()
    };
    let first = |host: &&&str| {
        let peers: Vec<Peer> = names.iter().map(|name| peer(name, "north", true)).collect();
        let mut election = WatcherElection::default();
        election.decide(&(**host).into(), &"north".into(), peers.iter(), secs(1.0));
        !election.is_standby()
    };
    assert_eq!(names.iter().filter(first).count(), 1, "one of them fetches changes at once");
    let two = watchers(None);
    assert_eq!(two.len(), 2);
    let three = watchers(Some(two[0]));
    assert_eq!(three.len(), 3, "the one that does not know of its own trouble, and two others");
    assert!(two.iter().all(|host| three.contains(host)));
}

/// Right after a start a host hears nobody and watches; when it hears enough others it goes on for
/// a while, since who lives changes often then.
#[test]
fn a_host_alone_watches_and_stops_late() {
    let mut election = WatcherElection::default();
    let (host, region) = ("z".into(), "north".into());
    assert!(election.decide(&host, &region, std::iter::empty(), secs(1.0)));
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let peers: Vec<Peer> = names.iter().map(|name| peer(name, "north", true)).collect();
    let mut decide = |at| election.decide(&host, &region, peers.iter(), secs(at));
    assert!(decide(2.0));
    assert!(decide(4.9));
    assert!(!decide(5.1));
}

/// All hosts start at once, and each lists to be able to serve. As soon as they hear each other
/// only the chosen go on, before the others' first watch.
#[test]
fn a_new_host_stops_at_once_when_it_hears_enough_others() {
    let mut election = WatcherElection::new(secs(1.0));
    let (host, region) = ("z".into(), "north".into());
    assert!(election.decide(&host, &region, std::iter::empty(), secs(1.0)));
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let peers: Vec<Peer> = names.iter().map(|name| peer(name, "north", true)).collect();
    assert!(!election.decide(&host, &region, peers.iter(), secs(1.4)));
}

/// A watcher whose store does not answer says so, and may be chosen again later.
#[test]
fn a_host_without_the_store_says_so() {
    let mut election = WatcherElection::default();
    assert!(election.reaches_store(secs(1.0)));
    election.store_failed(secs(1.0));
    election.store_failed(secs(5.0));
    assert!(!election.reaches_store(secs(8.9)));
    assert!(election.reaches_store(secs(9.1)));
    election.store_failed(secs(10.0));
    election.store_answered();
    assert!(election.reaches_store(secs(10.0)));
}

/// What a host asks another for holds what changed, and the names of all there is, so that what is
/// gone goes.
#[test]
fn a_difference_brings_a_host_up_to_date() {
    let object = |part, name: &str, revision: u64| {
        ((part, Arc::from(name)), (revision, bytes::Bytes::from(revision.to_string())))
    };
    let old: RawObjects = [
        object(StorePart::Targets, "t-1", 1),
        object(StorePart::Targets, "t-2", 2),
        object(StorePart::Declared, "main", 3),
    ]
    .into();
    let new: RawObjects = [
        object(StorePart::Targets, "t-2", 2),
        object(StorePart::Targets, "t-3", 7),
        object(StorePart::Declared, "main", 3),
    ]
    .into();
    let at = |revision| Revisions { declared: 3, evacuations: 0, targets: revision };
    let told = StateDiff::of(&new, at(7), at(2));
    let text = serde_json::to_string(&told.parts).expect("JSON");
    let told = StateDiff { parts: serde_json::from_str(&text).expect("a difference") };
    assert!(!text.contains("\"text\":\"2\"") && text.contains("\"text\":\"7\""));
    let all = told.apply_to(StorePart::Targets, &old);
    let names: Vec<&str> = all.iter().map(|(name, _, _)| &**name).collect();
    assert_eq!(names, ["t-2", "t-3"]);
    assert_eq!(told.apply_to(StorePart::Declared, &old).len(), 1);
    assert_eq!(parse_revisions(Some("3-0-2")), at(2));
    assert_eq!(parse_revisions(Some("x")), Revisions::default());
}

/// A stamp of a later version says more only where it says something else: a listing tells the
/// version of the whole store, which rises with objects of other kinds.
#[test]
fn a_later_version_of_the_same_is_not_ahead() {
    let stamp = |revision, targets, declared| Stamp {
        declared,
        evacuations: 0,
        targets,
        revisions: Revisions { declared: 1, evacuations: 1, targets: revision },
    };
    assert!(stamp(9, 1, 1).parts_ahead_of(&stamp(5, 1, 1)).is_empty());
    assert_eq!(stamp(9, 1, 1).parts_ahead_of(&stamp(5, 2, 1)), [StorePart::Targets]);
    assert!(stamp(5, 2, 1).parts_ahead_of(&stamp(9, 1, 1)).is_empty());
    assert_eq!(stamp(1, 1, 4).parts_ahead_of(&stamp(9, 1, 3)), [StorePart::Declared]);
}

/// One of two hosts that know more does not answer: the other is asked at once, and this host
/// counts as unanswered until one answers. With nobody left to ask there is a pause.
#[test]
fn a_host_that_does_not_answer_is_not_asked_again_at_once() {
    let region = RegionId::from("north");
    let ahead = |port, region: &str| {
        let stamp = Stamp { declared: 2, ..Stamp::default() };
        (RegionId::from(region), StateSource { control: addr(port), stamp })
    };
    let others = [ahead(1, "south"), ahead(2, "north")];
    let mut questions = PeerQueries::new(addr(3));
    let next = |it: &mut PeerQueries, now| {
        let others = others.iter().map(|(region, informed)| (region, informed.clone()));
        it.next_peer(&Stamp::default(), others, &region, false, secs(now))
    };
    assert_eq!(next(&mut questions, 1.0), Some(addr(2)));
    assert_eq!(next(&mut questions, 1.1), None, "one question at a time");
    questions.record_outcome(addr(2), QueryOutcome::Failed, secs(1.2));
    assert!(questions.is_unanswered(secs(1.2)));
    assert_eq!(next(&mut questions, 1.2), Some(addr(1)));
    questions.record_outcome(addr(1), QueryOutcome::Failed, secs(1.3));
    assert_eq!(next(&mut questions, 1.3), None);
    assert_eq!(next(&mut questions, 1.4), None, "both failed: a pause");
    assert_eq!(next(&mut questions, 1.9), Some(addr(2)));
    questions.record_outcome(addr(2), QueryOutcome::Answered, secs(2.0));
    assert!(!questions.is_unanswered(secs(2.0)));
}

/// Hosts whose queries are rejected for a moment all begin to follow the store.
#[test]
fn a_busy_host_is_asked_again_before_the_store() {
    let region = RegionId::from("north");
    let stamp = Stamp { declared: 2, ..Stamp::default() };
    let informed = [(&region, StateSource { control: addr(1), stamp })];
    let mut questions = PeerQueries::new(addr(3));
    for at in [1.0, 1.6, 2.2] {
        let next = |it: &mut PeerQueries, now| {
            it.next_peer(&Stamp::default(), informed.clone().into_iter(), &region, false, secs(now))
        };
        assert_eq!(next(&mut questions, at), Some(addr(1)));
        questions.record_outcome(addr(1), QueryOutcome::Busy, secs(at));
        assert!(!questions.is_unanswered(secs(at)));
        assert_eq!(next(&mut questions, at), None, "a pause");
    }
    questions.record_outcome(addr(1), QueryOutcome::Busy, secs(2.5));
    assert!(questions.is_unanswered(secs(2.5)), "busy for too long");
}

/// All hosts that lack a change query the same host, whose link carries it to everybody.
#[test]
fn hosts_that_lack_the_same_ask_different_ones() {
    let region = RegionId::from("north");
    let stamp = Stamp { declared: 2, ..Stamp::default() };
    let informed = (1..=4).map(|port| (&region, StateSource { control: addr(port), stamp }));
    let mut asked: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for asker in 100..200 {
        let mut questions = PeerQueries::new(addr(asker));
        let next =
            questions.next_peer(&Stamp::default(), informed.clone(), &region, false, secs(1.0));
        *asked.entry(next.expect("one that knows more")).or_default() += 1;
    }
    assert_eq!(asked.len(), 4, "{asked:?}");
    assert!(asked.values().all(|count| *count < 50), "{asked:?}");
}

/// A declaration with many routes and the entries of many targets go to every host of a region at
/// once. Packed they fit crowded links; the same question is packed once.
#[test]
fn what_hosts_tell_each_other_is_packed() {
    let mut raw = RawObjects::new();
    for at in 0..450_u32 {
        let entry = format!(
            r#"{{"metadata":{{"name":"i-{:010x}","revision":{at}}},"spec":{{}},"info":{{"service":"s","slots":3}},"status":{{"state":"ready","sequence":{at}}}}}"#,
            at.wrapping_mul(2_654_435_761)
        );
        raw.insert(
            (StorePart::Targets, format!("i-{at}").into()),
            (u64::from(at) + 1, entry.into()),
        );
    }
    let rule = |at: u32| {
        format!(
            r#"{{"name":"r{at}","match":{{"prefix":"/{:x}/"}},"action":{{"service":"s","timeout":"1200ms","maxAttempts":2}},"kind":"safe"}}"#,
            at.wrapping_mul(2_654_435_761)
        )
    };
    let rules: Vec<String> = (0..1_900).map(rule).collect();
    let declared = format!(r#"{{"spec":{{"rules":[{}]}}}}"#, rules.join(","));
    raw.insert((StorePart::Declared, "main".into()), (900, declared.into()));
    let known = Revisions { declared: 900, evacuations: 0, targets: 900 };
    let plain = StateDiff::of(&raw, known, Revisions::default());
    let mut last = ResponseCache::default();
    let packed = last.response(&raw, known, Revisions::default()).expect("it can be packed");
    let size = serde_json::to_vec(&plain.parts).expect("it has a form").len();
    assert!(packed.len() * 5 < size, "{} of {size}", packed.len());
    assert_eq!(ReceivedState::decode(&packed).expect("it can be read").diff, plain);
    assert!(ReceivedState::decode(&packed[..packed.len() / 2]).is_err(), "a cut answer is none");
    let bytes = last.compressed_bytes();
    let again = last.response(&raw, known, Revisions::default()).expect("it can be packed");
    assert_eq!(again, packed);
    assert_eq!(last.compressed_bytes(), bytes, "packed once");
    let newer = last.response(&raw, known, known).expect("it can be packed");
    assert!(newer.len() < packed.len());
    assert_eq!(ReceivedState::decode(&newer).expect("it can be read").diff, StateDiff::default());
}

proptest::proptest! {
    /// A damaged or foreign answer of another host is no difference, and ends nothing.
    #[test]
    fn damaged_answers_are_refused(bytes in proptest::collection::vec(0_u8..=255, 0..400), at in 0..200_usize) {
        proptest::prop_assert!(ReceivedState::decode(&bytes).is_err());
        let raw = RawObjects::from([((StorePart::Targets, "t-1".into()), (3, "{}".into()))]);
        let known = Revisions { targets: 3, ..Revisions::default() };
        let whole = ResponseCache::default().response(&raw, known, Revisions::default());
        let mut packed = whole.expect("it can be packed").to_vec();
        let at = at % packed.len();
        packed.truncate(at);
        proptest::prop_assert!(ReceivedState::decode(&packed).is_err());
    }
}
