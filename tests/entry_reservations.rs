//! Hosts that ask the owners of target groups for slots.

#[path = "support/entry.rs"]
mod support;

use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use futures::future::join_all;
use lavenderplank::platform::standin::Statements;
use lavenderplank::{
    entry::{EntryHost, EntrySettings, PartSwitch},
    event_log::Event,
    reservation::{Answer, Grant, Message},
};
use support::{Ask, World, booking, read, run, settings, until};
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time that a request may take longer for an owner that does not answer; the wait for the answer,
/// and what a busy machine adds.
const OWNER_SILENCE: Duration = Duration::from_millis(500);

/// Requests that are sent while the owner misbehaves.
const TRIES: usize = 40;

/// Processor time of the hosts, in cores. Hosts own groups in proportion to it, so that the second one
/// owns all of them.
const SMALL_HOST: f64 = 0.05;
const LARGE_HOST: f64 = 600.0;

/// Two hosts get six requests at the same moment, for two targets of three slots. Guards against
/// hosts that each fill the same target, by reports that are older than the requests.
#[test]
fn hosts_do_not_overload_a_target_while_another_has_free_slots() {
    run(async {
        let world = World::spawn(&["north-a", "north-a"]).await;
        let (a, b) = (reserving_host(&world, "a").await, reserving_host(&world, "b").await);
        until_known(&world, &[&a, &b]).await;
        world.targets.iter().for_each(|it| it.set_processing_time(Duration::from_millis(300)));
        let ids: Vec<String> = (0..6).map(|at| format!("r-{at}")).collect();
        let requests = ids.iter().enumerate().map(|(at, id)| {
            let host = if at % 2 == 0 { &a } else { &b };
            world.ask(host, Ask { object: None, ..read(id) })
        });
        let answers = join_all(requests).await;
        assert!(answers.iter().all(|it| it.as_ref().is_ok_and(|answer| answer.status() == 200)));
        let received: Vec<usize> = world.targets.iter().map(|it| it.received().len()).collect();
        assert_eq!(received, [3, 3]);
    });
}

/// The owner is frozen: it counts as live and takes datagrams, but does not answer. Guards against
/// callers that wait for it, and against requests that are refused or run twice without it.
#[test]
fn requests_are_served_without_an_owner_that_is_silent() {
    run(async {
        let world = World::spawn(&["north-a", "north-a"]).await;
        let (host, _frozen, _datagrams) = host_beside_a_frozen_one(&world).await;
        let before = world.arrivals();
        for at in 0..TRIES {
            let (id, object) = (format!("b-{at}"), format!("o-{at}"));
            let ask = Ask { object: Some(&object), ..booking(&id) };
            let answer = tokio::time::timeout(OWNER_SILENCE, world.ask(&host, ask)).await;
            let answer = answer.expect("an answer in time").expect("an answer");
            assert_eq!(answer.status(), 200);
        }
        assert_eq!(world.arrivals() - before, TRIES, "each booking runs once");
        assert!(world.events.has(|event| matches!(event, Event::OwnerSilent { .. })));
    });
}

/// The owner answers after its host was given up on. Guards against slots that stay taken for
/// requests which run elsewhere, and against a second attempt for the late answer.
#[test]
fn a_late_grant_is_given_back() {
    run(async {
        let world = World::spawn(&["north-a", "north-a"]).await;
        let (host, _frozen, datagrams) = host_beside_a_frozen_one(&world).await;
        let before = world.arrivals();
        let late = async {
            let (ask, from) = next_ask(&datagrams).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            let grant = Grant {
                target: 1,
                load: 0,
                expected_ms: 100,
                depth: None,
                hit_percent: 0,
                is_primary_guess: false,
            };
            let reply = Message::Reply { id: ask, answer: Answer::Granted(grant) };
            let bytes = reply.encode().expect("it can be encoded");
            datagrams.send_to(&bytes, from).await.expect("the host listens");
            ask
        };
        let requests = async {
            for at in 0..TRIES {
                let (id, object) = (format!("b-{at}"), format!("o-{at}"));
                let ask = Ask { object: Some(&object), ..booking(&id) };
                assert_eq!(world.ask(&host, ask).await.expect("an answer").status(), 200);
            }
        };
        let (asked, ()) = tokio::join!(late, requests);
        assert_eq!(world.arrivals() - before, TRIES);
        let released = async {
            while !matches!(next(&datagrams).await.0, Message::Released(it) if it.id == asked) {}
        };
        tokio::time::timeout(Duration::from_secs(5), released).await.expect("it is given back");
    });
}

/// The owner grants a target that nobody knows, and sends bytes that are no message. Guards against
/// requests that are lost by an owner of another release.
#[test]
fn requests_are_served_despite_a_nonsensical_owner() {
    run(async {
        let world = World::spawn(&["north-a", "north-a"]).await;
        let (host, _frozen, datagrams) = host_beside_a_frozen_one(&world).await;
        let nonsense = async {
            loop {
                let (ask, from) = next_ask(&datagrams).await;
                let _ = datagrams.send_to(b"\xff\xff\xff", from).await;
                let grant = Grant {
                    target: 77,
                    load: u16::MAX,
                    expected_ms: u16::MAX,
                    depth: Some(u16::MAX),
                    hit_percent: u8::MAX,
                    is_primary_guess: true,
                };
                let reply = Message::Reply { id: ask, answer: Answer::Granted(grant) };
                let bytes = reply.encode().expect("it can be encoded");
                let _ = datagrams.send_to(&bytes, from).await;
            }
        };
        let requests = async {
            for at in 0..TRIES {
                let (id, object) = (format!("r-{at}"), format!("o-{at}"));
                let ask = Ask { object: Some(&object), ..read(&id) };
                assert_eq!(world.ask(&host, ask).await.expect("an answer").status(), 200);
            }
        };
        tokio::select! {
            () = requests => {}
            () = nonsense => {}
        }
    });
}

/// The owner grants the slots of a target that has told only the asking host its limit. Guards against
/// granted requests that are not charged to the limit.
#[test]
fn a_granted_slot_does_not_pass_the_limit_of_its_target() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let (host, _frozen, datagrams) = host_beside_a_frozen_one(&world).await;
        let target = &world.targets[0];
        target.set_statements(Statements { limit: Some("0.1"), ..Statements::default() });
        let grants = async {
            loop {
                let (ask, from) = next_ask(&datagrams).await;
                let grant = Grant {
                    target: xxh3_64_with_seed(target.id().as_bytes(), 1) as u32,
                    load: 0,
                    expected_ms: 100,
                    depth: None,
                    hit_percent: 0,
                    is_primary_guess: false,
                };
                let reply = Message::Reply { id: ask, answer: Answer::Granted(grant) };
                let bytes = reply.encode().expect("it can be encoded");
                datagrams.send_to(&bytes, from).await.expect("the host listens");
            }
        };
        let requests = async {
            let mut refused = 0;
            for at in 0..TRIES {
                let (id, object) = (format!("b-{at}"), format!("o-{at}"));
                let ask = Ask { object: Some(&object), ..booking(&id) };
                let answer = world.ask(&host, ask).await.expect("an answer");
                refused += usize::from(answer.status() == 503);
            }
            refused
        };
        let refused = tokio::select! {
            refused = requests => refused,
            () = grants => unreachable!("grants are given without end"),
        };
        assert_eq!((refused, world.arrivals()), (TRIES - 1, 1));
    });
}

fn reserving_settings(name: &str, store: SocketAddr) -> EntrySettings {
    let mut settings = settings(name, store);
    settings.parts.reservations = PartSwitch::On;
    settings
}

async fn reserving_host(world: &World, name: &str) -> EntryHost {
    let host = world.host_of(reserving_settings(name, world.store.addr())).await;
    world.until_ready(&host).await;
    host
}

/// A host, and another one whose datagrams about reservations the test receives in its place.
async fn host_beside_a_frozen_one(world: &World) -> (EntryHost, EntryHost, UdpSocket) {
    let mut settings = reserving_settings("a", world.store.addr());
    settings.cpu_share = Some(SMALL_HOST);
    let host = world.host_of(settings).await;
    world.until_ready(&host).await;
    let (datagrams, port) = free_port().await;
    let mut settings = reserving_settings("b", world.store.addr());
    settings.listen.relay = Some(port);
    settings.cpu_share = Some(LARGE_HOST);
    let frozen = world.host_of(settings).await;
    world.until_ready(&frozen).await;
    until_known(world, &[&host, &frozen]).await;
    (host, frozen, datagrams)
}

/// A bound UDP port whose TCP port is free.
async fn free_port() -> (UdpSocket, SocketAddr) {
    for _ in 0..100 {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("loopback has free ports");
        let addr = socket.local_addr().expect("it is bound");
        if TcpListener::bind(addr).is_ok() {
            return (socket, addr);
        }
    }
    panic!("no port is free for both protocols");
}

async fn next(datagrams: &UdpSocket) -> (Message, SocketAddr) {
    let mut buf = [0; 2_048];
    loop {
        let (len, from) = datagrams.recv_from(&mut buf).await.expect("a datagram");
        if let Ok(message) = Message::decode(&buf[..len]) {
            return (message, from);
        }
    }
}

async fn next_ask(datagrams: &UdpSocket) -> (u32, SocketAddr) {
    loop {
        if let (Message::Ask(ask), from) = next(datagrams).await {
            return (ask.id, from);
        }
    }
}

/// Waits until each host names all of them in look-ups.
async fn until_known(world: &World, hosts: &[&EntryHost]) {
    for host in hosts {
        let url = format!("http://{}/api/resolve?region=north&zone=north-a", host.listen().lookup);
        until("the hosts know each other", async || {
            let answer = world.http.get(&url).send().await.expect("an answer");
            let text = answer.text().await.expect("a text");
            text.matches("127.0.0.1").count() == hosts.len()
        })
        .await;
    }
}
