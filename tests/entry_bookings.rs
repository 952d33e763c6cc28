//! Bookings that a host must send to one target only, end to end over loopback.

#[path = "support/entry.rs"]
mod support;

use std::{sync::Arc, time::Duration};

use lavenderplank::{
    base::{BootClock, Clock, Moment},
    platform::{ObjectStore, standin::ResponseMode},
};
use support::{World, booking, run};

/// Runs at half the speed of the timers.
struct SlowClock;

impl Clock for SlowClock {
    fn now(&self) -> Moment {
        BootClock.now() / 2
    }
}

/// Guards against a booking that is hedged as its timer fires before its deadline has passed by the
/// host's clock.
#[test]
fn a_booking_is_not_hedged_when_its_timer_fires_early() {
    run(async {
        let world = World::spawn(&["north-a", "north-b"]).await;
        let store = Arc::new(ObjectStore::new(world.store.addr()));
        let host = world.host_that_learns("a", Arc::new(SlowClock), store).await;
        world.until_ready(&host).await;
        world.targets.iter().for_each(|target| target.queue_responses(&[ResponseMode::Hang]));
        let mut slow = booking("b-1");
        slow.time_left = 400;
        let answer = world.ask(&host, slow).await.expect("an answer");
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!((answer.status().as_u16(), world.arrivals()), (504, 1));
    });
}
