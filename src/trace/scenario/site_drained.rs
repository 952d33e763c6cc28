//! A site is drained by an operator's word while requests run on it.

use super::{
    script::{Ask, Script},
    world,
};
use crate::{
    manifest::DrainScope,
    prelude::*,
    trace::{Outcome, SteerTrace, Told},
    view::View,
};

const HOSTS: [&str; 3] = ["zagreb-a-1", "zagreb-a-2", "zagreb-b-1"];

pub fn make() -> SteerTrace {
    let mut script =
        Script::new("a site is drained; what runs there ends, what comes goes elsewhere");
    let manifest = Arc::new(world::manifest(1));
    let machines = HOSTS.map(|id| script.host(id, &manifest));
    script.warm(machines[0], "zagreb");
    for machine in machines {
        script.ask(machine, &Ask::read(&format!("running-{machine}"), "zagreb"));
    }
    let scope = DrainScope::Zone("zagreb-a".into());
    for (machine, id) in machines.into_iter().zip(HOSTS) {
        let view = world::view(id, &manifest, &[], script.now);
        script.view(machine, View { drains: [scope.clone()].into(), ..view });
    }
    let drained = script.nanos();
    script.settle();
    for number in 0..6 {
        for machine in machines {
            script.ask(machine, &Ask::read(&format!("after-{machine}-{number}"), "zagreb"));
            script.settle();
        }
    }
    for machine in machines {
        let request = format!("running-{machine}").into();
        script.state(Outcome::Answered { request, told: vec![Told::Pass] });
    }
    for target in ["status-zagreb-a-1", "status-zagreb-a-2"] {
        let target = target.into();
        script.state(Outcome::NoDispatchAfter { machine: None, now: drained, target });
    }
    script.state(Outcome::ShiftedAtMost { share: 0.0 });
    script.finish()
}
