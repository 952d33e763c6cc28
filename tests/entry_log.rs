//! What entry hosts tell of requests and of themselves, by events and metrics.

#[path = "support/entry.rs"]
mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use lavenderplank::{
    base::{ErrorKind, Ran},
    event_log::{AttemptEnd, ConnectionUse, End, Event},
    platform::standin::ResponseMode,
};
use serde_json::json;
use support::{Ask, World, booking, read, run, until};

const ONE: &[&str] = &["north-a"];
const TWO: &[&str] = &["north-a", "north-b"];

/// Guards against a log that cannot tell why a booking ran twice: what was written of each attempt, on
/// which connection and as which request of it.
#[test]
fn the_log_tells_what_a_connection_carried_for_each_attempt() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        world.ask(&host, booking("first")).await.expect("an answer");
        world.ask(&host, booking("second")).await.expect("an answer");
        let uses = ["first", "second"].map(|attempt| {
            let mut events = world.events.of(attempt).into_iter();
            let used = events.find_map(|event| match event {
                Event::AttemptEnded { connection, dispatch_ms, .. } => connection.zip(dispatch_ms),
                _ => None,
            });
            used.expect("the request was handed to a connection").0
        });
        let [first, second] = uses;
        assert_eq!((first.request, second.request), (1, 2));
        assert_eq!(first.number, second.number);
        assert_matches!(first, ConnectionUse { written: 1.., .. });
        assert!(second.written < 2 * first.written, "of one request each: {first:?}, {second:?}");

        world.targets[0].queue_responses(&[ResponseMode::Reset]);
        world.ask(&host, booking("third")).await.expect("an answer");
        let third = world.events.of("third");
        assert_matches!(
            &third[2],
            Event::AttemptEnded {
                connection: Some(ConnectionUse { request: 3, written: 1.., .. }),
                end: AttemptEnd::Lost,
                ..
            }
        );
    });
}

/// What the log tells of a request that was answered, one that nobody could take, and one whose
/// target broke off: each step with the inputs that decided it.
#[test]
fn the_log_tells_what_became_of_each_request() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        world.ask(&host, read("good")).await.expect("an answer");
        let good = world.events.of("good");
        assert_matches!(&good[0], Event::Taken { declaration: 1, idempotent: true, .. });
        assert_matches!(&good[1], Event::Sent { attempt: 1, load: 0, slots: 3, .. });
        assert_matches!(
            &good[2],
            Event::AttemptEnded { end: AttemptEnd::Answered, first_byte_ms: Some(_), .. }
        );
        assert_matches!(&good[3], Event::Answered { end: End::Served, sent: 1, status: 200, .. });
        assert_eq!(good.len(), 4, "{good:?}");

        world.targets[0].queue_responses(&[ResponseMode::Reset]);
        world.ask(&host, booking("lost")).await.expect("an answer");
        let lost = world.events.of("lost");
        assert_matches!(&lost[2], Event::AttemptEnded { end: AttemptEnd::Lost, .. });
        assert_matches!(
            &lost[3],
            Event::Answered { end: End::Failed, ran: Ran::Unknown, status: 502, .. }
        );

        world.store.remove("servers", "t-1");
        let refused = async || world.ask(&host, read("none")).await.expect("an answer").status();
        until("nobody can take it", async || refused().await == 503).await;
        let none = world.events.of("none");
        let [.., not_placed, answered] = &*none else { panic!("{none:?}") };
        assert_matches!(
            not_placed,
            Event::NotPlaced { candidates: 0, error: ErrorKind::NoTarget, .. }
        );
        assert_matches!(
            answered,
            Event::Answered { end: End::Refused, ran: Ran::No, retry_after_ms: Some(_), .. }
        );
        assert!(
            world.events.has(
                |event| matches!(event, Event::TargetGone { target, .. } if &**target == "t-1")
            )
        );

        let unknown = Ask { path: "/other/", ..read("unknown") };
        world.ask(&host, unknown).await.expect("an answer");
        let unknown = world.events.of("unknown");
        assert_matches!(
            &*unknown,
            [Event::Refused { error: ErrorKind::ServiceUnknown, status: 404, .. }]
        );
    });
}

/// A caller leaves while its request is at a target: the log says so, and that the attempt was
/// cancelled.
#[test]
fn the_log_tells_that_a_caller_left() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        world.targets[0].queue_responses(&[ResponseMode::Hang]);
        let asked = tokio::time::timeout(Duration::from_millis(200), world.ask(&host, read("r-1")));
        assert!(asked.await.is_err(), "the target is silent");
        until("the leaving is told", async || {
            world.events.of("r-1").iter().any(|event| matches!(event, Event::CallerLeft { .. }))
        })
        .await;
        let told = world.events.of("r-1");
        assert!(told.iter().any(|event| {
            matches!(event, Event::AttemptEnded { end: AttemptEnd::Cancelled, .. })
        }));
    });
}

/// The store goes away and returns, a target is listed and an evacuation is wanted: the log tells
/// what the host believes, once for each change.
#[test]
fn the_log_tells_what_a_host_believes() {
    run(async {
        let world = World::spawn(TWO).await;
        let _host = world.host("a").await;
        let known = |name: &'static str| move |event: &Event| matches!(event, Event::TargetKnown { target, ready: true, .. } if &**target == name);
        until("both targets are told", async || {
            world.events.has(known("t-1")) && world.events.has(known("t-2"))
        })
        .await;
        assert!(
            world.events.has(|event| matches!(event, Event::DeclarationInForce { version: 1, .. }))
        );
        assert!(world.events.has(|event| matches!(event, Event::WatchBegun { .. })));
        world.store.put("evacuations", "north-b", json!({}));
        until("the evacuation is told", async || {
            world.events.has(
                |event| matches!(event, Event::ZoneEvacuated { zone, .. } if &**zone == "north-b"),
            )
        })
        .await;
        world.store.set_down(true);
        until("the loss is told", async || {
            world.events.has(|event| matches!(event, Event::StoreLost { .. }))
        })
        .await;
        world.store.set_down(false);
        until("the return is told", async || {
            world.events.has(|event| matches!(event, Event::StoreRegained { .. }))
        })
        .await;
    });
}

/// A collector that caps a scrape's size loses the counters that tell what a host did.
#[test]
fn histograms_come_after_all_else() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        world.ask(&host, read("r-1")).await.expect("an answer");
        let addr = host.listen().metrics.expect("an address of the metrics");
        let answer = world.http.get(format!("http://{addr}/metrics")).send().await;
        let text = answer.expect("an answer").text().await.expect("a text");
        let kinds = text.lines().filter(|line| line.starts_with("# TYPE "));
        let mut from_first = kinds.skip_while(|kind| !kind.ends_with(" histogram"));
        assert!(from_first.next().is_some(), "{text}");
        assert!(from_first.all(|kind| kind.ends_with(" histogram")), "{text}");
    });
}

/// The metrics of a host count what it did, and can be read as text.
#[test]
fn metrics_count_requests_and_refusals() {
    run(async {
        let world = World::spawn(ONE).await;
        let host = world.host("a").await;
        world.ask(&host, read("r-1")).await.expect("an answer");
        world.ask(&host, Ask { path: "/other/", ..read("r-2") }).await.expect("an answer");
        let addr = host.listen().metrics.expect("an address of the metrics");
        let scrape = async || {
            let answer = world.http.get(format!("http://{addr}/metrics")).send().await;
            answer.expect("an answer").text().await.expect("a text")
        };
        let text = scrape().await;
        for line in [
            r#"lavenderplank_requests_total{end="served",service="desk"} 1"#,
            r#"lavenderplank_refusals_total{error="service-unknown"} 1"#,
            r#"lavenderplank_attempt_seconds_count{end="answered",service="desk",stage="whole"} 1"#,
            r#"lavenderplank_request_seconds_count{end="served",service="desk"} 1"#,
            "lavenderplank_log_lines_dropped 0",
            "# EOF",
        ] {
            assert!(text.lines().any(|found| found == line), "{line} is not in\n{text}");
        }
        until("the gauges follow", async || {
            let text = scrape().await;
            text.contains("lavenderplank_declaration_version 1")
                && text.contains(r#"lavenderplank_targets{state="warm"} 1"#)
        })
        .await;
    });
}
