//! A request crashes each target that runs it, and its caller sends it again and again.

use super::{
    script::{Ask, Running, Script},
    world,
};
use crate::{
    prelude::*,
    trace::{Outcome, SteerTrace, Told},
};

const POISON: &str = "/crashes";

pub fn make() -> SteerTrace {
    let mut script = Script::new("a request crashes targets; innocents beside it are served");
    let manifest = Arc::new(world::manifest(1));
    let host = script.host("zagreb-a-1", &manifest);
    script.host("zagreb-a-2", &manifest);
    script.host("zagreb-b-1", &manifest);
    script.warm(host, "zagreb");
    for number in 0..4 {
        script.ask(host, &Ask::read(&format!("innocent-{number}"), "zagreb"));
    }
    let ask = |request| Ask { path: POISON, ..Ask::read(request, "zagreb") };
    script.ask(host, &ask("poison-0"));
    crash_wherever_it_runs(&mut script);
    for request in ["poison-1", "poison-2", "poison-3"] {
        script.wait(Duration::from_secs(1));
        script.spread_marks();
        script.ask(host, &ask(request));
        crash_wherever_it_runs(&mut script);
    }
    for number in 0..4 {
        let request = format!("innocent-{number}").into();
        script.state(Outcome::Answered { request, told: vec![Told::Pass] });
    }
    script.state(Outcome::Dispatched { request: "poison-3".into(), times: 0 });
    script.state(Outcome::Answered {
        request: "poison-3".into(),
        told: vec![Told::Error(ErrorKind::Quarantined)],
    });
    script.finish()
}

/// Whatever runs beside the request on its target is lost with it; all else ends well.
fn crash_wherever_it_runs(script: &mut Script) {
    while !script.running.is_empty() {
        script.wait(Duration::from_millis(20));
        let running = std::mem::take(&mut script.running);
        let is_poison = |running: &&Running| running.request.starts_with("poison");
        let crashed: Vec<TargetId> =
            running.iter().filter(is_poison).map(|running| running.target.clone()).collect();
        for running in running {
            if crashed.contains(&running.target) {
                script.fail(&running, ErrorKind::DispatchLost);
            } else {
                script.succeed(&running);
            }
        }
    }
}
