//! Targets whose responses never end, end to end over loopback.

#[path = "support/entry.rs"]
mod support;

use std::{fs, time::Duration};

use futures::future::join_all;
use lavenderplank::{
    entry::EntryHost,
    event_log::{AttemptReason, Event},
    platform::standin::{ResponseMode, Unending, UnendingPart},
};
use reqwest::Response;
use support::{Ask, World, booking, read, run, until};

const TWO: &[&str] = &["north-a", "north-a"];

/// Responses of each kind: a success, a failure and a refusal.
const MODES: [ResponseMode; 3] = [ResponseMode::Serve, ResponseMode::Fail, ResponseMode::Shed];

/// Parts that never end after the head of a response.
const BODY_PARTS: [UnendingPart; 3] =
    [UnendingPart::Body, UnendingPart::ChunkExtension, UnendingPart::Trailers];

/// Longest wait for the end of a body.
const PATIENCE: Duration = Duration::from_secs(10);

/// Largest body without a length that a host passes on.
const MAX_UNSTATED_BYTES: usize = 16 * 1024 * 1024;

/// Memory that a host may take up for responses that never end.
const MAX_GROWTH_KB: usize = 64 * 1024;

/// As fast as the host reads, and a byte now and then.
const PAUSES: [Duration; 2] = [Duration::ZERO, Duration::from_millis(50)];

/// Guards against a host whose memory grows with what targets send: each of eight callers at a time
/// waits for one of two targets, and reads whatever comes.
#[test]
fn unending_responses_take_no_memory() {
    run(async {
        let before = peak_memory_kb();
        for mode in MODES {
            for part in BODY_PARTS {
                let world = World::spawn(TWO).await;
                let host = world.host("a").await;
                for target in &world.targets {
                    target.queue_responses(&[mode; 16]);
                    target.set_unending(Some(Unending { part, pause: Duration::ZERO }));
                }
                join_all((0..8).map(async |number| {
                    let attempt = format!("b-{number}");
                    read_to_end(&world, &host, Ask { time_left: 1_000, ..booking(&attempt) }).await;
                }))
                .await;
                until("the host has left all targets alone", async || {
                    let closed = world.targets.iter().map(|target| target.unending_closed());
                    world.arrivals() == closed.sum::<usize>()
                })
                .await;
            }
        }
        let growth = peak_memory_kb() - before;
        assert!(growth < MAX_GROWTH_KB, "grew by {growth} KB");
    });
}

/// Guards against a booking that waits for the end of a refusal's body, although its head says that
/// the booking has not run.
#[test]
fn a_refusal_whose_body_never_ends_is_a_refusal() {
    run(async {
        for part in BODY_PARTS {
            for pause in PAUSES {
                let (world, host, first) = asked_once().await;
                world.targets[first].queue_responses(&[ResponseMode::Shed]);
                world.targets[first].set_unending(Some(Unending { part, pause }));
                let answer = world.ask(&host, booking("b-2")).await.expect("an answer");
                assert_eq!(answer.status(), 200, "{part:?}, {pause:?}");
                until("the refusal is left alone", async || {
                    world.targets[first].unending_closed() == 1
                })
                .await;
            }
        }
    });
}

/// Guards against a read that waits for the end of a failure's body, until it is hedged or its
/// caller's time ends.
#[test]
fn a_read_whose_failure_never_ends_is_sent_to_another_target() {
    run(async {
        for part in BODY_PARTS {
            let (world, host, first) = asked_once().await;
            world.targets[first].queue_responses(&[ResponseMode::Fail]);
            world.targets[first].set_unending(Some(Unending { part, pause: PAUSES[0] }));
            let answer = world.ask(&host, read("r-2")).await.expect("an answer");
            assert_eq!(answer.status(), 200, "{part:?}");
            let is_retry =
                |event: &Event| matches!(event, Event::Sent { reason: AttemptReason::Retry, .. });
            assert!(world.events.of("r-2").iter().any(is_retry), "{part:?}");
        }
    });
}

/// The head of a booking's failure says that it has run: its caller is told so, and no other target
/// gets it. Guards against a host that holds the answer back for its body.
#[test]
fn a_booking_whose_failure_never_ends_has_failed() {
    run(async {
        for pause in PAUSES {
            let world = World::spawn(TWO).await;
            let host = world.host("a").await;
            for target in &world.targets {
                target.queue_responses(&[ResponseMode::Fail]);
                target.set_unending(Some(Unending { part: UnendingPart::Body, pause }));
            }
            let answer = world.ask(&host, booking("b-1")).await.expect("an answer");
            assert_eq!(answer.status(), 500, "{pause:?}");
            assert!(answer.headers().contains_key("lavenderplank-server-seal"), "{pause:?}");
            assert!(!ends_well(answer).await, "a body that was cut looks whole");
            assert_eq!(world.arrivals(), 1);
        }
    });
}

/// Guards against an answer that keeps a slot, a connection and processor time for ever, if its
/// caller goes on reading.
#[test]
fn an_unending_answer_ends_with_its_callers_time() {
    run(async {
        for part in BODY_PARTS {
            for pause in PAUSES {
                let world = World::spawn(&["north-a"]).await;
                let host = world.host("a").await;
                let target = &world.targets[0];
                target.set_unending(Some(Unending { part, pause }));
                let answer = world.ask(&host, Ask { time_left: 400, ..read("r-1") }).await;
                if let Ok(answer) = answer {
                    assert!(
                        !ends_well(answer).await,
                        "{part:?}, {pause:?}: a cut body looks whole"
                    );
                }
                until("the target is left alone", async || target.unending_closed() == 1).await;
            }
        }
    });
}

/// Guards against an answer without a length that takes the whole link and processor for as long as
/// its caller waits.
#[test]
fn an_answer_without_a_length_is_bounded() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        let unending = Unending { part: UnendingPart::Body, pause: PAUSES[0] };
        world.targets[0].set_unending(Some(unending));
        let mut answer = world.ask(&host, read("r-1")).await.expect("a head");
        let mut bytes = 0;
        while let Ok(chunk) = answer.chunk().await {
            bytes += chunk.expect("a body that was cut looks whole").len();
        }
        assert!(bytes <= MAX_UNSTATED_BYTES, "{bytes} bytes");
    });
}

/// Guards against a target that is asked again and again although none of its responses ends.
#[test]
fn a_target_whose_responses_never_end_is_spared() {
    run(async {
        for mode in MODES {
            let world = World::spawn(&["north-a"]).await;
            let host = world.host("a").await;
            let target = &world.targets[0];
            target.queue_responses(&[mode; 100]);
            target.set_unending(Some(Unending { part: UnendingPart::Body, pause: PAUSES[0] }));
            let is_spared = |event: &Event| matches!(event, Event::TargetPaused { .. });
            until("the target is paused", async || {
                read_to_end(&world, &host, Ask { time_left: 300, ..booking("b") }).await;
                world.events.has(is_spared)
            })
            .await;
        }
    });
}

/// Guards against a head that never ends, or informational responses without end, that hold a booking
/// to the end of its caller's time, and the processor with it. Such bytes say nothing of the booking.
#[test]
fn a_head_that_never_ends_is_no_answer() {
    run(async {
        for (part, pause) in [
            (UnendingPart::Head, PAUSES[0]),
            (UnendingPart::Head, PAUSES[1]),
            (UnendingPart::Informational, PAUSES[0]),
        ] {
            let world = World::spawn(TWO).await;
            let host = world.host("a").await;
            for target in &world.targets {
                target.set_unending(Some(Unending { part, pause }));
            }
            let answer = world.ask(&host, booking("b-1")).await.expect("an answer");
            assert_eq!(
                (answer.status().as_u16(), world.arrivals()),
                (502, 1),
                "{part:?}, {pause:?}"
            );
        }
    });
}

/// Guards against a bound on heads that ends a response because informational ones come before it.
#[test]
fn a_response_after_a_pause_and_an_informational_one_arrives() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        let target = &world.targets[0];
        target.set_informational(Duration::from_millis(1_200));
        let answer = world.ask(&host, booking("b-1")).await.expect("an answer");
        assert_eq!(answer.status(), 200);
    });
}

/// Guards against a target that counts as sound because the long bodies of its failures end.
#[test]
fn a_target_whose_failures_are_long_is_spared() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        let target = &world.targets[0];
        target.set_response_body(vec![b'x'; 300_000]);
        target.queue_responses(&[ResponseMode::Fail; 2]);
        for attempt in ["b-1", "b-2"] {
            let answer = world.ask(&host, booking(attempt)).await.expect("a head");
            assert_eq!(answer.status(), 500);
            assert_eq!(answer.bytes().await.expect("a whole body").len(), 300_000);
        }
        assert!(world.events.has(|event| matches!(event, Event::TargetPaused { .. })));
    });
}

/// Two targets and a host; the number of the target that a booking about the usual object goes to.
async fn asked_once() -> (World, EntryHost, usize) {
    let world = World::spawn(TWO).await;
    let host = world.host("a").await;
    let answer = world.ask(&host, booking("first")).await.expect("an answer");
    assert_eq!(answer.status(), 200);
    let first = usize::from(world.targets[0].received().is_empty());
    (world, host, first)
}

/// Sends a request, and reads its response for as long as its caller waits.
async fn read_to_end(world: &World, host: &EntryHost, ask: Ask<'_>) {
    let time_left = Duration::from_millis(ask.time_left);
    let read = async {
        let answer = world.ask(host, ask).await?;
        reqwest::Result::Ok(ends_well(answer).await)
    };
    let _ = tokio::time::timeout(time_left, read).await;
}

/// Reads a response; whether its body ends as it should.
async fn ends_well(mut answer: Response) -> bool {
    let read = async {
        while answer.chunk().await?.is_some() {}
        reqwest::Result::Ok(())
    };
    tokio::time::timeout(PATIENCE, read).await.expect("the body ends in some way").is_ok()
}

/// Peak of this process's resident memory.
fn peak_memory_kb() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}
