//! A region is lost under load; its callers go to the hosts of two other regions.

use super::{
    script::{Ask, Script},
    world::{self, SHIFT_CAP},
};
use crate::{
    prelude::*,
    trace::{Outcome, SteerTrace, Told},
};

const LOST: &str = "split-a-1";

pub fn make() -> SteerTrace {
    let mut script =
        Script::new("a region is lost; its callers are served elsewhere up to the cap");
    let manifest = Arc::new(world::manifest(1));
    let zagreb = script.host("zagreb-a-1", &manifest);
    let osijek = script.host("osijek-a-1", &manifest);
    let receivers = [(zagreb, "zagreb-a-1", "zagreb"), (osijek, "osijek-a-1", "osijek")];
    for number in 0..20 {
        for (machine, _, region) in receivers {
            script.ask(machine, &Ask::read(&format!("home-{region}-{number}"), region));
            script.settle();
        }
    }
    for (machine, id, _) in receivers {
        let view = world::view(id, &manifest, &[LOST], script.now);
        script.view(machine, view);
    }
    let callers = 80;
    for number in 0..callers {
        let (machine, _, _) = receivers[number % receivers.len()];
        script.ask(machine, &Ask::read(&format!("lost-{number}"), "split"));
        script.wait(Duration::from_millis(50));
        script.settle();
    }
    script.state(Outcome::ShiftedAtLeast { times: 3 });
    // The cap is a share of what the lost region had: its callers are 80 of the 120 that arrive.
    script.state(Outcome::ShiftedAtMost { share: SHIFT_CAP * 80.0 / 120.0 });
    script.state(Outcome::Count {
        least: callers / 2,
        most: callers,
        told: Told::Error(ErrorKind::CapReached),
    });
    script.state(Outcome::Count { least: 40, most: 120, told: Told::Pass });
    script.finish()
}
