//! Responses of targets that belong to another request, end to end over loopback.

#[path = "support/entry.rs"]
mod support;

use std::time::Duration;

use lavenderplank::platform::standin::{ResponseMode, Statements};
use support::{HOST, World, booking, run};

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

/// How often targets ran a request.
fn runs(world: &World, attempt: &str) -> usize {
    let received = world.targets.iter().flat_map(|target| target.received());
    received.filter(|request| request.ran && request.attempt_id == attempt).count()
}
