//! Tests of access by team keys, from the caller to the target, over loopback.

#[path = "support/entry.rs"]
mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lavenderplank::{entry::EntryHost, platform::standin::ResponseMode};
use serde_json::{Value, json};
use support::{Ask, HOST, World, booking, config, read, run, settings, until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// A configuration with two teams, of which `lyra` has `keys`.
fn teams(version: u64, keys: &[&str]) -> Value {
    let mut config = config(version);
    config["tenants"] = json!([
        { "name": "lyra", "apiKeys": keys },
        { "name": "vega", "apiKeys": ["k-vega"] },
    ]);
    config
}

/// Starts one target and one host, and waits until the store has confirmed the host's configuration.
async fn world(keys: &[&str]) -> (World, EntryHost) {
    world_of(&["north-a"], keys).await
}

/// Starts a target in each zone and one host, like `world`.
async fn world_of(zones: &[&'static str], keys: &[&str]) -> (World, EntryHost) {
    let world = World::bare(zones).await;
    world.store.put("config", "main", teams(1, &["k-old"]));
    world.enlist();
    let host = world.host("a").await;
    until("the host watches the store", async || 0 < world.store.pending_watches()).await;
    world.store.put("config", "main", teams(2, keys));
    until("unknown keys are rejected permanently", async || {
        ask(&world, &host, read("probe"), &["none"]).await == 401
    })
    .await;
    (world, host)
}

async fn ask(world: &World, host: &EntryHost, ask: Ask<'_>, keys: &[&str]) -> u16 {
    let url = format!("http://{}{}", host.listen().callers, ask.path);
    let mut req = world.http.request(ask.method, url).header("Host", HOST);
    req = req.header("Lavenderplank-Attempt-Id", ask.attempt);
    req = req.header("Lavenderplank-Time-Remaining", ask.time_left.to_string());
    for key in keys {
        req = req.header("Lavenderplank-Key", *key);
    }
    let answer = req.header("Lavenderplank-Tenant", "forged").body(ask.body.to_vec()).send();
    answer.await.expect("an answer").status().as_u16()
}

/// Guards against passing keys or forged team names on to targets, and against keys in the log.
#[test]
fn targets_receive_the_team_but_not_the_key() {
    run(async {
        let (world, host) = world(&["k-lyra"]).await;
        assert_eq!(ask(&world, &host, read("r-1"), &["k-lyra"]).await, 200);
        assert_eq!(ask(&world, &host, booking("b-1"), &["k-vega"]).await, 200);
        for keys in [&[][..], &["k-old"], &["k-lyra", "k-lyra"], &["k-vega", "k-lyra"]] {
            assert_eq!(ask(&world, &host, booking("b-2"), keys).await, 401, "{keys:?}");
        }
        let seen = world.targets[0].received();
        let teams: Vec<_> = seen.iter().map(|seen| seen.team.as_deref()).collect();
        assert_eq!(teams, [Some("lyra"), Some("vega")]);
        assert!(seen.iter().all(|seen| !seen.has_key));
        let events = ["r-1", "b-1", "b-2"].map(|attempt| format!("{:?}", world.events.of(attempt)));
        assert!(events.iter().all(|event| !event.contains("k-lyra") && !event.contains("k-vega")));
        assert!(events[0].contains("lyra"), "{}", events[0]);
    });
}

/// Guards against attributing pipelined requests to each other's teams.
#[test]
fn pipelined_requests_keep_their_own_keys() {
    run(async {
        let (world, host) = world(&["k-lyra"]).await;
        let request = |at: usize, key: &str| {
            format!(
                "GET /reads/{at} HTTP/1.1\r\nHost: {HOST}\r\nLavenderplank-Attempt-Id: r-{at}\r\n\
                 Lavenderplank-Time-Remaining: 2000\r\nLavenderplank-Key: {key}\r\n\r\n"
            )
        };
        let keys = ["k-lyra", "k-vega", "none", "k-lyra", "k-vega"];
        let all: String = keys.iter().enumerate().map(|(at, key)| request(at, key)).collect();
        let mut caller = TcpStream::connect(host.listen().callers).await.expect("a connection");
        caller.write_all(all.as_bytes()).await.expect("sent");
        let mut got = String::new();
        until("all are answered", async || {
            let mut buf = [0; 4096];
            let size = caller.read(&mut buf).await.expect("answers");
            got.push_str(&String::from_utf8_lossy(&buf[..size]));
            got.matches("HTTP/1.1 ").count() == keys.len()
        })
        .await;
        let statuses: Vec<&str> = got.split("HTTP/1.1 ").skip(1).map(|text| &text[..3]).collect();
        assert_eq!(statuses, ["200", "200", "401", "200", "200"]);
        let mut seen: Vec<_> = world.targets[0].received();
        seen.retain(|seen| seen.path != "/reads/one?page=2");
        seen.sort_by(|a, b| a.path.cmp(&b.path));
        let teams: Vec<_> = seen.iter().filter_map(|seen| seen.team.as_deref()).collect();
        assert_eq!(teams, ["lyra", "vega", "lyra", "vega"]);
    });
}

/// Guards against accepting a revoked key, both for new requests and for one whose body is still
/// being received. The key is the last one of its team.
#[test]
fn revoked_keys_are_rejected() {
    run(async {
        let (world, host) = world(&["k-lyra"]).await;
        let mut caller = TcpStream::connect(host.listen().callers).await.expect("a connection");
        let head = format!(
            "POST /bookings/one HTTP/1.1\r\nHost: {HOST}\r\nLavenderplank-Attempt-Id: b-1\r\n\
             Lavenderplank-Key: k-lyra\r\nContent-Length: 9\r\n\r\ntwo "
        );
        caller.write_all(head.as_bytes()).await.expect("sent");
        world.store.put("config", "main", teams(3, &[]));
        until("the key is rejected", async || {
            ask(&world, &host, read("r-1"), &["k-lyra"]).await == 401
        })
        .await;
        let runs = world.arrivals();
        caller.write_all(b"seats").await.expect("sent");
        let mut got = [0; 12];
        caller.read_exact(&mut got).await.expect("an answer");
        assert_eq!(&got, b"HTTP/1.1 401");
        assert_eq!(world.arrivals(), runs);
        assert_eq!(ask(&world, &host, read("r-2"), &["k-vega"]).await, 200);
    });
}

/// Guards against retrying a request whose key was revoked after the first attempt.
#[test]
fn requests_are_not_retried_after_key_revocation() {
    run(async {
        let (world, host) = world_of(&["north-a", "north-b"], &["k-lyra"]).await;
        world.targets.iter().for_each(|target| target.queue_responses(&[ResponseMode::Hang]));
        let runs = world.arrivals();
        let request = async {
            let late = Ask { time_left: 2_000, ..read("r-1") };
            ask(&world, &host, late, &["k-lyra"]).await
        };
        let revoke = async {
            until("the request is at the target", async || runs < world.arrivals()).await;
            world.store.put("config", "main", teams(3, &[]));
        };
        let (status, ()) = tokio::join!(request, revoke);
        assert_eq!(status, 504, "it may have run");
        assert_eq!(world.arrivals(), runs + 1);
    });
}

/// Guards against permanent rejection of a new key by a host that has just started.
#[test]
fn a_host_that_may_be_out_of_date_answers_503_to_unknown_keys() {
    run(async {
        let world = World::bare(&["north-a"]).await;
        world.store.put("config", "main", teams(1, &["k-lyra"]));
        world.enlist();
        world.store.freeze_stale_reads();
        let host = world.host("a").await;
        assert_eq!(ask(&world, &host, read("r-1"), &["k-new"]).await, 503);
        assert_eq!(ask(&world, &host, read("r-2"), &["k-lyra"]).await, 200);
        until("the host watches the store", async || 0 < world.store.pending_watches()).await;
        world.store.put("config", "main", teams(2, &["k-lyra", "k-new"]));
        until("the new key is known", async || {
            ask(&world, &host, read("r-3"), &["k-new"]).await == 200
        })
        .await;
    });
}

/// Guards against replacing the declaration in force by an invalid one.
#[test]
fn the_declaration_in_force_stays_when_teams_are_invalid() {
    run(async {
        let (world, host) = world(&["k-lyra"]).await;
        let mut invalid = teams(3, &["k-lyra"]);
        invalid["tenants"][0]["allowedRegions"] = json!(["nowhere"]);
        world.store.put("config", "main", invalid);
        let is_reported =
            |event: &lavenderplank::event_log::Event| format!("{event:?}").contains("nowhere");
        until("the error is logged", async || world.events.has(is_reported)).await;
        assert_eq!(ask(&world, &host, read("r-1"), &["k-lyra"]).await, 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(ask(&world, &host, read("r-2"), &["k-lyra"]).await, 200);
    });
}

/// Guards against a team far over its limit that causes rejections of other teams or exceeds its limit.
#[test]
fn a_team_over_its_limit_does_not_affect_others() {
    run(async {
        let world = World::bare(&["north-a"]).await;
        let quiet = (0..78).map(|at| {
            json!({ "name": format!("quiet-{at}"), "apiKeys": [format!("k-{at}")], "ratePerS": 20,
                "burst": 20 })
        });
        let hot = json!({ "name": "hot", "apiKeys": ["k-hot"], "ratePerS": 20, "burst": 10 });
        let mut config = config(1);
        config["tenants"] = quiet.chain([hot]).collect();
        world.store.put("config", "main", config);
        world.enlist();
        let host = world.host("a").await;
        // Waits for the end of the startup period, in which a host has only a small share of a limit.
        tokio::time::sleep(Duration::from_millis(1_600)).await;
        let since = Instant::now();
        let (mut admitted, mut limited) = (0, 0);
        for at in 0..78 {
            let key = format!("k-{at}");
            for _ in 0..5 {
                match ask(&world, &host, read("hot"), &["k-hot"]).await {
                    200 => admitted += 1,
                    429 => limited += 1,
                    other => panic!("{other}"),
                }
            }
            assert_eq!(ask(&world, &host, read("quiet"), &[&key]).await, 200, "{key}");
        }
        let bound = (20.0 * since.elapsed().as_secs_f64().max(5.0) + 10.0) * 1.1 + 20.0;
        assert!(f64::from(admitted) <= bound, "{admitted} of {bound}");
        assert!(0 < limited, "{admitted} admitted");
        assert_eq!(world.arrivals(), 78 + admitted as usize, "rejected requests reach no target");
        let events = format!("{:?}", world.events.of("hot"));
        assert!(events.contains("QuotaExceeded") && events.contains("\"hot\""), "{events}");
    });
}

/// Guards against a team that is granted its whole limit by each host.
#[test]
fn two_hosts_share_a_limit() {
    run(async {
        let world = World::bare(&["north-a"]).await;
        let mut config = config(1);
        config["tenants"] =
            json!([{ "name": "hot", "apiKeys": ["k-hot"], "ratePerS": 20, "burst": 5 }]);
        world.store.put("config", "main", config);
        world.enlist();
        let first = world.host("a").await;
        let mut second = settings("b", world.store.addr());
        second.listen.gossip = SocketAddr::from(([127, 0, 0, 2], first.listen().gossip.port()));
        second.seeds = vec![first.listen().control];
        let second = world.host_of(second).await;
        world.until_ready(&second).await;
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        let since = Instant::now();
        let mut admitted = 0;
        while since.elapsed() < Duration::from_secs(5) {
            for host in [&first, &second] {
                admitted += u32::from(ask(&world, host, read("hot"), &["k-hot"]).await == 200);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!((60..=135).contains(&admitted), "{admitted}");
    });
}
