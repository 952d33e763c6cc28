//! Tests of how hosts find each other and exchange state: host records, look-ups, the election of
//! watchers, and state queries.

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::secs;
use crate::{
    entry::{
        CallerLocation, LiveHost, Revisions, Stamp, StorePart,
        lookup::host_addresses,
        peer_queries::{PeerQueries, QueryOutcome},
        relay_host::{RelayQuery, choose_relay_host},
        stale_records::{HostRecord, StaleRecordTracker},
        watcher_election::{Candidate, WatcherElection},
    },
    fleet::{HostInfo, Peer, Peers, StateSource},
    prelude::*,
};

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Hosts are replaced by hosts with new names, and their records would remain in the store for
/// ever. A record is removed after ten minutes of silence, but not if the host was heard in
/// between, if it is the record of this host, or while no other host is heard.
#[test]
fn records_of_silent_hosts_are_removed() {
    let record =
        |port| HostRecord { gossip: addr(port), key: format!("hosts/{port}").into(), version: 1 };
    let listed = [record(1), record(2), record(3)];
    let (own, heard) = (addr(1), [addr(2)].into());
    let mut tracker = StaleRecordTracker::default();
    assert!(tracker.find_stale(&listed, &heard, own, secs(0.0)).is_empty());
    assert!(tracker.find_stale(&listed, &heard, own, secs(599.0)).is_empty());
    assert!(tracker.find_stale(&listed, &Default::default(), own, secs(601.0)).is_empty());
    assert_eq!(tracker.find_stale(&listed, &heard, own, secs(601.0)), [record(3)]);
    let all = [addr(2), addr(3)].into();
    assert!(tracker.find_stale(&listed, &all, own, secs(660.0)).is_empty());
    assert!(
        tracker.find_stale(&listed, &heard, own, secs(720.0)).is_empty(),
        "it was heard in between"
    );
}

/// A look-up returns all hosts of the caller's region, and hosts of other regions only if that
/// region has none.
#[test]
fn look_ups_return_hosts_of_the_callers_region() {
    let host = |name: &str, region: &str, port| LiveHost {
        callers: addr(port),
        host: name.into(),
        capacity: 10,
        is_strained: false,
        reaches_targets: true,
        relay: None,
        region: region.into(),
        zone: "x".into(),
    };
    let hosts = [host("a", "north", 1), host("b", "south", 2), host("c", "north", 3)];
    let location = |region: &str| CallerLocation { region: region.into(), zone: "x".into() };
    assert_eq!(host_addresses(&hosts, &location("north")), [addr(1), addr(3)]);
    assert_eq!(host_addresses(&hosts, &location("west")), [addr(1), addr(2), addr(3)]);
}

fn peer(host: &str, region: &str, reaches_store: bool) -> Peer {
    let info = HostInfo {
        capacity: 10,
        callers: addr(1),
        control: addr(2),
        gossip: addr(3),
        host: host.into(),
        leaving: false,
        reaches_store,
        start_ms: 1,
        reaches_targets: true,
        relay_port: None,
        strained: false,
        sequence: 1,
    };
    let mut peers = Peers::default();
    peers.record_indirect(info, &"north-a".into(), &region.into(), secs(1.0), secs(1.0));
    peers.iter().next().expect("it was recorded").clone()
}

fn north() -> &'static RegionId {
    static NORTH: std::sync::LazyLock<RegionId> = std::sync::LazyLock::new(|| "north".into());
    &NORTH
}

fn candidate(host: &HostId, has_state: bool) -> Candidate<'_> {
    Candidate { capacity: 10, host, has_state, region: north() }
}

/// A region has more hosts than fit in a response. Each host must be returned to the callers of
/// some zone, or it would get no requests. A zone's callers must get nearly the same hosts again
/// after one host is lost, or they would have to open new connections.
#[test]
fn look_ups_cover_all_hosts_of_a_large_region() {
    let host = |at: u16| LiveHost {
        callers: addr(at),
        host: format!("h-{at}").into(),
        capacity: 10,
        is_strained: false,
        reaches_targets: true,
        relay: None,
        region: "north".into(),
        zone: format!("north-{}", at % 3).into(),
    };
    let hosts: Vec<LiveHost> = (0..170).map(host).collect();
    let addresses = |hosts: &[LiveHost], zone: u16| -> BTreeSet<SocketAddr> {
        let zone = format!("north-{zone}").into();
        host_addresses(hosts, &CallerLocation { region: "north".into(), zone })
            .into_iter()
            .collect()
    };
    let subsets: Vec<BTreeSet<SocketAddr>> = (0..3).map(|zone| addresses(&hosts, zone)).collect();
    assert!(subsets.iter().all(|subset| subset.len() == 64));
    assert_eq!(subsets.iter().flatten().collect::<BTreeSet<_>>().len(), 170);
    let fewer = addresses(&hosts[1..], 1);
    assert!(61 <= fewer.intersection(&subsets[1]).count(), "{fewer:?}");
}

/// One of four hosts of a region gets too little CPU time, and look-ups return the three others. If
/// more than half are strained, the few others would be overloaded, so all are returned.
#[test]
fn strained_hosts_are_omitted_unless_most_are_strained() {
    let addresses = |strained: usize| {
        let host = |at: u16| LiveHost {
            callers: addr(at),
            host: format!("h-{at}").into(),
            capacity: 10,
            is_strained: usize::from(at) < strained,
            reaches_targets: true,
            relay: None,
            region: "north".into(),
            zone: "x".into(),
        };
        let hosts: Vec<LiveHost> = (0..4).map(host).collect();
        host_addresses(&hosts, &CallerLocation { region: "north".into(), zone: "x".into() }).len()
    };
    assert_eq!([0, 1, 2, 3, 4].map(addresses), [4, 3, 2, 4, 4]);
}

/// Guards against callers that are sent to hosts that reach no target, and against the few others
/// getting all callers if most are such hosts.
#[test]
fn hosts_that_reach_no_target_are_omitted_unless_most_are_such() {
    let addresses = |cut_off: u16| {
        let host = |at: u16| LiveHost {
            callers: addr(at),
            capacity: 10,
            host: format!("h-{at}").into(),
            is_strained: false,
            reaches_targets: cut_off <= at,
            region: "north".into(),
            relay: None,
            zone: "x".into(),
        };
        let hosts: Vec<LiveHost> = (0..4).map(host).collect();
        host_addresses(&hosts, &CallerLocation { region: "north".into(), zone: "x".into() }).len()
    };
    assert_eq!([0, 1, 2, 3, 4].map(addresses), [4, 3, 2, 4, 4]);
}

/// Six hosts of a region decide independently, and exactly two of them watch the store. If one of
/// the two no longer reaches the store, a third has to take its place.
#[test]
fn two_hosts_of_a_region_watch_the_store() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let watchers = |without_store: Option<&str>| -> Vec<&str> {
        let watches = |host: &&str| {
            let others = names.iter().filter(|name| *name != host);
            let mut peers: Vec<Peer> =
                others.map(|name| peer(name, "north", Some(*name) != without_store)).collect();
            peers.push(peer("far", "south", true));
            WatcherElection::default().decide(
                candidate(&(*host).into(), true),
                peers.iter(),
                secs(1.0),
            )
        };
        names.into_iter().filter(watches).collect()
    };
    let is_first = |host: &&&str| {
        let peers: Vec<Peer> = names.iter().map(|name| peer(name, "north", true)).collect();
        let mut election = WatcherElection::default();
        election.decide(candidate(&(**host).into(), true), peers.iter(), secs(1.0));
        !election.is_standby()
    };
    assert_eq!(names.iter().filter(is_first).count(), 1, "one watcher is not a standby");
    let two = watchers(None);
    assert_eq!(two.len(), 2);
    let three = watchers(Some(two[0]));
    assert_eq!(three.len(), 3, "two that reach the store, and the one that others see without it");
    assert!(two.iter().all(|host| three.contains(host)));
}

/// A host that hears no other host watches. When it hears enough others, it goes on for a while,
/// since the set of live hosts changes often right after a start.
#[test]
fn an_isolated_host_watches_and_steps_down_after_a_delay() {
    let mut election = WatcherElection::default();
    let host = "z".into();
    assert!(election.decide(candidate(&host, true), std::iter::empty(), secs(1.0)));
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let peers: Vec<Peer> = names.iter().map(|name| peer(name, "north", true)).collect();
    let mut decide = |at| election.decide(candidate(&host, true), peers.iter(), secs(at));
    assert!(decide(2.0));
    assert!(decide(4.9));
    assert!(!decide(5.1));
}

/// When all hosts start together, each lists the store's objects to be able to serve. As soon as
/// they hear each other, the surplus ones must stop, before each of them starts a watch.
#[test]
fn a_starting_host_steps_down_at_once() {
    let mut election = WatcherElection::new(secs(1.0));
    let host = "z".into();
    assert!(election.decide(candidate(&host, true), std::iter::empty(), secs(1.0)));
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let peers: Vec<Peer> = names.iter().map(|name| peer(name, "north", true)).collect();
    assert!(!election.decide(candidate(&host, true), peers.iter(), secs(1.4)));
}

/// Guards against a start of the whole fleet in which every host lists the store: its link would
/// take half a minute. Those that may list are hosts with much processor time, which can serve the
/// others soon; the others wait, but not for ever.
#[test]
fn few_hosts_list_the_store_when_all_start() {
    let names: Vec<String> = (0..330).map(|at| format!("h-{at:03}")).collect();
    let capacity = |at: usize| if at.is_multiple_of(11) { 100 } else { 10 };
    let peers: Vec<Peer> = names
        .iter()
        .enumerate()
        .map(|(at, name)| {
            let mut peer = peer(name, "north", true);
            peer.info.capacity = capacity(at);
            peer
        })
        .collect();
    let lists = |at: usize, age: f64| {
        let host = names[at].as_str().into();
        let others = peers.iter().enumerate().filter(|(it, _)| *it != at).map(|(_, peer)| peer);
        let own = Candidate { capacity: capacity(at), ..candidate(&host, false) };
        WatcherElection::new(secs(1.0)).decide(own, others, secs(1.0 + age))
    };
    let listing: Vec<usize> = (0..330).filter(|at| lists(*at, 0.5)).collect();
    assert_eq!(listing.len(), 32);
    assert!((0..330_usize).filter(|at| at.is_multiple_of(11)).all(|at| listing.contains(&at)));
    assert!((0..330).all(|at| !lists(at, 0.1)), "they do not know each other yet");
    assert!((0..330).all(|at| lists(at, 3.5)), "none has waited in vain");
}

/// A watcher whose store does not answer is reported as not reaching it, and may be elected again
/// after a while.
#[test]
fn a_host_reports_whether_it_reaches_the_store() {
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

/// A listing returns the revision of the whole store, which rises with writes to other parts. If a
/// higher revision alone counted as newer data, hosts would query each other for nothing.
#[test]
fn a_higher_revision_of_the_same_state_is_not_ahead() {
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

/// One of two hosts with newer data does not answer: the other is queried at once, and this host
/// counts as unanswered until a query succeeds. Once both have failed, there is a pause.
#[test]
fn a_host_that_fails_to_answer_is_not_queried_again_at_once() {
    let region = RegionId::from("north");
    let ahead = |port, region: &str| {
        let stamp = Stamp { declared: 2, ..Stamp::default() };
        (RegionId::from(region), StateSource { control: addr(port), stamp })
    };
    let others = [ahead(1, "south"), ahead(2, "north")];
    let mut queries = PeerQueries::new(addr(3));
    let next = |queries: &mut PeerQueries, now| {
        let others = others.iter().map(|(region, source)| (region, source.clone()));
        queries.next_peer(&Stamp::default(), others, &region, false, secs(now))
    };
    assert_eq!(next(&mut queries, 1.0), Some(addr(2)));
    assert_eq!(next(&mut queries, 1.1), None, "one query at a time");
    queries.record_outcome(addr(2), QueryOutcome::Failed, secs(1.2));
    assert!(queries.is_unanswered(secs(1.2)));
    assert_eq!(next(&mut queries, 1.2), Some(addr(1)));
    queries.record_outcome(addr(1), QueryOutcome::Failed, secs(1.3));
    assert_eq!(next(&mut queries, 1.3), None);
    assert_eq!(next(&mut queries, 1.4), None, "both failed: a pause");
    assert_eq!(next(&mut queries, 1.9), Some(addr(2)));
    queries.record_outcome(addr(2), QueryOutcome::Answered, secs(2.0));
    assert!(!queries.is_unanswered(secs(2.0)));
}

/// If a briefly busy host counted as failed, all hosts that it rejects would start to watch the
/// store.
#[test]
fn a_busy_host_is_queried_again_before_the_store_is_watched() {
    let region = RegionId::from("north");
    let stamp = Stamp { declared: 2, ..Stamp::default() };
    let sources = [(&region, StateSource { control: addr(1), stamp })];
    let mut queries = PeerQueries::new(addr(3));
    for at in [1.0, 1.6, 2.2] {
        let next = |queries: &mut PeerQueries, now| {
            queries.next_peer(
                &Stamp::default(),
                sources.clone().into_iter(),
                &region,
                false,
                secs(now),
            )
        };
        assert_eq!(next(&mut queries, at), Some(addr(1)));
        queries.record_outcome(addr(1), QueryOutcome::Busy, secs(at));
        assert!(!queries.is_unanswered(secs(at)));
        assert_eq!(next(&mut queries, at), None, "a pause");
    }
    queries.record_outcome(addr(1), QueryOutcome::Busy, secs(2.5));
    assert!(queries.is_unanswered(secs(2.5)), "busy for too long");
}

/// If all hosts that lack a change queried the same host, its link would have to carry every
/// response.
#[test]
fn hosts_that_lack_the_same_change_query_different_hosts() {
    let region = RegionId::from("north");
    let stamp = Stamp { declared: 2, ..Stamp::default() };
    let sources = (1..=4).map(|port| (&region, StateSource { control: addr(port), stamp }));
    let mut query_counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for port in 100..200 {
        let mut queries = PeerQueries::new(addr(port));
        let next = queries.next_peer(&Stamp::default(), sources.clone(), &region, false, secs(1.0));
        *query_counts.entry(next.expect("a host with newer data")).or_default() += 1;
    }
    assert_eq!(query_counts.len(), 4, "{query_counts:?}");
    assert!(query_counts.values().all(|count| *count < 50), "{query_counts:?}");
}

/// Guards against requests that are relayed to hosts that can't serve them or are short of processor
/// time, and against bodies that leave the regions that a route allows.
#[test]
fn relays_go_to_hosts_with_room_in_allowed_regions() {
    let host = |name: &str, region: &str| LiveHost {
        callers: addr(1),
        capacity: 10,
        host: name.into(),
        is_strained: false,
        reaches_targets: true,
        region: region.into(),
        relay: Some(addr(2)),
        zone: "x".into(),
    };
    let own: HostId = "own".into();
    let chosen = |hosts: &[LiveHost], homes: &[&str]| -> BTreeSet<String> {
        let query = RelayQuery {
            hosts,
            own_host: &own,
            own_region: north(),
            has_homes: !homes.is_empty(),
            excluded: &|host| &**host == "tried",
            may_enter: &|region| homes.is_empty() || homes.contains(&&**region),
            in_flight: &|host| if &**host == "busy" { 40 } else { 0 },
        };
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let picks = (0..200).filter_map(|_| choose_relay_host(&query, &mut rng));
        picks.map(|host| host.host.to_string()).collect()
    };
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let far = [host("own", "north"), host("s-1", "south"), host("w-1", "west")];
    let strained = LiveHost { is_strained: true, ..host("strained", "north") };
    let cut_off = LiveHost { reaches_targets: false, ..host("cut-off", "north") };
    let deaf = LiveHost { relay: None, ..host("deaf", "north") };
    let near = [host("n-1", "north"), host("n-2", "north"), host("busy", "north")];
    let unfit = [strained, cut_off, deaf, host("tried", "north")];
    let all = [&far[..], &unfit, &near].concat();
    assert_eq!(chosen(&all, &[]), names(&["n-1", "n-2"]), "the busy one loses each draw");
    assert_eq!(chosen(&all, &["south"]), names(&["s-1"]), "bodies stay in the home regions");
    assert_eq!(chosen(&[&far[..], &unfit].concat(), &[]), names(&["s-1", "w-1"]));
    assert_eq!(chosen(&unfit, &[]), names(&[]), "nobody is left to ask");
}
