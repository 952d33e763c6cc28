//! A manifest is accepted while a zone can't reach the platform; it comes through a peer.

use super::{
    script::{Ask, Script},
    world::{self, STATUS},
};
use crate::{
    manifest::{DrainScope, Manifest},
    prelude::*,
    trace::{Outcome, SteerTrace, Told},
};

const RETIRED: &str = "status-zagreb-a-1";

pub fn make() -> SteerTrace {
    let mut script = Script::new("a manifest is accepted while one zone is cut off the platform");
    let old = Arc::new(world::manifest(1));
    let zagreb = script.host("zagreb-a-1", &old);
    let beside = script.host("zagreb-a-2", &old);
    let split = script.host("split-a-1", &old);
    let new = Arc::new(Manifest {
        drains: vec![DrainScope::Target(RETIRED.into())],
        services: renamed(&old),
        ..world::manifest(2)
    });
    in_force(&mut script, zagreb, "zagreb-a-1", &new);
    in_force(&mut script, beside, "zagreb-a-2", &new);
    let retired = script.nanos();
    ask_new(&mut script, zagreb, "new-at-zagreb", "zagreb");
    ask_new(&mut script, split, "new-at-split-early", "split");
    script.wait(Duration::from_secs(3));
    in_force(&mut script, split, "split-a-1", &new);
    ask_new(&mut script, split, "new-at-split", "split");
    for number in 0..6 {
        script.ask(zagreb, &Ask::read(&format!("old-{number}"), "zagreb"));
        script.settle();
    }
    for machine in [zagreb, split] {
        script.state(Outcome::InForce { machine, sequence: 2 });
    }
    for (request, told) in [
        ("new-at-zagreb", Told::Pass),
        ("new-at-split-early", Told::Error(ErrorKind::ServiceUnknown)),
        ("new-at-split", Told::Pass),
    ] {
        script.state(Outcome::Answered { request: request.into(), told: vec![told] });
    }
    let target = RETIRED.into();
    script.state(Outcome::NoDispatchAfter { machine: None, now: retired, target });
    script.finish()
}

/// The manifest's services and one more, with targets of the same places.
fn renamed(manifest: &Manifest) -> Vec<crate::manifest::Service> {
    let mut services = manifest.services.clone();
    let mut catalog = manifest.service(STATUS).expect("the world has it").clone();
    catalog.name = "catalog".into();
    for target in &mut catalog.targets {
        target.name = target.name.replace(STATUS, "catalog").into();
    }
    services.insert(0, catalog);
    services
}

fn in_force(script: &mut Script, machine: usize, id: &str, manifest: &Arc<Manifest>) {
    let view = world::view(id, manifest, &[], script.now);
    script.view(machine, view);
    script.wait(Duration::from_millis(2));
    script.idle_reports(machine, manifest);
}

fn ask_new(script: &mut Script, machine: usize, request: &str, region: &str) {
    script.ask(machine, &Ask { service: "catalog", ..Ask::read(request, region) });
    script.settle();
}
