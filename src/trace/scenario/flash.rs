//! A flash of callers: far more requests than slots, at one host, within half a second.

use super::{
    script::{Ask, Script},
    world::{self, SLOTS},
};
use crate::{
    prelude::*,
    trace::{Outcome, SteerTrace, Told},
};

const CALLERS: usize = 120;

pub fn make() -> SteerTrace {
    let mut script =
        Script::new("a flash of callers fills slots and queue; the rest is shed early");
    let mut manifest = world::manifest(1);
    // Only one zone, so that there is nowhere else to go.
    manifest.regions.truncate(1);
    manifest.regions[0].zones.truncate(1);
    for service in &mut manifest.services {
        service.targets.truncate(2);
    }
    let manifest = Arc::new(manifest);
    let host = script.host("zagreb-a-1", &manifest);
    let view = world::view(
        "zagreb-a-1",
        &manifest,
        &["zagreb-a-2", "zagreb-b-1", "split-a-1", "osijek-a-1"],
        script.now,
    );
    script.view(host, view);
    script.wait(Duration::from_millis(5));
    script.idle_reports(host, &manifest);
    for number in 0..CALLERS {
        script.ask(host, &Ask::read(&format!("caller-{number:03}"), "zagreb"));
        script.wait(Duration::from_millis(4));
    }
    script.settle();
    script.state(Outcome::Count { least: 60, most: CALLERS, told: Told::Pass });
    script.state(Outcome::Count {
        least: 10,
        most: CALLERS - 60,
        told: Told::Error(ErrorKind::NoSlots),
    });
    for target in ["status-zagreb-a-1", "status-zagreb-a-2"] {
        script.state(Outcome::SlotsAtMost { slots: SLOTS as usize, target: target.into() });
    }
    script.finish()
}
