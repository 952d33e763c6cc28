//! The request path: from a request's arrival to its answer, decisions only.

use std::hint::black_box;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    figure::{Figure, Load, Resource, RoleCost, Scale},
    fleet,
    gauge::cost_ns,
    target,
};
use crate::{
    ledger::request_digest,
    prelude::*,
    routing::{Action, Arrival, Event, Outcome, Router, RouterLimits, Via},
    selection::LoadReport,
    view::View,
};

const HOST_SIZES: [usize; 5] = [48, 192, 600, 1_200, target::DAEMONS];
const SITE_SIZES: [usize; 5] = [24, 48, 96, 192, target::SITES];

/// Requests a second on a busy daemon, assumed.
const REQUESTS: f64 = 1_000.0;

pub fn measure(scale: Scale) -> RoleCost {
    let hosts = HOST_SIZES.map(|size| scale.size(size).max(target::ZONES));
    let sites = SITE_SIZES.map(|size| scale.size(size).max(target::ZONES));
    let most_hosts = scale.size(target::DAEMONS).max(target::ZONES);
    let most_sites = scale.size(target::SITES).max(target::ZONES);
    let by_hosts = Figure::sweep("read, by hosts", "ns", "hosts", hosts, target::DAEMONS, |size| {
        Path::new(size, most_sites).cost()
    });
    let by_sites = Figure::sweep("read, by sites", "ns", "sites", sites, target::SITES, |size| {
        Path::new(most_hosts, size).cost()
    });
    let loads = vec![Load::measured(
        Resource::TrafficCpu,
        by_hosts.value * REQUESTS / 1e9,
        format!("{REQUESTS} requests a second, assumed"),
    )];
    RoleCost {
        figures: vec![by_hosts, by_sites],
        loads,
        mechanism: "one host owns a target and counts its slots; at most one hop to it",
        messages: "the request itself, and at most one hop inside the member",
        role: "request path",
        state: "requests in flight, slots of own targets, a bounded queue",
    }
}

/// A host that serves reads one after the other.
pub(super) struct Path {
    call: u64,
    now: Moment,
    rng: ChaCha8Rng,
    steer: Router,
    pub view: Arc<View>,
}

impl Path {
    pub fn new(hosts: usize, sites: usize) -> Self {
        let manifest = Arc::new(fleet::manifest(sites, fleet::blocks(1_000)));
        let view = Arc::new(fleet::view(hosts, manifest));
        let own = &view.own;
        let steer = Router::new(own.id.clone(), own.incarnation, RouterLimits::default());
        let rng = ChaCha8Rng::seed_from_u64(7);
        let mut path = Self { call: 0, now: Moment::from_secs(1), rng, steer, view };
        path.show();
        path.now += Duration::from_secs(1);
        let targets = path.view.manifest.services.iter().flat_map(|service| &service.targets);
        for target in targets.map(|target| target.name.clone()).collect::<Vec<_>>() {
            let report = LoadReport { busy: 0, draining: false, slots: 3 };
            path.on(Event::Reported { report, target });
        }
        path
    }

    /// Shows the view again, as after a change of the hosts.
    pub fn show(&mut self) {
        let view = Arc::new((*self.view).clone());
        self.on(Event::Viewed { view });
    }

    fn cost(&mut self) -> f64 {
        cost_ns(|| self.read())
    }

    fn read(&mut self) {
        self.call += 1;
        self.now += Duration::from_millis(1);
        let arrival = Arrival {
            binding: None,
            body_len: 0,
            call: self.call,
            client: fleet::client(0),
            deadline: self.now + Duration::from_secs(2),
            digest: request_digest("GET", "/", b""),
            fingerprint: 1,
            key: None,
            member: "member".into(),
            request: "01890a5d-ac96-774b-bcce-000000000000".into(),
            service: "service-0".into(),
            via: Via::Caller,
        };
        for action in self.on(Event::Arrived(arrival)) {
            let (Action::Dispatch { attempt, .. } | Action::Forward { attempt, .. }) = action
            else {
                continue;
            };
            let latency = Duration::from_millis(20);
            let outcome = Outcome::Answered { kept: None, latency, status: 200 };
            black_box(self.on(Event::Ended { attempt, outcome }));
        }
    }

    fn on(&mut self, event: Event) -> Vec<Action> {
        self.steer.handle(event, self.now, &mut self.rng)
    }
}
