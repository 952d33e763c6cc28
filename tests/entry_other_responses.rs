//! Responses of targets that belong to another request, end to end over loopback.

#![expect(clippy::unwrap_used, reason = "a step of a test that fails, fails the test")]

#[path = "support/raw_target.rs"]
mod raw_target;
#[path = "support/entry.rs"]
mod support;

use std::time::Duration;

use lavenderplank::platform::standin::{ResponseMode, Statements};
use raw_target::{RawTarget, Step};
use serde_json::json;
use support::{HOST, World, booking, config, run};

const ATTEMPT_ID: &str = "Lavenderplank-Attempt-Id";

/// Time after which a target that refused a request is asked again.
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);

/// Guards against a late second copy of a response, above all of a refusal, that is taken for the
/// response to the next booking: that one runs, so it goes to no other target, and its caller is
/// not told that it has not run.
#[test]
fn a_late_copy_of_a_response_ends_no_other_booking() {
    run(async {
        for mode in [ResponseMode::Shed, ResponseMode::Fail, ResponseMode::Serve] {
            let world = World::spawn(&["north-a", "north-b"]).await;
            let host = world.host("a").await;
            for target in &world.targets {
                target.queue_responses(&[mode]);
                target.send_late_copies(1);
            }
            world.ask(&host, booking("b-1")).await.expect("an answer");
            tokio::time::sleep(REFUSAL_PAUSE).await;
            let answer = world.ask(&host, booking("b-2")).await.expect("an answer");
            let copies: usize = world.targets.iter().map(|it| it.late_copies_sent()).sum();
            assert_eq!((copies, answer.status().as_u16()), (1, 502), "{mode:?}");
            assert_eq!(runs(&world, "b-2"), 1, "{mode:?}");
        }
    });
}

/// Guards against a refusal that comes a second time and puts a target to rest again, although its
/// rest is over.
#[test]
fn a_late_copy_of_a_refusal_teaches_nothing() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        let target = &world.targets[0];
        target.set_statements(Statements { rest: Some("0.5"), ..Statements::default() });
        target.queue_responses(&[ResponseMode::Shed]);
        target.send_late_copies(1);
        let refused = world.ask(&host, booking("b-1")).await.expect("an answer");
        assert_eq!(refused.status(), 503);
        target.set_statements(Statements::default());
        tokio::time::sleep(Duration::from_millis(700)).await;
        let lost = world.ask(&host, booking("b-2")).await.expect("an answer");
        assert_eq!((target.late_copies_sent(), lost.status().as_u16()), (1, 502));
        let served = world.ask(&host, booking("b-3")).await.expect("an answer");
        assert_eq!(served.status(), 200);
    });
}

/// Guards against a late copy of a refusal that is taken for the response to the next booking because
/// neither has an id, or both have the same one.
#[test]
fn requests_that_ids_cannot_tell_apart_share_no_connection() {
    run(async {
        for id in [None, Some("b-1")] {
            let world = World::spawn(&["north-a"]).await;
            let host = world.host("a").await;
            let target = &world.targets[0];
            target.queue_responses(&[ResponseMode::Shed]);
            target.send_late_copies(1);
            let url = format!("http://{}/bookings/one", host.listen().callers);
            let send = async || {
                let req = world.http.post(&url).header("Host", HOST);
                let req = id.into_iter().fold(req, |req, id| req.header(ATTEMPT_ID, id));
                req.send().await.expect("an answer").status().as_u16()
            };
            assert_eq!(send().await, 503, "{id:?}");
            tokio::time::sleep(REFUSAL_PAUSE).await;
            assert_eq!(send().await, 200, "{id:?}");
            let connections: Vec<usize> =
                target.received().iter().map(|it| it.connection).collect();
            assert_ne!(connections[0], connections[1], "{id:?}");
        }
    });
}

/// Guards against a status that promises its caller that a booking has not run, passed on from a
/// target that did not say so.
#[test]
fn a_status_alone_is_no_refusal() {
    run(async {
        let world = World::spawn(&["north-a", "north-b"]).await;
        let host = world.host("a").await;
        world.targets.iter().for_each(|it| it.queue_responses(&[ResponseMode::FalseRefusal]));
        let answer = world.ask(&host, booking("b-1")).await.expect("an answer");
        assert_eq!((answer.status().as_u16(), runs(&world, "b-1")), (502, 1));
    });
}

/// Guards against a response that broke off inside its head and joins the next one on its connection:
/// the two parse as one response, with the refusal or the status of the first and the id of the
/// second.
#[test]
fn a_response_joined_from_two_ends_no_booking() {
    const FIRST: &str = "HTTP/1.1 200 OK\r\nLavenderplank-Attempt-Id: b-1\r\n\
                         Lavenderplank-Server-Seal: 3e1b.07\r\nContent-Length: 0\r\n\r\n";
    const SECOND: &str = "HTTP/1.1 500 Internal Server Error\r\nLavenderplank-Attempt-Id: b-2\r\n\
                          Lavenderplank-Server-Seal: 3e1b.07\r\nContent-Length: 0\r\n\r\n";
    const BEGINNINGS: [&str; 4] = [
        "HTTP/1.1 503 Service Unavailable\r\nLavenderplank-Not-Executed: 1\r\nRetry-After: 0.",
        "HTTP/1.1 421 Misdirected Request\r\nLavenderplank-Not-Executed:",
        "HTTP/1.1 200 O",
        "HTTP/1.1 429 Too Many Requests\r\nLavenderplank-Not-Executed: 1\r\n\
         Lavenderplank-Attempt-Id: b-1",
    ];
    run(async {
        for beginning in BEGINNINGS {
            let late = Step::Write(format!("{beginning}{SECOND}").leak());
            let script = [Step::ReadAll, Step::Write(FIRST), Step::ReadAll, late];
            let target = RawTarget::bind(&[&script]).await;
            let world = World::bare(&[]).await;
            world.store.put("config", "main", config(1));
            let entry = json!({
                "address": target.address,
                "born": 1,
                "info": { "service": "desk", "slots": 3, "version": "v1", "zone": "north-a" },
                "status": { "coldRemaining": "0ms", "sequence": 1, "state": "ready" },
            });
            world.store.put("servers", "t-1", entry);
            let host = world.host("a").await;
            let served = world.ask(&host, booking("b-1")).await.expect("an answer");
            assert_eq!(served.status(), 200);
            let lost = world.ask(&host, booking("b-2")).await.expect("an answer");
            assert_eq!(target.connections(), 1, "{beginning:?}");
            assert_eq!((lost.status().as_u16(), target.runs()), (502, 2), "{beginning:?}");
        }
    });
}

/// How often targets ran a request.
fn runs(world: &World, attempt: &str) -> usize {
    let received = world.targets.iter().flat_map(|target| target.received());
    received.filter(|request| request.ran && request.attempt_id == attempt).count()
}
