//! Plays the parts around the decisions and writes down what comes of it.

use std::{collections::VecDeque, net::IpAddr};

use super::world;
use crate::{
    ledger::{KeptAnswer, request_digest},
    manifest::Manifest,
    prelude::*,
    quarantine::fingerprint,
    routing::Outcome as Ending,
    routing::{Action, Answer, Arrival, AttemptId, CallId, Event, RouterLimits, Via},
    selection::LoadReport,
    trace::{
        Header, Input, Machine, Outcome, Output, Setup, Start, SteerMachine, SteerTrace, Step,
    },
    view::View,
};

/// Time that a request takes on a target.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Longest time that a caller waits.
const PATIENCE: Duration = Duration::from_secs(4);

/// Requests that warm two targets up.
const WARM: usize = 24;

/// A request on a target.
#[derive(Clone, Debug)]
pub struct Running {
    pub attempt: AttemptId,
    pub machine: usize,
    pub request: RequestId,
    pub target: TargetId,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    pub client: IpAddr,
    /// Binding and idempotency key, for requests that run at most once.
    pub keyed: Option<(Binding, &'a str)>,
    /// Distinguishes what is asked for.
    pub path: &'a str,
    pub request: &'a str,
    pub service: &'a str,
}

impl<'a> Ask<'a> {
    /// A repeatable request of a caller at home in a region.
    pub fn read(request: &'a str, region: &str) -> Self {
        let client = world::client(region, 7);
        Self { client, keyed: None, path: request, request, service: world::STATUS }
    }
}

/// A run being made.
pub struct Script {
    calls: BTreeMap<(usize, CallId), Arrival>,
    /// The attempt of another machine that waits for the answer to a call.
    carried: BTreeMap<(usize, CallId), (usize, AttemptId)>,
    hosts: Vec<HostId>,
    machines: Vec<SteerMachine>,
    next_call: CallId,
    pub now: Moment,
    pub running: Vec<Running>,
    trace: SteerTrace,
}

impl Script {
    pub fn new(title: &str) -> Self {
        let (outcomes, starts, steps) = Default::default();
        Self {
            calls: BTreeMap::new(),
            carried: BTreeMap::new(),
            hosts: Vec::new(),
            machines: Vec::new(),
            next_call: 0,
            now: Moment::from_secs(100),
            running: Vec::new(),
            trace: SteerTrace { header: Header::new(title), outcomes, starts, steps },
        }
    }

    /// Starts a host, shows it the member, and has its targets report that they are idle.
    pub fn host(&mut self, id: &str, manifest: &Arc<Manifest>) -> usize {
        let machine = self.machines.len();
        let seed = 11 + machine as u64;
        let state = Setup {
            host: id.into(),
            incarnation: world::incarnation_of(id),
            limits: RouterLimits::default(),
        };
        self.machines.push(SteerMachine::start(seed, &state));
        self.hosts.push(id.into());
        self.trace.starts.push(Start { machine, seed, state });
        let view = world::view(id, manifest, &[], self.now);
        self.view(machine, view);
        self.wait(Duration::from_millis(1));
        self.idle_reports(machine, manifest);
        machine
    }

    /// Every target of the host's zone says that it runs nothing.
    pub fn idle_reports(&mut self, machine: usize, manifest: &Manifest) {
        let id = self.hosts[machine].clone();
        let targets = manifest.services.iter().flat_map(|service| &service.targets);
        for target in targets.filter(|target| id.starts_with(&*target.zone)) {
            let report = LoadReport { busy: 0, draining: false, slots: target.slots };
            self.event(machine, Event::Reported { report, target: target.name.clone() });
        }
    }

    pub fn view(&mut self, machine: usize, view: View) {
        self.event(machine, Event::Viewed { view: Arc::new(view) });
    }

    pub fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    /// The binding that look-ups on the host give out now.
    pub fn binding(&self, machine: usize) -> Binding {
        self.machines[machine].steer().binding()
    }

    /// A caller's request arrives.
    pub fn ask(&mut self, machine: usize, ask: &Ask<'_>) -> CallId {
        self.next_call += 1;
        let (call, member, service) =
            (self.next_call, MemberId::from(world::MEMBER), ServiceId::from(ask.service));
        let arrival = Arrival {
            binding: ask.keyed.as_ref().map(|(binding, _)| binding.clone()),
            body_len: 2,
            call,
            client: ask.client,
            deadline: self.now + PATIENCE,
            digest: request_digest("POST", ask.path, b"{}"),
            fingerprint: fingerprint(&member, &service, "POST", ask.path, b"{}"),
            key: ask.keyed.as_ref().map(|(_, key)| (*key).into()),
            member,
            request: ask.request.into(),
            service,
            via: Via::Caller,
        };
        self.arrive(machine, arrival);
        call
    }

    /// Requests one after the other, until the targets are warm.
    pub fn warm(&mut self, machine: usize, region: &str) {
        for number in 0..WARM {
            self.ask(machine, &Ask::read(&format!("warm-{machine}-{number}"), region));
            self.settle();
        }
    }

    /// The caller of that call is gone.
    pub fn cancel(&mut self, machine: usize, call: CallId) {
        self.event(machine, Event::Cancelled { call });
    }

    /// Hosts tell each other of requests that crash targets.
    pub fn spread_marks(&mut self) {
        for from in 0..self.machines.len() {
            let marks = self.machines[from].steer().marks(self.now);
            for to in (0..self.machines.len()).filter(|to| *to != from) {
                self.event(to, Event::Marked { marks: marks.clone() });
            }
        }
    }

    /// The regular look at what has come due.
    pub fn tick(&mut self, machine: usize) {
        self.event(machine, Event::Tick);
    }

    /// Time passes in small steps until all that runs has ended well.
    pub fn settle(&mut self) {
        while !self.running.is_empty() {
            self.wait(SERVICE_TIME);
            for running in std::mem::take(&mut self.running) {
                self.succeed(&running);
            }
        }
    }

    /// What runs for that request.
    pub fn take(&mut self, request: &str) -> Running {
        let index = self.running.iter().position(|running| &*running.request == request);
        self.running.remove(index.expect("the script expects it to run"))
    }

    /// The target gives its whole answer.
    pub fn succeed(&mut self, running: &Running) {
        let kept = KeptAnswer { body: "{}".into(), headers: Vec::new(), status: 200 };
        let ending =
            Ending::Answered { kept: Some(Arc::new(kept)), latency: SERVICE_TIME, status: 200 };
        self.end(running.machine, running.attempt, ending);
    }

    /// The attempt fails.
    pub fn fail(&mut self, running: &Running, error: ErrorKind) {
        let ending = Ending::Failed { error, latency: SERVICE_TIME, passed: false };
        self.end(running.machine, running.attempt, ending);
    }

    pub fn end(&mut self, machine: usize, attempt: AttemptId, outcome: Ending) {
        self.event(machine, Event::Ended { attempt, outcome });
    }

    pub fn state(&mut self, outcome: Outcome) {
        self.trace.outcomes.push(outcome);
    }

    /// The finished run; the statements that every run must bear out are added.
    pub fn finish(mut self) -> SteerTrace {
        self.settle();
        self.state(Outcome::AllAnswered);
        self.state(Outcome::Unbroken);
        self.trace
    }

    pub fn nanos(&self) -> u64 {
        u64::try_from(self.now.as_nanos()).unwrap_or(u64::MAX)
    }

    fn arrive(&mut self, machine: usize, arrival: Arrival) {
        self.calls.insert((machine, arrival.call), arrival.clone());
        self.event(machine, Event::Arrived(arrival));
    }

    /// Gives an event to a machine and carries out what it asks for.
    fn event(&mut self, machine: usize, event: Event) {
        let mut due = VecDeque::from([(machine, event)]);
        while let Some((machine, event)) = due.pop_front() {
            let input = Input::Event(event);
            let outputs = self.machines[machine].on(&input, self.now);
            let now = self.nanos();
            for output in &outputs {
                if let Output::Action(action) = output {
                    self.carry_out(machine, action, &mut due);
                }
            }
            self.trace.steps.push(Step { actions: outputs, event: input, machine, now });
        }
    }

    fn carry_out(&mut self, machine: usize, action: &Action, due: &mut VecDeque<(usize, Event)>) {
        match action {
            Action::Answer { answer, call } => {
                let Some((origin, attempt)) = self.carried.remove(&(machine, *call)) else {
                    return;
                };
                due.push_back((origin, Event::Ended { attempt, outcome: carried_ending(answer) }));
            }
            Action::Cancel { attempt } => {
                let is_it =
                    |running: &Running| (running.machine, running.attempt) == (machine, *attempt);
                self.running.retain(|running| !is_it(running));
                let carried =
                    self.carried.iter().find(|(_, origin)| **origin == (machine, *attempt));
                if let Some((&(to, call), _)) = carried {
                    self.carried.remove(&(to, call));
                    due.push_back((to, Event::Cancelled { call }));
                }
            }
            Action::Dispatch { attempt, call, target, .. } => {
                let request = self.calls[&(machine, *call)].request.clone();
                let (attempt, target) = (*attempt, target.clone());
                self.running.push(Running { attempt, machine, request, target });
            }
            Action::Forward { attempt, call, host, via, .. } => {
                self.forward(machine, (*attempt, *call), host, *via, due);
            }
            Action::Note { .. } => {}
        }
    }

    /// A host that is not played is not reached: no connection, so not run.
    fn forward(
        &mut self,
        machine: usize,
        (attempt, call): (AttemptId, CallId),
        host: &HostId,
        via: Via,
        due: &mut VecDeque<(usize, Event)>,
    ) {
        let Some(to) = self.hosts.iter().position(|id| id == host) else {
            let outcome = Ending::Failed {
                error: ErrorKind::ConnectFailed,
                latency: SERVICE_TIME,
                passed: false,
            };
            return due.push_back((machine, Event::Ended { attempt, outcome }));
        };
        self.next_call += 1;
        let arrival = Arrival { call: self.next_call, via, ..self.calls[&(machine, call)].clone() };
        self.carried.insert((to, arrival.call), (machine, attempt));
        self.calls.insert((to, arrival.call), arrival.clone());
        due.push_back((to, Event::Arrived(arrival)));
    }
}

/// What the host that forwarded a request learns from the answer.
fn carried_ending(answer: &Answer) -> Ending {
    match answer {
        Answer::Error { error, .. } => {
            Ending::Failed { error: *error, latency: SERVICE_TIME, passed: false }
        }
        Answer::Kept { kept } => {
            let status = kept.status;
            Ending::Answered { kept: Some(kept.clone()), latency: SERVICE_TIME, status }
        }
        Answer::Pass => Ending::Answered { kept: None, latency: SERVICE_TIME, status: 200 },
    }
}
