//! Callers of one member, and what they record.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr_exp::exponential;
use tokio::task::JoinSet;

use super::{
    cluster::Cluster,
    members::ZONES,
    members::zone_name,
    promise::{Promise, Tally},
};
use crate::{
    manifest::ServiceKind,
    prelude::*,
    standin::{
        caller::{Ask, Caller, Heard},
        links::Place,
        target::answer_body,
    },
};

mod rand_distr_exp {
    use std::time::Duration;

    use rand::Rng;

    /// A random time between two arrivals at `rate` a second.
    pub(super) fn exponential(rate: f64, rng: &mut impl Rng) -> Duration {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }
}

/// Callers of each region.
const CALLERS_PER_REGION: u8 = 8;

/// Time that a caller gives a request.
const DEADLINE: Duration = Duration::from_secs(6);

/// Time in which targets and slots settle after the start; its requests count for every promise,
/// but not for the answer times.
pub const WARM_UP: Duration = Duration::from_secs(3);

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Record {
    /// Since the start of the load.
    pub at: Duration,
    pub heard: Heard,
    pub home: RegionId,
    pub request: RequestId,
    pub service: ServiceId,
}

/// All requests of a member.
pub struct Load {
    pub records: Mutex<Vec<Record>>,
    pub started: Instant,
    cluster: Arc<Cluster>,
    stop: AtomicBool,
    tally: Arc<Tally>,
}

impl Load {
    /// A load that has not begun.
    pub fn new(cluster: Arc<Cluster>, tally: Arc<Tally>) -> Arc<Self> {
        Arc::new(Self {
            cluster,
            records: Mutex::default(),
            started: Instant::now(),
            stop: AtomicBool::new(false),
            tally,
        })
    }

    /// Ends the load after the requests under way.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Sends requests until stopped, and waits for the last answer.
    pub async fn run(self: Arc<Self>, seed: u64) -> eyre::Result<()> {
        let mut tasks = JoinSet::new();
        for (r, region) in self.cluster.plan.regions.into_iter().enumerate() {
            let callers = self.callers(r, region)?;
            for (s, service) in self.cluster.plan.services.iter().enumerate() {
                let seed = seed ^ (r as u64) << 8 ^ (s as u64) << 16;
                let load = self.clone();
                let stream = Stream {
                    callers: callers.clone(),
                    home: region.into(),
                    kind: service.kind,
                    rate: service.rate / self.cluster.plan.regions.len() as f64,
                    rng: ChaCha8Rng::seed_from_u64(seed),
                    size: service.answer_bytes,
                    service: service.name.into(),
                };
                tasks.spawn(load.feed(stream));
            }
        }
        while tasks.join_next().await.is_some() {}
        Ok(())
    }

    fn callers(&self, r: usize, region: &str) -> eyre::Result<Arc<Vec<Arc<Caller>>>> {
        let r = u8::try_from(r)?;
        let callers = (0..CALLERS_PER_REGION).map(|number| {
            let zone = ZONES[usize::from(number) % ZONES.len()];
            let place = Place { region: region.into(), zone: zone_name(region, zone) };
            let ip = IpAddr::V4(Ipv4Addr::new(10, r, number, 1));
            let (links, start) = (self.cluster.links.clone(), self.cluster.start.clone());
            Ok(Arc::new(Caller::new(self.cluster.plan.name.into(), ip, place, links, start)?))
        });
        Ok(Arc::new(callers.collect::<eyre::Result<_>>()?))
    }

    /// Sends one service's requests of one region, at random times.
    async fn feed(self: Arc<Self>, mut stream: Stream) {
        let mut requests = JoinSet::new();
        let mut number = 0_u64;
        while !self.stop.load(Ordering::Relaxed) {
            tokio::time::sleep(exponential(stream.rate, &mut stream.rng)).await;
            number += 1;
            let caller = &stream.callers[stream.rng.random_range(0..stream.callers.len())];
            let ask = stream.ask(number);
            let expected = answer_body(&ask.request, stream.size);
            let (load, caller) = (self.clone(), caller.clone());
            let home = stream.home.clone();
            requests.spawn(async move { load.send(&caller, &ask, home, &expected).await });
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
    }

    async fn send(&self, caller: &Caller, ask: &Ask, home: RegionId, expected: &Bytes) {
        let at = self.started.elapsed();
        let heard = caller.send(ask).await;
        if heard.ran == Ran::Yes {
            self.tally.check(Promise::WholeAnswer, heard.body == *expected, || {
                format!("{}: {} bytes for {}", ask.request, heard.body.len(), expected.len())
            });
        }
        let (request, service) = (ask.request.clone(), ask.service.clone());
        let record = Record { at, heard, home, request, service };
        self.records.lock().expect("no holder panics").push(record);
    }
}

/// One service's requests of one region.
struct Stream {
    callers: Arc<Vec<Arc<Caller>>>,
    home: RegionId,
    kind: ServiceKind,
    rate: f64,
    rng: ChaCha8Rng,
    service: ServiceId,
    size: usize,
}

impl Stream {
    fn ask(&self, number: u64) -> Ask {
        let request: RequestId = format!("{}-{}-{number}", self.home, self.service).into();
        let booking = self.kind == ServiceKind::Booking;
        Ask {
            body: if booking { format!("seat {number}").into() } else { Bytes::new() },
            deadline: DEADLINE,
            key: booking.then(|| format!("key-{request}").into()),
            path: "/".into(),
            request,
            service: self.service.clone(),
        }
    }
}
