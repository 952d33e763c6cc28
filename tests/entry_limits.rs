//! Limits that targets name in their responses, end to end over loopback.

#[path = "support/entry.rs"]
mod support;

use std::time::{Duration, Instant};

use lavenderplank::{
    entry::EntryHost,
    platform::standin::{ResponseMode, Statements},
};
use support::{RESPONSES, World, booking, read, run, until};

/// Time after which a host that passed on a limit is bound by it.
const NOTICE_PERIOD: Duration = Duration::from_millis(500);

/// Requests that a target with this limit may get in four seconds from hosts that know it.
fn allowed_in_four_seconds(limit: f64) -> usize {
    (1.5 * limit * 4.0 + 5.0) as usize
}

/// Two hosts pass on the limit of a target and then get far more requests than it takes. Guards
/// against hosts that ignore the limit, and against each using it in full.
#[test]
fn a_limited_target_gets_no_more_than_it_named_from_all_hosts() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let hosts = [world.host("a").await, world.host("b").await];
        world.targets[0].set_statements(Statements { limit: Some("2.0"), ..Statements::default() });
        for host in &hosts {
            assert_eq!(world.ask(host, read("first")).await.expect("an answer").status(), 200);
        }
        tokio::time::sleep(NOTICE_PERIOD).await;
        let before = world.arrivals();
        let refused = flood(&world, &hosts, Duration::from_secs(2)).await;
        let arrived = world.arrivals() - before;
        let allowed = allowed_in_four_seconds(2.0);
        assert!(arrived <= allowed, "{arrived} requests arrived, {allowed} allowed");
        assert!(0 < arrived, "the target may serve and got nothing");
        assert!(0 < refused, "all requests were served");
    });
}

/// Guards against a limit that is lost because the response that names it is refused, broken, failed
/// or streamed.
#[test]
fn a_limit_is_kept_whatever_becomes_of_the_response() {
    run(async {
        for mode in RESPONSES {
            let world = World::spawn(&["north-a"]).await;
            let host = world.host("a").await;
            world.targets[0]
                .set_statements(Statements { limit: Some("0.1"), ..Statements::default() });
            world.targets[0].queue_responses(&[mode]);
            let _ = world.ask(&host, booking("first")).await.expect("an answer").bytes().await;
            let refused = world.ask(&host, booking("second")).await.expect("an answer");
            assert_eq!((refused.status().as_u16(), world.arrivals()), (503, 1), "{mode:?}");
            let wait = refused.headers()["retry-after"].to_str().expect("a text");
            assert!(wait.parse::<f64>().is_ok_and(|secs| 1.0 < secs), "{mode:?}: {wait}");
        }
    });
}

/// Guards against a limit that ends by a response which is not the target's answer: refused, failed,
/// cut off or unsigned, or by an answer to a request that was sent before the limit was known.
#[test]
fn a_limit_outlasts_responses_that_do_not_speak_for_the_target() {
    run(async {
        for mode in RESPONSES {
            let world = World::spawn(&["north-a"]).await;
            let host = world.host("a").await;
            let target = &world.targets[0];
            target.set_statements(Statements { limit: Some("0.1"), ..Statements::default() });
            target.set_processing_time(Duration::from_millis(400));
            target.queue_responses(&[ResponseMode::Serve, mode]);
            let late = async {
                tokio::time::sleep(Duration::from_millis(200)).await;
                world.ask(&host, booking("late")).await.expect("an answer").bytes().await
            };
            let first = async {
                world.ask(&host, booking("first")).await.expect("an answer");
                target.set_statements(Statements::default());
            };
            let _ = futures::join!(late, first);
            target.set_processing_time(Duration::ZERO);
            let refused = world.ask(&host, booking("third")).await.expect("an answer");
            assert_eq!((refused.status().as_u16(), world.arrivals()), (503, 2), "{mode:?}");
        }
    });
}

/// Guards against a limit that outlives its naming at hosts that send nothing to the target. Of four
/// hosts only two may send while it holds.
#[test]
fn all_hosts_use_a_target_again_after_its_limit() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let mut hosts = Vec::new();
        for name in ["a", "b", "c", "d"] {
            hosts.push(world.host(name).await);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let target = &world.targets[0];
        target.set_statements(Statements { limit: Some("2.0"), ..Statements::default() });
        for host in &hosts {
            let _ = world.ask(host, read("first")).await.expect("an answer");
        }
        let refused = flood(&world, &hosts, Duration::from_secs(1)).await;
        assert!(0 < refused, "the limit holds");
        target.set_statements(Statements::default());
        until("no host refuses any more", async || {
            flood(&world, &hosts, Duration::from_millis(200)).await == 0
        })
        .await;
    });
}

/// Guards against a limit that never ends where all answers are streamed.
#[test]
fn a_streamed_answer_ends_a_limit() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        let target = &world.targets[0];
        target.set_response_body(vec![b'x'; 100 * 1024]);
        target.set_statements(Statements { limit: Some("4.0"), ..Statements::default() });
        let ask = async || {
            let answer = world.ask(&host, read("r-1")).await.expect("an answer");
            let status = answer.status();
            answer.bytes().await.expect("a whole answer");
            status
        };
        assert_eq!(ask().await, 200);
        assert_eq!(ask().await, 503);
        target.set_statements(Statements::default());
        until("the limit has ended", async || ask().await == 200 && ask().await == 200).await;
    });
}

/// A target that starts again under its id has named no limit.
#[test]
fn a_limit_ends_with_the_restart_of_its_target() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        let target = &world.targets[0];
        target.set_statements(Statements { limit: Some("0.1"), ..Statements::default() });
        assert_eq!(world.ask(&host, read("r-1")).await.expect("an answer").status(), 200);
        assert_eq!(world.ask(&host, read("r-2")).await.expect("an answer").status(), 503);
        target.set_statements(Statements::default());
        world.store.put("servers", target.id(), target.store_entry("ready", 2));
        until("the target serves again", async || {
            world.ask(&host, read("r-3")).await.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
    });
}

/// Sends requests to all hosts, one after the other. Returns how many were refused.
async fn flood(world: &World, hosts: &[EntryHost], period: Duration) -> usize {
    let started = Instant::now();
    let mut refused = 0;
    while started.elapsed() < period {
        for host in hosts {
            let answer = world.ask(host, read("r-1")).await.expect("an answer");
            refused += usize::from(answer.status() == 503);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    refused
}
