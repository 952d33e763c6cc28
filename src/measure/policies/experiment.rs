//! One run: the real machine of every host over modelled targets and callers, in virtual time.

use std::net::IpAddr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Contender, Member, Row, Scenario,
    agenda::{Agenda, Step},
    backend::{Backend, Busy, Endpoint},
    result::Tally,
    scenario::{EVENT_AT, FLASH, SUSPICION},
    world::{self, SLOTS, ServiceShape},
};
use crate::{
    lookup::{BlockTable, HostIndex, LookupRequest},
    manifest::Manifest,
    prelude::*,
    routing::{Answer, Event, Router, RouterLimits, Via},
    view::{Baseline, HostView},
};

/// Callers of a region.
const CALLERS: u16 = 400;
/// One way between a caller and a host.
pub(super) const CALLER_DELAY: Duration = Duration::from_millis(8);
/// What a lost request counts as; a caller gives up after it.
const PATIENCE: Duration = Duration::from_secs(10);
/// Sendings of one request, the first included.
const SENDINGS: u32 = 4;
/// Runs up to here fill caches and windows and are not counted.
const WARM_UP: Duration = Duration::from_secs(15);
/// Length of a run.
const LENGTH: Duration = Duration::from_secs(50);
/// Period of load reports and samples.
const SAMPLE: Duration = Duration::from_millis(500);
/// Period of the hosts' ticks, as in the daemon.
const TICK: Duration = Duration::from_millis(20);
/// Spread of the work of requests around the service's mean: sigma of a lognormal.
const WORK_SIGMA: f64 = 0.6;
/// How many times slower a slow target is.
const SLOW: f64 = 10.0;

/// The state of one run.
pub(super) struct Experiment {
    pub agenda: Agenda,
    pub backends: Vec<Backend>,
    pub busy: [Busy; 3],
    pub hosts: Vec<Host>,
    index: HostIndex,
    pub manifest: Arc<Manifest>,
    pub now: Moment,
    pub requests: Vec<Request>,
    pub rng: ChaCha8Rng,
    scenario: Scenario,
    table: Arc<BlockTable>,
    pub tally: Tally,
}

pub(super) struct Host {
    pub alive: bool,
    /// By call number.
    pub calls: BTreeMap<u64, Origin>,
    pub next_call: u64,
    /// Attempts under way, by number.
    pub sent: BTreeMap<u64, Sent>,
    pub steer: Router,
    pub view: HostView,
}

/// An attempt under way.
#[derive(Clone, Copy)]
pub(super) struct Sent {
    pub attempt: super::agenda::Attempt,
    /// How it went to another host; `None` to a target.
    pub via: Option<Via>,
}

/// Where a call came from.
#[derive(Clone, Copy)]
pub(super) struct Origin {
    /// The attempt of the host that forwarded it; `None` for a caller.
    pub forwarded: Option<super::agenda::Attempt>,
    pub request: usize,
}

pub(super) struct Request {
    pub client: IpAddr,
    pub home: usize,
    /// The caller's cached look-up, best first.
    pub hosts: Vec<HostId>,
    hosts_until: Moment,
    sendings: u32,
    pub service: ServiceId,
    started: Moment,
    /// Seconds that a warm, idle target takes for it.
    pub work: f64,
}

/// Runs one contender through one scenario.
pub(super) fn run(contender: Contender, member: Member, scenario: Scenario, seed: u64) -> Row {
    let mut experiment = Experiment::new(contender, member, scenario, seed);
    experiment.plan_callers(member, seed);
    experiment.go();
    let headroom = experiment.busy.iter().map(Busy::headroom).collect();
    experiment.tally.row(contender, member, scenario, seed, headroom)
}

impl Experiment {
    fn new(contender: Contender, member: Member, scenario: Scenario, seed: u64) -> Self {
        let manifest = Arc::new(member.manifest());
        let views = member.hosts();
        let limits = RouterLimits { tuning: contender.tuning(), ..RouterLimits::default() };
        let host = |view: &HostView| Host {
            alive: true,
            calls: BTreeMap::new(),
            next_call: 0,
            sent: BTreeMap::new(),
            steer: Router::new(view.id.clone(), view.incarnation, limits.clone()),
            view: view.clone(),
        };
        let backends = backends(&manifest, scenario);
        let mut busy = [Busy::default(); 3];
        backends.iter().for_each(|backend| busy[backend.region].slots += SLOTS);
        let mut agenda = Agenda::default();
        agenda.add(Duration::ZERO, Step::Views);
        agenda.add(SAMPLE, Step::Sample);
        agenda.add(TICK, Step::Tick);
        agenda.add(EVENT_AT, Step::Event);
        Self {
            agenda,
            backends,
            busy,
            hosts: views.iter().map(host).collect(),
            index: HostIndex::build(&world::view_of(&views[0], &views, &manifest)),
            table: manifest.client_blocks.table().clone(),
            manifest,
            now: Duration::ZERO,
            requests: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 1),
            scenario,
            tally: Tally::new(),
        }
    }

    /// Draws every arrival from one seed, so that all contenders meet the same callers.
    fn plan_callers(&mut self, member: Member, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for shape in member.services() {
            for home in 0..member.regions().len() {
                self.plan_flow(&shape, home, &mut rng);
            }
        }
    }

    fn plan_flow(&mut self, shape: &ServiceShape, home: usize, rng: &mut ChaCha8Rng) {
        let slots = f64::from(SLOTS) * shape.targets as f64 / 3.0;
        let base = self.scenario.load() * slots / shape.mean;
        let flash_time = EVENT_AT.as_secs_f64()..(EVENT_AT + FLASH).as_secs_f64();
        let mut at = 0.0;
        loop {
            let flash = self.scenario == Scenario::Flash && home == 0 && flash_time.contains(&at);
            let rate = if flash { base * 3.0 } else { base };
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            let started = Duration::from_secs_f64(at);
            if LENGTH <= started {
                return;
            }
            let exponent = WORK_SIGMA * normal(rng) - WORK_SIGMA * WORK_SIGMA / 2.0;
            let request = self.requests.len();
            self.requests.push(Request {
                client: world::client(home, rng.random_range(0..CALLERS)),
                home,
                hosts: Vec::new(),
                hosts_until: Duration::ZERO,
                sendings: 0,
                service: shape.name.into(),
                started,
                work: shape.mean * exponent.exp(),
            });
            self.agenda.add(started, Step::Send { request });
        }
    }

    fn go(&mut self) {
        while let Some((at, step)) = self.agenda.take() {
            self.now = at;
            match step {
                Step::Answered { answer, request } => self.answered(request, &answer),
                Step::AtHost { host, request } => self.at_host(host, request),
                Step::AtPeer { attempt, via } => self.at_peer(attempt, via),
                Step::AtTarget { attempt } => self.at_target(attempt),
                Step::Cancelled { attempt, to_host } => self.cancelled(attempt, to_host),
                Step::Done { attempt, served } => self.done(attempt, served),
                Step::Ended { attempt, outcome } => {
                    self.hosts[attempt.from].sent.remove(&attempt.number);
                    let event = Event::Ended { attempt: attempt.number, outcome };
                    self.feed(attempt.from, event);
                }
                Step::Event => self.event(),
                Step::Report { report, target } => self.reported(report, target),
                Step::Sample => self.sample(),
                Step::Send { request } => self.send(request),
                Step::Tick => self.tick(),
                Step::Views => self.show_views(),
            }
        }
    }

    /// Whether now is neither in the warm-up nor after the last arrivals.
    pub(super) fn is_counted(&self) -> bool {
        WARM_UP <= self.now && self.now < LENGTH
    }

    fn send(&mut self, request: usize) {
        let (now, state) = (self.now, &mut self.requests[request]);
        if state.sendings == 0 && WARM_UP <= now && now < LENGTH {
            self.tally.count(state.home, false, now);
        }
        state.sendings += 1;
        if state.hosts.is_empty() || state.hosts_until <= now {
            let ask = LookupRequest { client: state.client, service: state.service.clone() };
            let lookup = self.index.rank(&self.table, &ask);
            // Callers cache: a request meets an answer of any age up to the longest.
            state.hosts_until = now + lookup.max_age.mul_f64(self.rng.random());
            state.hosts = lookup.hosts.into_iter().map(|ranked| ranked.host).collect();
        }
        let first = &self.requests[request].hosts[0];
        let Some(host) = self.hosts.iter().position(|host| host.view.id == *first) else { return };
        self.agenda.add(now + CALLER_DELAY, Step::AtHost { host, request });
    }

    /// The caller sends again at `at`, unless it has had enough.
    pub(super) fn send_again(&mut self, request: usize, at: Moment) {
        let state = &self.requests[request];
        if SENDINGS <= state.sendings || state.started + PATIENCE <= at {
            return self.finish(request, false);
        }
        self.agenda.add(at, Step::Send { request });
    }

    fn answered(&mut self, request: usize, answer: &Answer) {
        let Answer::Error { error, retry_after } = answer else {
            return self.finish(request, true);
        };
        if error.response().resend == crate::base::Resend::Never {
            return self.finish(request, false);
        }
        let at = self.now + retry_after.unwrap_or_default();
        self.send_again(request, at);
    }

    fn finish(&mut self, request: usize, served: bool) {
        let started = self.requests[request].started;
        if WARM_UP <= started {
            let latency = if served { self.now - started } else { PATIENCE };
            self.tally.done(latency, served);
        }
    }

    fn event(&mut self) {
        match self.scenario {
            Scenario::ColdShift | Scenario::RegionLost => {
                let dead = self.backends.iter_mut().filter(|backend| backend.region == 0);
                dead.for_each(|backend| backend.dead = true);
                self.busy[0].lost = true;
            }
            Scenario::SlowTargets => {
                let slow = self.backends.iter_mut().step_by(5);
                slow.for_each(|backend| backend.slow = SLOW);
            }
            _ => {}
        }
        if self.scenario == Scenario::RegionLost {
            let lost = &self.manifest.regions[0].name;
            let dead = self.hosts.iter_mut().filter(|host| host.view.region == *lost);
            dead.for_each(|host| host.alive = false);
            self.agenda.add(self.now + SUSPICION, Step::Views);
        }
    }

    /// Every live host learns which hosts live, and what each region's traffic last was.
    fn show_views(&mut self) {
        let live: Vec<HostView> =
            self.hosts.iter().filter(|host| host.alive).map(|host| host.view.clone()).collect();
        let baselines = self.baselines();
        let gone =
            |region: &&crate::manifest::Region| !live.iter().any(|host| host.region == region.name);
        let silent = self.manifest.regions.iter().filter(gone);
        let silent: std::collections::BTreeSet<RegionId> =
            silent.map(|region| region.name.clone()).collect();
        for host in 0..self.hosts.len() {
            let mut view = world::view_of(&self.hosts[host].view, &live, &self.manifest);
            view.baselines = baselines.clone();
            view.silent_regions = silent.clone();
            self.index = HostIndex::build(&view);
            self.feed(host, Event::Viewed { view: Arc::new(view) });
        }
    }

    /// What the hosts of each region count, summed. Those of a lost region are asked for what they
    /// last said, as their peers remember it.
    fn baselines(&self) -> Vec<Baseline> {
        let mut sums: BTreeMap<(RegionId, ServiceId), f64> = BTreeMap::new();
        for host in &self.hosts {
            let at = if host.alive { self.now } else { EVENT_AT };
            for base in host.steer.baselines(at) {
                if base.home == host.view.region {
                    *sums.entry((base.home, base.service)).or_default() += base.rate;
                }
            }
        }
        let baseline = |((home, service), rate)| Baseline { home, rate, service };
        sums.into_iter().map(baseline).collect()
    }

    fn tick(&mut self) {
        for host in 0..self.hosts.len() {
            self.feed(host, Event::Tick);
        }
        if self.now <= LENGTH {
            self.agenda.add(self.now + TICK, Step::Tick);
        }
    }

    fn sample(&mut self) {
        let lag = self.scenario.report_lag(self.now);
        for target in 0..self.backends.len() {
            if !self.backends[target].dead {
                let report = self.backends[target].report();
                self.agenda.add(self.now + lag, Step::Report { report, target });
            }
        }
        let counted = self.is_counted();
        self.busy.iter_mut().for_each(|busy| busy.sample(counted, self.now));
        if self.now <= LENGTH {
            self.agenda.add(self.now + SAMPLE, Step::Sample);
        }
    }
}

fn backends(manifest: &Manifest, scenario: Scenario) -> Vec<Backend> {
    let targets = manifest.services.iter().flat_map(|service| &service.targets);
    let backend = |(number, target): (usize, &crate::manifest::Target)| {
        let endpoint = match (scenario, number % 3) {
            (Scenario::LyingReports, 0) => Endpoint::Idle,
            (Scenario::LyingReports, 1) => Endpoint::Tiny,
            _ => Endpoint::Honest,
        };
        let region = manifest.regions.iter().position(|region| region.zones.contains(&target.zone));
        Backend::new(target, region.unwrap_or_default(), endpoint)
    };
    targets.enumerate().map(backend).collect()
}

/// A standard normal number, by Box and Muller.
fn normal(rng: &mut impl Rng) -> f64 {
    let (u, v): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
