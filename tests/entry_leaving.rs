//! Targets that say in a response that they leave, end to end over loopback.

#[path = "support/entry.rs"]
mod support;

use lavenderplank::platform::standin::Statements;
use support::{RESPONSES, World, booking, read, run, until};

/// The store still calls the target ready. Guards against a host that goes on sending to it, also
/// if the response that says so is refused, broken, failed or streamed.
#[test]
fn a_target_that_said_it_leaves_gets_no_more_requests() {
    run(async {
        for mode in RESPONSES {
            let world = World::spawn(&["north-a"]).await;
            let host = world.host("a").await;
            let target = &world.targets[0];
            target.set_statements(Statements { is_leaving: true, ..Statements::default() });
            target.queue_responses(&[mode]);
            let _ = world.ask(&host, booking("first")).await.expect("an answer").bytes().await;
            target.set_statements(Statements::default());
            for _ in 0..5 {
                let answer = world.ask(&host, read("r-1")).await.expect("an answer");
                assert_eq!((answer.status().as_u16(), world.arrivals()), (503, 1), "{mode:?}");
            }
            // A target that starts again under its id has said nothing.
            world.store.put("servers", target.id(), target.store_entry("ready", 2));
            until("the target serves again", async || {
                world.ask(&host, read("r-2")).await.is_ok_and(|answer| answer.status() == 200)
            })
            .await;
        }
    });
}
