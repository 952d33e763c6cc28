//! Targets that ask a host for a rest, end to end over loopback.

#[path = "support/entry.rs"]
mod support;

use std::time::{Duration, Instant};

use lavenderplank::{
    entry::EntryHost,
    platform::standin::{ResponseMode, Statements},
};
use support::{World, read, run};

/// Time after a refusal from which its rest binds the host, and requests that may arrive then.
const NOTICE_PERIOD: Duration = Duration::from_millis(500);
const MAX_REQUESTS: usize = 2;

/// Targets turn a host away and ask for a rest of a second and a half, while others serve. Guards
/// against a host that pauses them for a fixed time, and spends the attempts of its callers there.
#[test]
fn a_target_that_asked_for_a_rest_gets_it() {
    run(async {
        let world = World::spawn(&["north-a", "north-a", "north-a"]).await;
        let host = world.host("a").await;
        for target in &world.targets[..2] {
            target.set_statements(Statements { rest: Some("1.5"), ..Statements::default() });
            target.queue_responses(&[ResponseMode::Shed; 1_000]);
        }
        send_for(&world, &host, NOTICE_PERIOD).await;
        let arrivals = || [0, 1].map(|at| world.targets[at].received().len());
        let before = arrivals();
        assert!(before.iter().all(|count| 0 < *count), "both were asked: {before:?}");
        let refused = send_for(&world, &host, Duration::from_millis(600)).await;
        let during = [0, 1].map(|at| arrivals()[at] - before[at]);
        assert!(during.iter().all(|count| *count <= MAX_REQUESTS), "{during:?} requests arrived");
        assert_eq!(refused, 0, "the third target serves");
    });
}

/// Sends requests about different objects, one after the other. Returns how many were refused.
async fn send_for(world: &World, host: &EntryHost, period: Duration) -> usize {
    let started = Instant::now();
    let mut refused = 0;
    for number in 0.. {
        if period <= started.elapsed() {
            break;
        }
        let (attempt, object) = (format!("r-{number}"), (number % 20).to_string());
        let req = support::Ask { object: Some(&object), ..read(&attempt) };
        let answer = world.ask(host, req).await.expect("an answer");
        refused += usize::from(answer.status() == 503);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    refused
}
