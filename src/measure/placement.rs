//! What it costs an entry host to choose a target, by the number of targets.

use std::{rc::Rc, time::Instant};

use arc_swap::ArcSwapOption;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    base::ManualClock,
    entry::{
        Idempotency, KnownTarget, PlacementRequest, Route, Search, TargetEntry, TrafficState, View,
    },
    placement::Forecast,
    platform::standin::{loopback_settings, loopback_traffic},
    prelude::*,
};

/// Objects that callers ask for, as a part of the targets.
const OBJECTS_A_TARGET: f64 = 0.6;

/// Requests that run while others are placed, as a part of the targets.
const RUNNING_A_TARGET: f64 = 1.5;

/// Longest decision that is told apart, in nanoseconds.
const LONGEST_NS: u64 = 1_000_000_000;

const REGIONS: usize = 3;
const ZONES: usize = 3;
const SLOTS: u32 = 3;
const SEED: u64 = 1;

/// One number of targets and one way of looking.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub p50_us: f64,
    pub p99_us: f64,
    pub search: &'static str,
    pub targets: usize,
}

/// A host that knows a service's targets and has sent them requests.
pub struct Scene {
    pub state: Rc<TrafficState>,
    pub view: View,
    objects: u32,
    rng: ChaCha8Rng,
}

impl Scene {
    /// A service with that many targets, half of their slots busy.
    pub fn new(targets: usize, seed: u64) -> Self {
        let settings = loopback_settings(
            "h",
            &zone(0),
            &region(0),
            &[],
            SocketAddr::from(([127, 0, 0, 1], 1)),
        );
        let (clock, view) = (Arc::new(ManualClock::default()), Arc::new(ArcSwapOption::empty()));
        let state = TrafficState::new(loopback_traffic(settings, clock, view));
        let known: Arc<[Arc<KnownTarget>]> = (0..targets).map(target).collect();
        let mut view = View::default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..(targets as f64 * RUNNING_A_TARGET) as usize {
            let at = rng.random_range(0..targets);
            *view.in_flight_elsewhere.entry(known[at].tag).or_default() += 1;
        }
        view.targets.insert(service(), known);
        let objects = (targets as f64 * OBJECTS_A_TARGET).ceil() as u32;
        let mut scene = Self { state, view, objects, rng };
        (0..objects * 4).for_each(|_| scene.send());
        scene
    }

    /// The next request of the callers.
    pub fn request(&mut self) -> PlacementRequest {
        PlacementRequest {
            deadline: Duration::from_secs(5),
            object: Some(self.rng.random_range(0..self.objects).wrapping_mul(0x9e37_79b9)),
            route: Arc::new(route()),
            service: service(),
            team: None,
            tried_targets: Vec::new(),
        }
    }

    /// One request is sent and ends.
    fn send(&mut self) {
        let wanted = self.request();
        let placement = self.state.place(&self.view, &wanted);
        if let Some(target) = &placement.target {
            let forecast = Forecast { object: wanted.object, ..placement.forecast };
            drop(self.state.start_attempt(target, 0, forecast, None));
        }
    }
}

/// Measures both ways of looking.
pub fn measure(targets: usize, requests: usize) -> [Row; 2] {
    [(Search::All, "all"), (Search::Shortlist, "few")].map(|(search, name)| {
        let mut scene = Scene::new(targets, SEED);
        let mut spans: Histogram<u64> =
            Histogram::new_with_bounds(1, LONGEST_NS, 3).expect("the bounds are allowed");
        for _ in 0..requests {
            let wanted = scene.request();
            let since = Instant::now();
            let placement = scene.state.place_with_search(search, &scene.view, &wanted);
            let took = since.elapsed().as_nanos() as u64;
            std::hint::black_box(placement);
            spans.saturating_record(took);
        }
        let micros = |quantile| spans.value_at_quantile(quantile) as f64 / 1e3;
        Row { p50_us: micros(0.5), p99_us: micros(0.99), search: name, targets }
    })
}

fn service() -> ServiceId {
    "desk".into()
}

fn region(at: usize) -> String {
    format!("r{at}")
}

fn zone(at: usize) -> String {
    format!("{}-{}", region(at % REGIONS), at / REGIONS % ZONES)
}

fn target(at: usize) -> Arc<KnownTarget> {
    let entry = TargetEntry {
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        cold_for: Duration::ZERO,
        id: format!("t-{at}").into(),
        ready: true,
        service: service(),
        slots: SLOTS,
        started: 1,
        zone: zone(at).into(),
    };
    let tag = at as u32;
    let region = region(at % REGIONS).into();
    Arc::new(KnownTarget { cold_until: Moment::ZERO, entry, region, tag })
}

fn route() -> Route {
    Route {
        max_attempts: 2,
        key: "host/desk/".into(),
        objective: Duration::from_millis(800),
        prefix: "/desk/".into(),
        priority: 0,
        public: false,
        allowed_regions: Vec::new(),
        idempotency: Idempotency::Idempotent,
        split: vec![(service(), 1.0)],
        sticky: true,
        timeout: Duration::from_secs(2),
    }
}
