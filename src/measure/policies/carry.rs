//! Carries requests between callers, hosts and targets, with their delays.

use super::{
    agenda::{Attempt, Step},
    experiment::{CALLER_DELAY, Experiment, Origin},
    world::{self, SLOTS},
};
use crate::{
    lookup::owner_of,
    prelude::*,
    selection::LoadReport,
    steer::{Action, Answer, Arrival, Event, Outcome, Via},
    timeline::EventKind,
};

/// Time after which a connection to a host that is gone is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit of one sending.
const DEADLINE: Duration = Duration::from_secs(3);

impl Experiment {
    pub(super) fn at_host(&mut self, host: usize, request: usize) {
        if !self.hosts[host].alive {
            // The caller tries the next host of its answer.
            self.requests[request].hosts.remove(0);
            let at = self.now + CONNECT_TIMEOUT;
            return self.send_again(request, at);
        }
        let deadline = self.now + DEADLINE;
        self.arrive(host, Origin { forwarded: None, request }, deadline);
    }

    pub(super) fn at_peer(&mut self, attempt: Attempt) {
        if !self.hosts[attempt.to].alive {
            return self.fail(attempt, ErrorKind::ConnectFailed, CONNECT_TIMEOUT);
        }
        let origin = Origin { forwarded: Some(attempt), request: attempt.request };
        self.arrive(attempt.to, origin, attempt.since + attempt.timeout);
    }

    fn arrive(&mut self, host: usize, origin: Origin, deadline: Moment) {
        let request = &self.requests[origin.request];
        let state = &mut self.hosts[host];
        state.next_call += 1;
        state.calls.insert(state.next_call, origin);
        let arrival = Arrival {
            binding: None,
            body_len: 0,
            call: state.next_call,
            client: request.client,
            deadline,
            digest: Default::default(),
            fingerprint: origin.request as u128,
            key: None,
            member: self.manifest.member.clone(),
            request: "".into(),
            service: request.service.clone(),
            via: if origin.forwarded.is_some() { Via::SlotHop } else { Via::Caller },
        };
        self.feed(host, Event::Arrived(arrival));
    }

    /// Lets a host's machine decide and carries out what it says.
    pub(super) fn feed(&mut self, host: usize, event: Event) {
        if !self.hosts[host].alive {
            return;
        }
        let actions = self.hosts[host].steer.on(event, self.now, &mut self.rng);
        for action in actions {
            match action {
                Action::Answer { answer, call } => self.answer(host, call, answer),
                Action::Dispatch { attempt, call, target, timeout, .. } => {
                    let to = self.backends.iter().position(|backend| backend.name == target);
                    let attempt = self.attempt(host, call, attempt, to, timeout);
                    let way = self.way_to_target(attempt);
                    self.agenda.add(self.now + way, Step::AtTarget { attempt });
                }
                Action::Forward { attempt, call, host: peer, timeout, .. } => {
                    let to = self.hosts.iter().position(|host| host.view.id == peer);
                    let attempt = self.attempt(host, call, attempt, to, timeout);
                    let way = self.way_to_host(attempt);
                    self.agenda.add(self.now + way, Step::AtPeer { attempt });
                }
                Action::Note { kind: EventKind::InvariantBroken { .. }, .. } => {
                    self.tally.broken += 1;
                }
                _ => {}
            }
        }
    }

    fn attempt(
        &self,
        from: usize,
        call: u64,
        number: u64,
        to: Option<usize>,
        timeout: Duration,
    ) -> Attempt {
        let request = self.hosts[from].calls[&call].request;
        Attempt { from, number, request, since: self.now, to: to.unwrap_or_default(), timeout }
    }

    fn way_to_host(&self, attempt: Attempt) -> Duration {
        let to = &self.hosts[attempt.to].view;
        world::delay(&self.hosts[attempt.from].view, &to.region, &to.zone)
    }

    fn way_to_target(&self, attempt: Attempt) -> Duration {
        let to = &self.backends[attempt.to];
        let region = &self.manifest.regions[to.region].name;
        world::delay(&self.hosts[attempt.from].view, region, &to.zone)
    }

    fn answer(&mut self, host: usize, call: u64, answer: Answer) {
        let Some(origin) = self.hosts[host].calls.remove(&call) else { return };
        let Some(attempt) = origin.forwarded else {
            let at = self.now + CALLER_DELAY;
            return self.agenda.add(at, Step::Answered { answer, request: origin.request });
        };
        let way = self.way_to_host(attempt);
        match answer {
            Answer::Error { error, .. } => self.fail(attempt, error, way),
            _ => self.succeed(attempt, way),
        }
    }

    pub(super) fn at_target(&mut self, attempt: Attempt) {
        let way = self.way_to_target(attempt);
        let counted = self.is_counted();
        let (home, work) =
            (self.requests[attempt.request].home, self.requests[attempt.request].work);
        let backend = &mut self.backends[attempt.to];
        if backend.dead {
            return self.fail(attempt, ErrorKind::ConnectFailed, way);
        }
        self.tally.sent += u64::from(counted);
        if SLOTS <= backend.busy {
            self.tally.shed += u64::from(counted);
            return self.fail(attempt, ErrorKind::Shed, way);
        }
        backend.busy += 1;
        let region = backend.region;
        self.busy[region].change(1, self.now);
        let time = backend.service_time(work, home);
        if region != home && counted {
            self.tally.count(home, true, self.now);
        }
        let served = time <= attempt.timeout;
        let at = self.now + time.min(attempt.timeout);
        self.agenda.add(at, Step::Done { attempt, served });
    }

    pub(super) fn done(&mut self, attempt: Attempt, served: bool) {
        let way = self.way_to_target(attempt);
        let backend = &mut self.backends[attempt.to];
        backend.busy -= 1;
        self.busy[backend.region].change(-1, self.now);
        if backend.dead {
            return self.fail(attempt, ErrorKind::DispatchLost, way);
        }
        if !served {
            return self.fail(attempt, ErrorKind::DispatchTimeout, way);
        }
        self.succeed(attempt, way);
    }

    fn fail(&mut self, attempt: Attempt, error: ErrorKind, way: Duration) {
        let at = self.now + way;
        let outcome = Outcome::Failed { error, latency: at - attempt.since, passed: false };
        self.agenda.add(at, Step::Ended { attempt, outcome });
    }

    fn succeed(&mut self, attempt: Attempt, way: Duration) {
        let at = self.now + way;
        let outcome = Outcome::Answered { kept: None, latency: at - attempt.since, status: 200 };
        self.agenda.add(at, Step::Ended { attempt, outcome });
    }

    /// A load report reaches the host that owns the target.
    pub(super) fn reported(&mut self, report: LoadReport, target: usize) {
        let backend = &self.backends[target];
        let owners: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|host| host.alive && host.view.zone == backend.zone)
            .map(|host| host.view.id.clone())
            .collect();
        let owner = owner_of(&backend.name, &owners);
        let host = self.hosts.iter().position(|host| Some(&host.view.id) == owner);
        let target = backend.name.clone();
        if let Some(host) = host {
            self.feed(host, Event::Reported { report, target });
        }
    }
}
