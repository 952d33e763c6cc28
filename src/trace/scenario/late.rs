//! Answers come late, twice and crossed; a booking's answer is lost and the clerk sends it again.

use super::{
    script::{Ask, Script},
    world::{self, INTAKE},
};
use crate::{
    prelude::*,
    trace::{Outcome, SteerTrace, Told},
};

pub fn make() -> SteerTrace {
    let mut script = Script::new("answers late, twice and crossed; a booking with a lost answer");
    let manifest = Arc::new(world::manifest(1));
    let host = script.host("zagreb-a-1", &manifest);
    script.host("zagreb-a-2", &manifest);
    script.warm(host, "zagreb");
    crossed(&mut script, host);
    booking(&mut script, host);
    script.finish()
}

/// Two answers come in the other order; a third caller leaves before its answer comes.
fn crossed(script: &mut Script, host: usize) {
    let mut running = Vec::new();
    for request in ["first", "second"] {
        script.ask(host, &Ask::read(request, "zagreb"));
        running.push(script.take(request));
    }
    let left = script.ask(host, &Ask::read("left", "zagreb"));
    let of_left = script.take("left");
    script.wait(Duration::from_millis(30));
    script.cancel(host, left);
    script.succeed(&running[1]);
    script.succeed(&of_left);
    script.succeed(&running[0]);
    script.succeed(&running[1]);
    for request in ["first", "second"] {
        script.state(Outcome::Answered { request: request.into(), told: vec![Told::Pass] });
    }
    script.state(Outcome::Answered {
        request: "left".into(),
        told: vec![Told::Error(ErrorKind::StreamCut)],
    });
}

/// The target does not answer in time, so whether the booking ran is unknown; the clerk sends it
/// again with the same key, and then again after the late answer came. It must not run again.
fn booking(script: &mut Script, host: usize) {
    let binding = script.binding(host);
    let ask = |request| Ask {
        client: world::client("zagreb", 9),
        keyed: Some((binding.clone(), "key-1")),
        path: "/intake/1",
        request,
        service: INTAKE,
    };
    script.ask(host, &ask("booking"));
    let running = script.take("booking");
    script.wait(Duration::from_secs(2));
    script.fail(&running, ErrorKind::DispatchTimeout);
    script.ask(host, &ask("booking-again"));
    script.wait(Duration::from_millis(300));
    script.succeed(&running);
    script.ask(host, &ask("booking-third"));
    script.state(Outcome::Dispatched { request: "booking".into(), times: 1 });
    script.state(Outcome::Answered {
        request: "booking".into(),
        told: vec![Told::Error(ErrorKind::DispatchTimeout)],
    });
    for request in ["booking-again", "booking-third"] {
        script.state(Outcome::Dispatched { request: request.into(), times: 0 });
        script.state(Outcome::Answered {
            request: request.into(),
            told: vec![Told::Error(ErrorKind::DispatchLost)],
        });
    }
}
