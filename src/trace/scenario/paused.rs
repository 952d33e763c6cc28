//! A host is paused past its lease; its neighbour takes its targets over; then it resumes.

use super::{
    script::{Ask, Script},
    world::{self, SLOTS},
};
use crate::{
    prelude::*,
    trace::{Outcome, SteerTrace},
    view::{Tenure, View},
};

const LEASE: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_secs(12);

pub fn make() -> SteerTrace {
    let mut script = Script::new("a host is paused past its lease and acts on what it last knew");
    let manifest = Arc::new(world::manifest(1));
    let paused = script.host("zagreb-a-1", &manifest);
    let neighbour = script.host("zagreb-a-2", &manifest);
    let view = world::view("zagreb-a-1", &manifest, &[], script.now);
    let tenure = Tenure { valid_until: script.now + LEASE, ..view.tenure.clone() };
    script.view(paused, View { tenure, ..view });
    script.warm(paused, "zagreb");
    script.ask(paused, &Ask::read("in-flight", "zagreb"));
    let lapsed = script.nanos() + LEASE.as_nanos() as u64;
    script.wait(PAUSE / 2);
    let view = world::view("zagreb-a-2", &manifest, &["zagreb-a-1"], script.now);
    script.view(neighbour, view);
    script.wait(PAUSE / 2);
    for number in 0..6 {
        script.ask(neighbour, &Ask::read(&format!("taken-over-{number}"), "zagreb"));
    }
    for number in 0..6 {
        script.ask(paused, &Ask::read(&format!("resumed-{number}"), "zagreb"));
    }
    script.settle();
    for target in ["status-zagreb-a-1", "status-zagreb-a-2"] {
        let (machine, target): (_, TargetId) = (Some(paused), target.into());
        script.state(Outcome::NoDispatchAfter { machine, now: lapsed, target: target.clone() });
        script.state(Outcome::SlotsAtMost { slots: SLOTS as usize, target });
    }
    // Those that wait for the lost right are told so at their deadline, not left waiting.
    script.wait(Duration::from_secs(5));
    script.tick(paused);
    script.tick(neighbour);
    script.finish()
}
