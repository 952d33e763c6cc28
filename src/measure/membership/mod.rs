//! What the membership costs a daemon, and how fast news gets round.
//!
//! Many membership machines run in one process over a network in memory; each message is encoded
//! and decoded as on the wire. What the RPC library and HTTP add is measured with real calls over
//! loopback. The headers of TCP and IP are not counted.

mod report;
mod rpc;

use std::time::Instant;

pub use self::{
    report::{Report, Row},
    rpc::{RpcCost, measure as measure_rpc, processor_time},
};
use crate::{
    drain::DrainRecord,
    manifest::DrainScope,
    membership::{Digest, Payload, SimulatedFleet},
    peer::Envelope,
    prelude::*,
    timeline::HybridTime,
};

/// Simulated time over which the cost is taken.
const STEADY: Duration = Duration::from_secs(60);

/// Trials for each time until something is known everywhere.
const TRIALS: u64 = 20;

/// Simulated time after which a trial is given up.
const LIMIT: Duration = Duration::from_secs(120);

/// Zones and hosts a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Size {
    pub per_zone: usize,
    pub zones: usize,
}

impl Size {
    /// 10, 30, 100 and 300 hosts.
    pub const ALL: [Size; 4] = [
        Size { per_zone: 2, zones: 5 },
        Size { per_zone: 5, zones: 6 },
        Size { per_zone: 10, zones: 10 },
        Size { per_zone: 15, zones: 20 },
    ];

    /// 1,704 hosts: the size that the system has to reach.
    pub const TARGET: Size = Size { per_zone: 71, zones: 24 };

    /// Hosts in all zones.
    pub fn hosts(self) -> usize {
        self.zones * self.per_zone
    }
}

/// Measures one size.
pub fn measure(size: Size, rpc: &RpcCost, seed: u64) -> Row {
    let mut fleet = settled(size, seed);
    fleet.message_size = Some(on_the_wire);
    for node in &mut fleet.nodes {
        node.events.clear();
    }
    let start = Instant::now();
    fleet.run(STEADY);
    let processor = start.elapsed();
    let suspicions = fleet.nodes.iter().map(|node| node.suspicions().len()).sum();
    let total = |count: fn(&crate::membership::Node) -> u64| -> f64 {
        fleet.nodes.iter().map(count).sum::<u64>() as f64
    };
    let host_seconds = size.hosts() as f64 * STEADY.as_secs_f64();
    // Each message counts at both of its ends; an exchange is two messages.
    let exchanges = total(|node| node.messages) / 2.0 / host_seconds;
    let body = total(|node| node.bytes) / host_seconds;
    let machine = processor.as_secs_f64() / host_seconds;
    let rpc_time = exchanges / 2.0 * rpc.processor.as_secs_f64();
    Row {
        bytes_body: body,
        bytes_total: body + exchanges * rpc.bytes_around as f64,
        core_machine: machine,
        core_total: machine + rpc_time,
        exchanges,
        false_suspicions: suspicions,
        seconds_drain: spread(size, seed, drain_known),
        seconds_lost_host: spread(size, seed, loss_known),
        seconds_sequence: spread(size, seed, sequence_known),
        size,
    }
}

fn settled(size: Size, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(size.zones, size.per_zone, seed);
    fleet.run_until(LIMIT, |fleet| fleet.agrees_on_host_count(size.hosts()));
    fleet.run(Duration::from_secs(10));
    fleet
}

/// Median and longest time over the trials; a trial that ended in the limit counts as the limit.
fn spread(size: Size, seed: u64, trial: fn(&mut SimulatedFleet) -> Option<Duration>) -> (f64, f64) {
    let mut fleet = settled(size, seed + 1);
    let mut times = Vec::new();
    for _ in 0..TRIALS {
        times.push(trial(&mut fleet).unwrap_or(LIMIT).as_secs_f64());
    }
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() - 1])
}

fn sequence_known(fleet: &mut SimulatedFleet) -> Option<Duration> {
    let mut payload = fleet.nodes[0].payload.clone();
    payload.sequence += 1;
    let sequence = payload.sequence;
    fleet.publish(0, payload);
    let known = |payload: &Payload| payload.sequence == sequence;
    fleet.run_until(LIMIT, |fleet| fleet.nodes.iter().all(|node| known(&node.payload)))
}

fn drain_known(fleet: &mut SimulatedFleet) -> Option<Duration> {
    let mut payload = fleet.nodes[0].payload.clone();
    // The last one only, so that the set stays as small as it is in use.
    payload.drains.clear();
    for node in &mut fleet.nodes {
        node.payload.drains.clear();
        node.membership.set_payload(node.payload.clone());
    }
    let id: Arc<str> = format!("drain-{:?}", fleet.now).into();
    payload.drains.push(DrainRecord {
        at: HybridTime { millis: 1, count: 0 },
        by: "operator".into(),
        id: id.clone(),
        scope: DrainScope::Zone("z00".into()),
        settled: false,
        started: Some(HybridTime { millis: 1, count: 0 }),
        taken_by: "h0000".into(),
        under: 1,
        undone: None,
    });
    fleet.publish(0, payload);
    let known = |payload: &Payload| payload.drains.iter().any(|drain| drain.id == id);
    fleet.run_until(LIMIT, |fleet| fleet.nodes.iter().all(|node| known(&node.payload)))
}

/// A host stops answering; ends when no other host counts it as live. It is then let go on.
fn loss_known(fleet: &mut SimulatedFleet) -> Option<Duration> {
    let all = fleet.nodes.len();
    fleet.nodes[1].paused = true;
    let took = fleet.run_until(LIMIT, |fleet| fleet.agrees_on_host_count(all - 1));
    fleet.nodes[1].paused = false;
    fleet.run_until(LIMIT, |fleet| fleet.agrees_on_host_count(all));
    fleet.run(Duration::from_secs(5));
    took
}

/// Size of the message in its RPC call, and the work of both ends.
fn on_the_wire(digest: &Digest) -> usize {
    let member: MemberId = "agency".into();
    let text = Envelope::encode(&member, digest)
        .and_then(|envelope| {
            let text = serde_json::to_string(&envelope).unwrap_or_default();
            let read: Result<Envelope, _> = serde_json::from_str(&text);
            if let Ok(read) = read {
                read.decode::<Digest>(&member)?;
            }
            Ok(text)
        })
        .unwrap_or_default();
    text.len()
}
