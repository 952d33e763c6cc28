//! Time from the acceptance of a manifest until it is in force on the last of many running hosts.
//!
//! Each host is the product's own daemon with its sockets on loopback; platform and targets are
//! stand-ins in the same process. A host counts from the moment its traffic side acts on the
//! manifest.

mod report;

use std::time::Instant;

pub use self::report::{Cost, Report, Row};
use crate::{
    daemon::Daemon,
    lookup::owner_of,
    measure::{capacity::gauge::resident, membership::processor_time},
    prelude::*,
    standin::fleet::{Fleet, FleetPlan},
    store::CallCounts,
};

/// What the requirement allows from accepted to in force everywhere.
pub const LIMIT: Duration = Duration::from_secs(19);

/// When a host is given up.
const GIVE_UP: Duration = Duration::from_secs(60);

/// Pause between two looks at all hosts.
const LOOK: Duration = Duration::from_millis(5);

/// Time over which the cost at rest is taken.
const REST: Duration = Duration::from_secs(20);

/// Time between two manifests.
const BETWEEN: Duration = Duration::from_secs(2);

/// Hosts that a starting one is told of.
const SEEDS: usize = 3;

/// Hosts that watch the platform for a zone.
const RELAYS: usize = 2;

/// Zones and hosts a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Size {
    pub per_zone: usize,
    pub plan: FleetPlan,
}

impl Size {
    /// 30, 100 and 300 hosts.
    pub const ALL: [Size; 3] = [Size::new(5, 3, 2), Size::new(10, 5, 2), Size::new(15, 10, 2)];

    /// Six hosts.
    pub const QUICK: Size = Size::new(3, 1, 2);

    const fn new(per_zone: usize, regions: usize, zones_per_region: usize) -> Self {
        Self { per_zone, plan: FleetPlan { regions, zones_per_region } }
    }

    /// Hosts in all zones.
    pub fn hosts(self) -> usize {
        self.per_zone * self.plan.regions * self.plan.zones_per_region
    }
}

/// What is wrong while a manifest spreads.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    Nothing,
    /// Both hosts that watch the platform for one zone were killed right before.
    RelaysKilled,
    /// One zone reaches its peers and not the platform.
    ZoneWithoutPlatform,
}

/// A fleet and its hosts.
struct Bench {
    fleet: Fleet,
    hosts: Vec<Daemon>,
    sequence: Sequence,
}

/// Measures one size in every case.
pub async fn measure(size: Size, rounds: u64) -> eyre::Result<Vec<Row>> {
    let mut bench = Bench::open(size).await?;
    let cost = bench.rest().await;
    let mut rows = Vec::new();
    rows.push(bench.case(Case::Nothing, size, rounds, Some(cost)).await?);
    let zone = bench.fleet.places[0].zone.clone();
    bench.fleet.links.cut_from_platform(&zone);
    rows.push(bench.case(Case::ZoneWithoutPlatform, size, rounds, None).await?);
    bench.fleet.links.heal(&zone);
    rows.push(bench.case(Case::RelaysKilled, size, rounds, None).await?);
    Ok(rows)
}

impl Bench {
    async fn open(size: Size) -> eyre::Result<Self> {
        let fleet = Fleet::open(size.plan).await?;
        fleet.apply(1).await?;
        let mut hosts: Vec<Daemon> = Vec::new();
        for number in 0..size.per_zone {
            for place in &fleet.places {
                let peers = hosts.iter().map(Daemon::rpc_addr).take(SEEDS).collect();
                let name = format!("{}-{number}", place.zone);
                hosts.push(fleet.start(&name, place, peers).await?);
            }
        }
        let bench = Self { fleet, hosts, sequence: 1 };
        bench.spread(Instant::now()).await;
        bench.settle().await;
        Ok(bench)
    }

    /// Waits until every host knows every other one.
    async fn settle(&self) {
        let client = self.fleet.operator();
        let begun = Instant::now();
        for host in &self.hosts {
            while begun.elapsed() < GIVE_UP {
                let status = client.status(host.rpc_addr()).await;
                if status.is_ok_and(|status| status.hosts.len() == self.hosts.len()) {
                    break;
                }
                tokio::time::sleep(LOOK * 10).await;
            }
        }
    }

    /// What a host costs while nothing changes.
    async fn rest(&self) -> Cost {
        let (begun, processor) = (Instant::now(), processor_time());
        let (bytes, exchanges) = (self.fleet.meter.bytes(), self.fleet.meter.exchanges());
        let calls = self.fleet.platform.door().counts();
        tokio::time::sleep(REST).await;
        let host_seconds = begun.elapsed().as_secs_f64() * self.hosts.len() as f64;
        let processor = processor_time().saturating_sub(processor);
        Cost {
            bytes: (self.fleet.meter.bytes() - bytes) as f64 / host_seconds,
            calls: calls_since(calls, self.fleet.platform.door().counts()),
            core: processor.as_secs_f64() / host_seconds,
            exchanges: (self.fleet.meter.exchanges() - exchanges) as f64 / host_seconds,
            resident: resident() / self.hosts.len() as f64,
            seconds: begun.elapsed().as_secs_f64(),
        }
    }

    async fn case(
        &mut self,
        case: Case,
        size: Size,
        rounds: u64,
        cost: Option<Cost>,
    ) -> eyre::Result<Row> {
        let mut row = Row::new(case, size, cost);
        for round in 0..rounds {
            tokio::time::sleep(BETWEEN).await;
            let zones = self.fleet.places.len() as u64;
            if case == Case::RelaysKilled && round < zones {
                self.kill_relays(usize::try_from(round)?);
            }
            let calls = self.fleet.platform.door().counts();
            self.sequence += 1;
            self.fleet.apply(self.sequence).await?;
            row.add(&self.spread(Instant::now()).await);
            row.calls.push(calls_since(calls, self.fleet.platform.door().counts()));
        }
        Ok(row)
    }

    /// The time until each host has the manifest in force; `GIVE_UP` for those that never had it.
    async fn spread(&self, accepted: Instant) -> Vec<Duration> {
        let mut times = Vec::new();
        let mut behind: Vec<&Daemon> = self.hosts.iter().collect();
        while !behind.is_empty() && accepted.elapsed() < GIVE_UP {
            let before = behind.len();
            behind.retain(|host| host.sequence() < Some(self.sequence));
            times.extend((behind.len()..before).map(|_| accepted.elapsed()));
            tokio::time::sleep(LOOK).await;
        }
        times.extend(behind.iter().map(|_| GIVE_UP));
        times
    }

    /// Ends the two hosts that watch the platform for a zone, as a crash would.
    fn kill_relays(&mut self, zone: usize) {
        let zone = self.fleet.places[zone].zone.clone();
        for _ in 0..RELAYS {
            let near = self.hosts.iter().filter(|host| host.view().zone == zone);
            let ids: Vec<HostId> = near.map(|host| host.view().id.clone()).collect();
            let relay = owner_of(&zone, &ids).cloned();
            self.hosts.retain(|host| Some(&host.view().id) != relay.as_ref());
        }
    }
}

fn calls_since(before: CallCounts, after: CallCounts) -> CallCounts {
    CallCounts {
        held_back: after.held_back - before.held_back,
        reads: after.reads - before.reads,
        watches: after.watches - before.watches,
        writes: after.writes - before.writes,
    }
}
