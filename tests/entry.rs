//! Entry hosts end to end over loopback, against stand-ins of the store and the targets.

#[path = "support/entry.rs"]
mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lavenderplank::{
    entry::{EntryHost, Revisions, Stamp},
    event_log::Event,
    fleet::{Heartbeat, HostInfo, Load, Message, Purpose},
    platform::standin::{ResponseMode, StoreStandin},
};
use serde_json::json;
use support::{Ask, HOST, World, booking, config, config_with, read, run, settings, until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::watch,
};

const ONE: &[&str] = &["north-a"];
const TWO: &[&str] = &["north-a", "north-b"];

/// The caller gets the target's own answer, and the target the caller's own request.
#[test]
fn a_request_and_its_answer_pass_unchanged() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        let answer = world.ask(&host, booking("b-1")).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["lavenderplank-attempt-id"], "b-1");
        assert!(answer.headers().contains_key("lavenderplank-server-seal"));
        assert_eq!(answer.text().await.expect("a whole body"), "answer of t-1");
        let seen = world.targets[0].received();
        let [seen] = &*seen else { panic!("one request, not {seen:?}") };
        assert_eq!((&*seen.method, &*seen.path), ("POST", "/bookings/one"));
        assert_eq!(seen.body, "two seats");
        assert_eq!((&*seen.attempt_id, &*seen.expected_target), ("b-1", "t-1"));
        assert!(seen.time_left.is_some_and(|left| (1..=2000).contains(&left)));
    });
}

/// A host that knows no configuration can't say that a path has no route: callers are told to come
/// back. Once it knows one, an unknown path is refused for good.
#[test]
fn without_a_configuration_nothing_is_not_found() {
    run(async {
        let world = World::bare(ONE).await;
        let host = world.host_of(settings("a", world.store.addr())).await;
        assert!(!world.is_ready(&host).await);
        assert_eq!(world.ask(&host, read("r-1")).await.expect("an answer").status(), 503);
        world.store.put("config", "main", config(1));
        world.until_ready(&host).await;
        let other = Ask { path: "/other/", ..read("r-2") };
        assert_eq!(world.ask(&host, other).await.expect("an answer").status(), 404);
    });
}

/// A target takes a booking and its connection breaks: it may have run. The caller is not told that
/// it has not, and no other target gets it.
#[test]
fn a_booking_that_may_have_run_is_not_sent_again() {
    run(async {
        let world = World::spawn(TWO).await;
        let host = world.host("a").await;
        world.targets.iter().for_each(|target| target.queue_responses(&[ResponseMode::Reset]));
        let answer = world.ask(&host, booking("b-1")).await.expect("an answer");
        assert_eq!(answer.status(), 502);
        assert!(!answer.headers().contains_key("retry-after"));
        assert_eq!(world.arrivals(), 1);
    });
}

/// A read is lost, cut, unsigned or failed at its first target: another one answers it.
#[test]
fn a_read_that_was_lost_is_sent_to_another_target() {
    run(async {
        for mode in [
            ResponseMode::Reset,
            ResponseMode::Truncate,
            ResponseMode::Unsigned,
            ResponseMode::Fail,
        ] {
            let world = World::spawn(TWO).await;
            let host = world.host("a").await;
            let first = first(&world, &host).await;
            world.targets[first].queue_responses(&[mode]);
            let answer = world.ask(&host, read("r-2")).await.expect("an answer");
            assert_eq!(answer.status(), 200, "{mode:?}");
            let body = answer.text().await.expect("a whole body");
            assert_eq!(body, format!("answer of {}", world.targets[1 - first].id()));
        }
    });
}

/// Which of two targets a request about the usual object goes to.
async fn first(world: &World, host: &EntryHost) -> usize {
    let answer = world.ask(host, booking("first")).await.expect("an answer");
    assert_eq!(answer.status(), 200);
    usize::from(world.targets[0].received().is_empty())
}

/// A target without room says that it has not run a booking: another one may.
#[test]
fn a_booking_that_was_shed_goes_to_another_target() {
    run(async {
        let world = World::spawn(TWO).await;
        let host = world.host("a").await;
        let first = first(&world, &host).await;
        world.targets[first].queue_responses(&[ResponseMode::Shed]);
        let answer = world.ask(&host, booking("b-2")).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(world.targets[1 - first].received().len(), 1);
    });
}

/// All targets shed a booking: it has run nowhere, so the caller is told so, and when to come back.
#[test]
fn a_booking_that_all_shed_has_not_run() {
    run(async {
        let world = World::spawn(TWO).await;
        let host = world.host("a").await;
        world.targets.iter().for_each(|target| target.queue_responses(&[ResponseMode::Shed]));
        let answer = world.ask(&host, booking("b-1")).await.expect("an answer");
        assert_eq!(answer.status(), 503);
        let wait = answer.headers()["retry-after"].to_str().expect("a text");
        assert!(wait.parse::<f64>().is_ok_and(|secs| 0.0 < secs && secs < 1.0), "{wait}");
    });
}

/// An address was taken over by another target, which says so: the right one is not there, and
/// the request goes to another target of the service.
#[test]
fn a_reused_address_gets_no_work() {
    run(async {
        let world = World::spawn(TWO).await;
        let host = world.host("a").await;
        let first = first(&world, &host).await;
        world.targets[first].queue_responses(&[ResponseMode::WrongTarget]);
        let answer = world.ask(&host, booking("b-2")).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(world.targets[1 - first].received().len(), 1);
    });
}

/// A target answers one request twice. The second answer lies on the connection when the next
/// request goes out; that request's caller must not get it.
#[test]
fn an_extra_answer_reaches_nobody() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        for number in 0..20 {
            world.targets[0].queue_responses(&[ResponseMode::Duplicate]);
            let attempt = format!("r-{number}");
            let answer = world.ask(&host, read(&attempt)).await.expect("an answer");
            if answer.status() == 200 {
                assert_eq!(answer.headers()["lavenderplank-attempt-id"], *attempt);
                assert_eq!(answer.text().await.expect("a whole body"), "answer of t-1");
            }
        }
    });
}

/// A large answer breaks off after its head has gone out: the caller sees that it is not whole.
#[test]
fn a_cut_answer_never_looks_whole() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        world.targets[0].set_response_body(vec![b'x'; 300_000]);
        world.targets[0].queue_responses(&[
            ResponseMode::Serve,
            ResponseMode::NoLength,
            ResponseMode::Truncate,
        ]);
        for whole in [true, true, false] {
            let answer = world.ask(&host, read("r-1")).await.expect("a head");
            assert_eq!(answer.status(), 200);
            let body = answer.bytes().await;
            assert_eq!(body.as_ref().is_ok_and(|body| body.len() == 300_000), whole, "{body:?}");
        }
    });
}

/// A target takes a booking and is silent. The caller is answered within its time, and not told
/// that the booking has not run.
#[test]
fn silence_ends_with_the_callers_time() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        world.targets[0].queue_responses(&[ResponseMode::Hang]);
        let answer = world.ask(&host, Ask { time_left: 1000, ..booking("b-1") }).await;
        assert_eq!(answer.expect("an answer").status(), 504);
        until("the target is left alone", async || world.targets[0].disconnects() == 1).await;
    });
}

/// No target is there: nothing is waited for.
#[test]
fn what_nobody_can_serve_is_refused_at_once() {
    run(async {
        let world = World::bare(ONE).await;
        world.store.put("config", "main", config(1));
        let host = world.host("a").await;
        let answer = world.ask(&host, Ask { time_left: 600_000, ..booking("b-1") }).await;
        assert_eq!(answer.expect("an answer").status(), 503);
    });
}

/// A caller sends a read and a booking behind it, and leaves while the read is at work. The booking
/// lies unread; the leaving is noticed all the same, and the target is left.
#[test]
fn a_caller_that_leaves_with_a_request_unread_is_noticed() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        world.targets[0].queue_responses(&[ResponseMode::Hang]);
        let mut caller = TcpStream::connect(host.listen().callers).await.expect("a connection");
        let one = |method: &str, path: &str, attempt: &str| {
            format!(
                "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n\
                 Lavenderplank-Attempt-Id: {attempt}\r\nLavenderplank-Time-Remaining: 60000\r\n\r\n"
            )
        };
        let both = one("GET", "/reads/one", "r-1") + &one("POST", "/bookings/one", "b-2");
        caller.write_all(both.as_bytes()).await.expect("sent");
        until("the first is at work", async || world.arrivals() == 1).await;
        drop(caller);
        until("the target is left", async || world.targets[0].disconnects() == 1).await;
        assert_eq!(world.arrivals(), 1, "the second reached a target though nobody waits for it");
    });
}

/// Requests sent behind each other are answered in their order, each with its own answer.
#[test]
fn requests_behind_each_other_are_answered_in_order() {
    run(async {
        let world = World::spawn(TWO).await;
        let host = world.host("a").await;
        let mut caller = TcpStream::connect(host.listen().callers).await.expect("a connection");
        let one = |number: u32, close: &str| {
            format!(
                "GET /reads/{number} HTTP/1.1\r\nHost: {HOST}\r\n{close}\
                 Lavenderplank-Attempt-Id: r-{number}\r\n\r\n"
            )
        };
        let all = one(1, "") + &one(2, "") + &one(3, "Connection: close\r\n");
        caller.write_all(all.as_bytes()).await.expect("sent");
        let mut answers = String::new();
        caller.read_to_string(&mut answers).await.expect("three answers");
        let ids = answers.lines().filter_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("lavenderplank-attempt-id").then_some(value)
        });
        assert_eq!(ids.collect::<Vec<_>>(), ["r-1", "r-2", "r-3"]);
    });
}

/// The first of two reads is not answered. The second is at work meanwhile, or it would be late by
/// the first one's time. A booking behind them waits for its turn, and so does what follows it.
#[test]
fn requests_behind_a_slow_one_are_started() {
    run(async {
        let world = World::spawn(TWO).await;
        let host = world.host("a").await;
        world.targets.iter().for_each(|target| target.queue_responses(&[ResponseMode::Hang; 4]));
        let mut caller = TcpStream::connect(host.listen().callers).await.expect("a connection");
        let one = |method: &str, path: &str, attempt: &str| {
            format!(
                "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n\
                 Lavenderplank-Attempt-Id: {attempt}\r\n\r\n"
            )
        };
        let all = one("GET", "/reads/1", "r-1")
            + &one("GET", "/reads/2", "r-2")
            + &one("POST", "/bookings/3", "b-3")
            + &one("GET", "/reads/4", "r-4");
        caller.write_all(all.as_bytes()).await.expect("sent");
        let seen = |attempt: &str| {
            let mut seen = world.targets.iter().flat_map(|target| target.received());
            seen.any(|seen| seen.attempt_id == attempt)
        };
        until("both reads are at work", async || seen("r-1") && seen("r-2")).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(!seen("b-3") && !seen("r-4"));
        drop(caller);
        let left = || world.targets.iter().map(|target| target.disconnects()).sum::<usize>();
        until("the targets are left", async || left() == world.arrivals()).await;
        assert!(!seen("b-3") && !seen("r-4"));
    });
}

/// A body above the declared bound is refused; one in chunks reaches the target whole.
#[test]
fn bodies_are_bounded_and_chunks_are_joined() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        let large = vec![b'x'; 5000];
        let answer = world.ask(&host, Ask { body: &large, ..booking("b-1") }).await;
        assert_eq!(answer.expect("an answer").status(), 413);
        let mut caller = TcpStream::connect(host.listen().callers).await.expect("a connection");
        let chunked = format!(
            "POST /bookings/two HTTP/1.1\r\nHost: {HOST}\r\nLavenderplank-Attempt-Id: b-2\r\n\
             Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n6\r\n seats\r\n0\r\n\r\n"
        );
        caller.write_all(chunked.as_bytes()).await.expect("sent");
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(world.targets[0].received()[0].body, "two seats");
    });
}

/// A target that is draining, gone, or in a zone that is to be emptied gets nothing new; once the
/// zone may be used again, it does.
#[test]
fn retiring_targets_and_evacuated_zones_get_no_work() {
    run(async {
        let world = World::spawn(TWO).await;
        let host = world.host("a").await;
        // How many of some requests a target gets.
        let gets = async |at: usize| {
            let before = world.targets[at].received().len();
            for object in ["1", "2", "3", "4", "5", "6", "7", "8"] {
                let ask = Ask { object: Some(object), ..read("r-1") };
                assert_eq!(world.ask(&host, ask).await.expect("an answer").status(), 200);
            }
            world.targets[at].received().len() - before
        };
        let only =
            async |at: usize, what: &str| until(what, async || gets(1 - at).await == 0).await;
        let used = async |at: usize| until("it is used again", async || 0 < gets(at).await).await;
        let usual = gets(1).await;
        world.store.put("servers", "t-1", world.targets[0].store_entry("draining", 1));
        only(1, "the draining target gets nothing").await;
        world.store.put("servers", "t-1", world.targets[0].store_entry("ready", 2));
        // Targets and evacuations are watched apart: told at once, none may be usable for a moment.
        used(0).await;
        world.store.put("evacuations", "north-b", json!({}));
        only(0, "the evacuated zone gets nothing").await;
        world.store.remove("evacuations", "north-b");
        // Its targets are taken for cold at first.
        used(1).await;
        until("it is used as before", async || gets(1).await == usual).await;
        world.store.remove("servers", "t-1");
        only(1, "the removed target gets nothing, the zone is used again").await;
    });
}

/// One entry can't be read. It names no target; the others are used.
#[test]
fn a_spoiled_entry_hides_no_other() {
    run(async {
        let world = World::spawn(TWO).await;
        let host = world.host("a").await;
        world.store.put_undecodable("servers", "t-1");
        world.store.put_undecodable("servers", "odd");
        until("the spoiled entry's target gets nothing", async || {
            let before = world.targets[0].received().len();
            for object in ["1", "2", "3", "4", "5", "6", "7", "8"] {
                let ask = Ask { object: Some(object), ..read("r-1") };
                assert_eq!(world.ask(&host, ask).await.expect("an answer").status(), 200);
            }
            before == world.targets[0].received().len()
        })
        .await;
    });
}

/// Guards against an entry with bytes that are not UTF-8 that hides all others of its kind: a target
/// that retires went on getting requests, and a host that started knew no target.
#[test]
fn an_entry_that_is_not_utf8_hides_no_other() {
    run(async {
        let world = World::spawn(TWO).await;
        let host = world.host("a").await;
        world.store.put_not_utf8("servers", "odd");
        world.store.put("servers", "t-1", world.targets[0].store_entry("draining", 1));
        let is_draining = |event: &Event| matches!(event, Event::TargetKnown { ready: false, .. });
        until("the target is known to retire", async || world.events.has(is_draining)).await;
        assert_eq!(world.ask(&host, read("r-1")).await.expect("an answer").status(), 200);
        let unreadable = || {
            let is_odd = |event: &Event| matches!(event, Event::EntryUnreadable { name, .. } if **name == *"odd");
            world.events.count(is_odd)
        };
        assert_eq!(unreadable(), 1, "an entry is logged once");
        world.store.compact();
        let other = world.host("b").await;
        until("the new host serves", async || {
            let answer = world.ask(&other, read("r-2")).await;
            answer.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
        assert_eq!(unreadable(), 2, "each host logs it once");
    });
}

/// Guards against a host that knows no target for good, because it missed that their entries were
/// written again.
#[test]
fn a_host_without_targets_lists_the_store() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        let target = &world.targets[0];
        world.store.remove("servers", target.id());
        let is_gone = |event: &Event| matches!(event, Event::TargetGone { .. });
        until("the target is gone", async || world.events.has(is_gone)).await;
        world.store.put_unannounced("servers", target.id(), target.store_entry("ready", 2));
        until("it is used again", async || {
            let answer = world.ask(&host, read("r-1")).await;
            answer.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
        let is_missing = |event: &Event| matches!(event, Event::TargetsMissing { .. });
        assert!(world.events.has(is_missing));
    });
}

/// The store forgets its history while a configuration changes, then is away. The host lists anew,
/// goes on serving meanwhile, and never takes an older configuration back.
#[test]
fn a_forgetful_store_is_listed_anew_and_nothing_goes_back() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        world.store.put("config", "main", config_with(5, "elsewhere", json!([])));
        world.store.compact();
        let status = async || world.ask(&host, read("r-1")).await.expect("an answer").status();
        until("the new configuration is in force", async || status().await == 503).await;
        world.store.put("config", "main", config(4));
        world.store.put("servers", "t-1", world.targets[0].store_entry("draining", 1));
        world.store.put("servers", "t-1", world.targets[0].store_entry("ready", 3));
        world.store.put("config", "main", config(6));
        until("the newest configuration is in force", async || status().await == 200).await;
        world.store.set_down(true);
        for _ in 0..5 {
            assert_eq!(status().await, 200);
        }
        world.store.put("config", "main", config_with(7, "elsewhere", json!([])));
        world.store.set_down(false);
        until("what changed meanwhile is in force", async || status().await == 503).await;
    });
}

/// A route may be served in one region only, and no target is there: the request is refused rather
/// than sent abroad.
#[test]
fn allowed_regions_bind() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        world.store.put("config", "main", config_with(2, "desk", json!(["south"])));
        let status = async || world.ask(&host, read("r-1")).await.expect("an answer").status();
        until("the region binds", async || status().await == 503).await;
        let before = world.arrivals();
        assert_eq!(status().await, 503);
        assert_eq!(world.arrivals(), before);
    });
}

/// A planned stop: the host is unready at once and no longer named, the request at work gets its
/// answer, and the connection is closed with notice.
#[test]
fn a_planned_stop_cuts_nothing() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        let listen = host.listen().clone();
        world.targets[0].set_processing_time(Duration::from_millis(700));
        let url = format!("http://{}/bookings/one", listen.callers);
        let req =
            world.http.post(url).header("Host", HOST).header("Lavenderplank-Attempt-Id", "b-1");
        let at_work = tokio::task::spawn_local(req.body("two seats").send());
        until("the booking is at work", async || world.arrivals() == 1).await;
        let stopped = tokio::task::spawn_local(host.stop());
        let ready = format!("http://{}/api/ready", listen.ready);
        until("the host is unready", async || {
            world.http.get(&ready).send().await.is_ok_and(|answer| answer.status() == 503)
        })
        .await;
        let answer = at_work.await.expect("no panic").expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["connection"], "close");
        stopped.await.expect("the host ends");
    });
}

/// A look-up names the living hosts of the caller's region; a host that leaves is named no longer.
#[test]
fn look_ups_name_living_hosts() {
    run(async {
        let world = World::spawn(ONE).await;
        let first = world.host("a").await;
        let mut second = settings("b", world.store.addr());
        second.zone = "south-a".into();
        second.region = "south".into();
        let second = world.host_of(second).await;
        let named = async |region: &str| {
            let url = format!(
                "http://{}/api/resolve?name={HOST}&region={region}&zone=x",
                first.listen().lookup
            );
            let answer = world.http.get(url).send().await.expect("an answer");
            answer.json::<serde_json::Value>().await.expect("JSON")["addresses"].clone()
        };
        let south = json!([second.listen().callers]);
        until("the other region's host is named", async || named("south").await == south).await;
        assert_eq!(named("north").await, json!([first.listen().callers]));
        second.stop().await;
        let north = json!([first.listen().callers]);
        until("it is named no longer", async || named("south").await == north).await;
    });
}

/// A host starts while the store is away from it. It learns everything from another host, serves,
/// and follows a change that only the other one is told of.
#[test]
fn a_host_without_the_store_learns_from_another() {
    run(async {
        let world = World::spawn(ONE).await;
        let first = world.host("a").await;
        let away = StoreStandin::spawn().await.expect("a port");
        away.set_down(true);
        // The gossip port is the same on all hosts; each has an address of its own.
        let mut second = settings("b", away.addr());
        second.listen.gossip = SocketAddr::from(([127, 0, 0, 2], first.listen().gossip.port()));
        second.seeds = vec![first.listen().control];
        let second = world.host_of(second).await;
        world.until_ready(&second).await;
        let answer = world.ask(&second, read("r-1")).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        world.store.put("config", "main", config_with(2, "elsewhere", json!([])));
        let status = async || world.ask(&second, read("r-2")).await.expect("an answer").status();
        until("the change is in force", async || status().await == 503).await;
    });
}

/// Two hosts that watch the store tell of a change, but their answers never come: their links are
/// crowded. A host that relies on them would go on with the old declaration, so it turns to the
/// store itself.
#[test]
fn a_host_that_is_not_told_follows_the_store_itself() {
    run(async {
        let world = World::spawn(ONE).await;
        // By hash, this name comes behind those of the others, so that they watch.
        let host = world.host("d").await;
        let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let control = silent.local_addr().expect("an address");
        let (tx, told) = tokio::sync::watch::channel(Stamp::default());
        until("the host, still alone, watches", async || 0 < world.store.pending_watches()).await;
        for name in ["w-1", "w-2", "w-3", "w-4", "w-5", "w-6"] {
            tokio::task::spawn_local(beat(name, control, host.listen().gossip, told.clone()));
        }
        // Between two watches there is none for a moment.
        let idle = async || {
            for _ in 0..30 {
                if 0 < world.store.pending_watches() {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            true
        };
        until("the host leaves it to the others", idle).await;
        world.store.put("config", "main", config_with(2, "elsewhere", json!([])));
        let revisions = Revisions { declared: 1_000, ..Revisions::default() };
        tx.send_replace(Stamp { declared: 2, revisions, ..Stamp::default() });
        let since = Instant::now();
        let status = async || world.ask(&host, read("r-1")).await.expect("an answer").status();
        until("the change is in force", async || status().await == 503).await;
        assert!(since.elapsed() < Duration::from_millis(2_500), "{:?}", since.elapsed());
    });
}

/// Heartbeats of a host that lives and watches, from a socket of its own.
async fn beat(name: &str, control: SocketAddr, to: SocketAddr, stamp: watch::Receiver<Stamp>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let gossip = socket.local_addr().expect("an address");
    for sequence in 1.. {
        let stamp = *stamp.borrow();
        let info = HostInfo {
            capacity: 100,
            callers: control,
            control,
            gossip,
            host: name.into(),
            leaving: false,
            reaches_store: true,
            start_ms: 1,
            reaches_targets: true,
            relay_port: None,
            strained: false,
            sequence,
        };
        let (contacts, load, zone) = (Vec::new(), Load::default(), "north-b".into());
        let message = Message::Heartbeat(Heartbeat {
            contacts,
            declaration_check: None,
            load,
            info,
            purpose: Purpose::State,
            stamp,
            zone,
        });
        let bytes = message.encode().expect("a heartbeat has a form");
        socket.send_to(&bytes, to).await.expect("loopback takes datagrams");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Settings that are read again bind from then on: a host that must end sooner does.
#[test]
fn new_bounds_bind_a_running_host() {
    run(async {
        let world = World::spawn(ONE).await;
        let before = settings("a", world.store.addr());
        let host = world.host("a").await;
        let mut after = before.clone();
        after.bounds.lookup_ttl = Duration::from_millis(700);
        assert!(after.fixed_changes(&before).is_empty());
        host.reload(after.clone()).await;
        let url = format!(
            "http://{}/api/resolve?name={HOST}&region=north&zone=north-a",
            host.listen().lookup
        );
        let answer = world.http.get(url).send().await.expect("an answer");
        let answer: serde_json::Value = answer.json().await.expect("a body");
        assert_eq!(answer["ttl"], "700ms");
        after.zone = "north-b".into();
        assert_eq!(after.fixed_changes(&before), ["zone"]);
    });
}
