//! Carries requests between callers, hosts and targets, with their delays.

use super::{
    agenda::{Attempt, Step},
    experiment::{CALLER_DELAY, Experiment, Origin, Sent},
    world::{self, SLOTS},
};
use crate::{
    lookup::owner_of,
    prelude::*,
    routing::{Action, Answer, Arrival, Event, Outcome, Via},
    selection::LoadReport,
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
        self.arrive(host, Origin { forwarded: None, request }, Via::Caller, deadline);
    }

    pub(super) fn at_peer(&mut self, attempt: Attempt, via: Via) {
        if !self.hosts[attempt.to].alive {
            return self.fail(attempt, ErrorKind::ConnectFailed, CONNECT_TIMEOUT);
        }
        let origin = Origin { forwarded: Some(attempt), request: attempt.request };
        self.arrive(attempt.to, origin, via, attempt.since + attempt.timeout);
    }

    fn arrive(&mut self, host: usize, origin: Origin, via: Via, deadline: Moment) {
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
            request: origin.request.to_string().into(),
            service: request.service.clone(),
            via,
        };
        self.feed(host, Event::Arrived(arrival));
    }

    /// Lets a host's machine decide and carries out what it says.
    pub(super) fn feed(&mut self, host: usize, event: Event) {
        if !self.hosts[host].alive {
            return;
        }
        let actions = self.hosts[host].steer.handle(event, self.now, &mut self.rng);
        for action in actions {
            match action {
                Action::Answer { answer, call } => self.answer(host, call, answer),
                Action::Cancel { attempt } => self.cancel(host, attempt),
                Action::Dispatch { attempt, call, target, timeout, .. } => {
                    let to = self.backends.iter().position(|backend| backend.name == target);
                    let attempt = self.attempt(host, call, attempt, to, timeout);
                    self.hosts[host].sent.insert(attempt.number, Sent { attempt, via: None });
                    let way = self.way_to_target(attempt);
                    self.agenda.add(self.now + way, Step::AtTarget { attempt });
                }
                Action::Forward { attempt, call, host: peer, timeout, via, .. } => {
                    let to = self.hosts.iter().position(|host| host.view.id == peer);
                    let attempt = self.attempt(host, call, attempt, to, timeout);
                    let way = self.way_to_host(attempt);
                    self.hosts[host].sent.insert(attempt.number, Sent { attempt, via: Some(via) });
                    self.agenda.add(self.now + way, Step::AtPeer { attempt, via });
                }
                Action::Note { kind: EventKind::Hedged { .. }, .. } => {
                    self.tally.hedged += u64::from(self.is_counted());
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
        if SLOTS <= backend.busy() {
            self.tally.shed += u64::from(counted);
            return self.fail(attempt, ErrorKind::Shed, way);
        }
        backend.running.insert((attempt.from, attempt.number));
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
        if !backend.running.remove(&(attempt.from, attempt.number)) {
            return;
        }
        self.busy[backend.region].change(-1, self.now);
        if backend.dead {
            return self.fail(attempt, ErrorKind::DispatchLost, way);
        }
        if !served {
            return self.fail(attempt, ErrorKind::DispatchTimeout, way);
        }
        self.succeed(attempt, way);
    }

    /// A host gives an attempt up; the word travels the same way as the request did.
    fn cancel(&mut self, host: usize, number: u64) {
        let Some(Sent { attempt, via }) = self.hosts[host].sent.remove(&number) else { return };
        let to_host = via.is_some();
        let way = if to_host { self.way_to_host(attempt) } else { self.way_to_target(attempt) };
        self.agenda.add(self.now + way, Step::Cancelled { attempt, to_host });
    }

    /// A target stops what it runs for an attempt, a host what it does for another host's.
    pub(super) fn cancelled(&mut self, attempt: Attempt, to_host: bool) {
        if to_host {
            let is_it = |origin: &Origin| {
                let forwarded = origin.forwarded.map(|sent| (sent.from, sent.number));
                forwarded == Some((attempt.from, attempt.number))
            };
            let mut calls = self.hosts[attempt.to].calls.iter();
            let call = calls.find(|(_, origin)| is_it(origin)).map(|(call, _)| *call);
            return call.into_iter().for_each(|call| {
                self.feed(attempt.to, Event::Cancelled { call });
            });
        }
        let backend = &mut self.backends[attempt.to];
        if backend.running.remove(&(attempt.from, attempt.number)) {
            self.busy[backend.region].change(-1, self.now);
        }
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
