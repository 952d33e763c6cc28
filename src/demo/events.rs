//! Carries out a scenario's deeds on one member.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Instant,
};

use super::{
    cluster::Cluster,
    promise::{Promise, Tally},
    scenario::Deed,
    watch::{AcceptedAt, Watch},
};
use crate::{
    drain::DrainId,
    manifest::{DEFAULT_LOAD, DrainScope, LoadShares, Proposal, accept},
    peer::DrainOrder,
    prelude::*,
    standin::{
        caller::{Ask, Caller},
        links::Place,
        platform::{Faults, Outage, PlatformStandin},
        target::CRASH_PATH,
    },
    store::HttpPlatform,
};

/// Time until a replaced host is there.
const REPLACEMENT: Duration = Duration::from_millis(700);

/// Longest time that the demo waits for a drain to come in force.
const DRAIN_WAIT: Duration = Duration::from_secs(60);

/// Time between two looks at a drain that waits.
const DRAIN_POLL: Duration = Duration::from_millis(100);

/// A retiring target gets no new work after this.
const RETIRE_LIMIT: Duration = Duration::from_secs(3);

/// Index of the seat that is killed.
const KILLED_SEAT: usize = 5;

/// Index of the region and zone that is cut off.
const CUT_SEAT: usize = 10;

/// Times that the caller of a poison request sends it.
const POISON_SENDS: usize = 6;

/// One member's deeds.
pub struct Events {
    pub cluster: Arc<Cluster>,
    pub platform: Arc<PlatformStandin>,
    /// Planned stops so far; each takes the next seat, as a rolling restart does.
    pub stops: AtomicUsize,
    pub tally: Arc<Tally>,
    pub watch: Arc<tokio::sync::Mutex<Watch>>,
}

/// What came of a drain.
#[derive(Clone, Debug)]
pub struct Drained {
    pub at: Instant,
    pub target: usize,
}

impl Events {
    /// Does one deed; `drained` takes what has to be looked at in the end.
    pub async fn carry_out(&self, deed: Deed, drained: &mut Vec<Drained>) -> eyre::Result<()> {
        log::info!("{}: {deed:?}", self.cluster.plan.name);
        match deed {
            Deed::Apply => self.apply().await?,
            Deed::CutZone => self.cluster.links.cut(&self.zone_of(CUT_SEAT).await),
            Deed::DrainTarget => drained.push(self.drain().await?),
            Deed::HealZone => self.cluster.links.heal(&self.zone_of(CUT_SEAT).await),
            Deed::KillHost => self.replace(KILLED_SEAT, false).await?,
            Deed::PlatformAway => self.platform(Outage::Hang),
            Deed::PlatformBack => self.platform(Outage::None),
            Deed::Poison => self.poison().await?,
            Deed::SlowTarget => {
                if let Some(running) = self.cluster.targets.get(1) {
                    running.standin.slow_down(5);
                }
            }
            Deed::StopHost => {
                let seat = self.stops.fetch_add(1, Ordering::Relaxed);
                self.replace(seat, true).await?;
            }
        }
        Ok(())
    }

    /// The pipeline applies its next manifest.
    pub async fn apply(&self) -> eyre::Result<()> {
        let platform = HttpPlatform::new(self.platform.address());
        let (manifest, signed) = self.cluster.next_manifest()?;
        let proposal =
            Proposal { member: self.cluster.plan.name.into(), parts: Vec::new(), signed };
        let key = self.cluster.verifying_key();
        accept(
            &platform,
            &proposal,
            &key,
            &LoadShares { entries: Vec::new(), default: DEFAULT_LOAD },
        )
        .await?;
        let accepted = AcceptedAt { at: Instant::now(), sequence: manifest.sequence };
        self.watch.lock().await.accepted.push(accepted);
        Ok(())
    }

    async fn zone_of(&self, seat: usize) -> ZoneId {
        let seats = self.cluster.seats.lock().await;
        seats[seat % seats.len()].place.zone.clone()
    }

    /// Drains the first target through some host, as an operator does.
    async fn drain(&self) -> eyre::Result<Drained> {
        let target = 0;
        let seats = self.cluster.seats.lock().await;
        let host = seats.iter().rev().find_map(|seat| Some(seat.daemon.as_ref()?.rpc_addr()));
        drop(seats);
        let host = host.ok_or_else(|| eyre::eyre!("no host runs"))?;
        let id: DrainId = "demo-drain".into();
        let scope = DrainScope::Target(self.cluster.targets[target].target.name.clone());
        let order = DrainOrder { by: "demo".into(), id, scope };
        let at = self.in_force(host, &order).await?;
        Ok(Drained { at, target })
    }

    /// Orders a drain and waits until it is in force, as `drain --wait` does: one that would leave
    /// a region too little room waits, and its target goes on with new work.
    async fn in_force(&self, host: SocketAddr, order: &DrainOrder) -> eyre::Result<Instant> {
        let operator = self.cluster.operator();
        let until = Instant::now() + DRAIN_WAIT;
        loop {
            // The same order again is the same drain, and answers with how it stands.
            let record = operator.drain(host, order).await?;
            if record.is_in_force() {
                return Ok(Instant::now());
            }
            eyre::ensure!(Instant::now() < until, "the drain waits: {record:?}");
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Ends a host, on a plan or not, and puts a new one in its seat.
    async fn replace(&self, seat: usize, planned: bool) -> eyre::Result<()> {
        let mut seats = self.cluster.seats.lock().await;
        let len = seats.len();
        let seat = &mut seats[seat % len];
        let (name, place) = (seat.name.clone(), seat.place.clone());
        let Some(daemon) = seat.daemon.take() else { return Ok(()) };
        drop(seats);
        if planned {
            let report = daemon.stop().await;
            let whole = report.interrupted == 0 && report.entries_lost == 0;
            self.tally.check(Promise::GracefulStop, whole, || format!("{name}: {report:?}"));
        } else {
            drop(daemon);
        }
        self.cluster.tell_callers().await;
        tokio::time::sleep(REPLACEMENT).await;
        let daemon = self.cluster.start_host(&name, &place).await?;
        let mut seats = self.cluster.seats.lock().await;
        if let Some(seat) = seats.iter_mut().find(|seat| seat.name == name) {
            seat.daemon = Some(daemon);
        }
        drop(seats);
        self.cluster.tell_callers().await;
        Ok(())
    }

    fn platform(&self, outage: Outage) {
        self.platform.set_faults(Faults { outage, ..Faults::default() });
    }

    /// Sends a request that crashes targets, with a new id each time.
    async fn poison(&self) -> eyre::Result<()> {
        let region = self.cluster.plan.regions[1];
        let place = Place { region: region.into(), zone: super::members::zone_name(region, "a") };
        let (links, start) = (self.cluster.links.clone(), self.cluster.start.clone());
        let member = self.cluster.plan.name.into();
        let caller = Caller::new(member, "10.1.0.99".parse()?, place, links, start)?;
        for number in 0..POISON_SENDS {
            let ask = Ask {
                body: bytes::Bytes::new(),
                deadline: Duration::from_secs(2),
                key: None,
                path: CRASH_PATH.into(),
                request: format!("poison-{number}").into(),
                service: self.cluster.plan.services[0].name.into(),
            };
            caller.send(&ask).await;
        }
        Ok(())
    }

    /// Holds the drained targets' last work against the time limit.
    pub fn check_drains(&self, drained: &[Drained]) -> Option<Duration> {
        let mut slowest: Option<Duration> = None;
        for drain in drained {
            let running = &self.cluster.targets[drain.target];
            let last = running.standin.last_work();
            let took = last.map(|last| last.saturating_duration_since(drain.at));
            let took = took.unwrap_or_default();
            self.tally.check(Promise::RetiringGetsNoWork, took <= RETIRE_LIMIT, || {
                format!("{} got work {took:?} after its drain", running.target.name)
            });
            slowest = Some(slowest.unwrap_or_default().max(took));
        }
        slowest
    }
}
