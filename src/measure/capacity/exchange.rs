//! The exchange between hosts: who lives, and what changed.

use super::{
    figure::{Figure, Load, Resource, RoleCost, Scale},
    fit::Point,
    gauge::{packed_len, thread_time},
    rpc, target,
};
use crate::{
    membership::{Digest, Payload, SimulatedFleet},
    prelude::*,
};

/// Hosts of each of the zones.
const SIZES: [usize; 5] = [6, 12, 24, 40, 71];

/// Time for all hosts to have met before anything is counted.
const SETTLE: Duration = Duration::from_secs(40);

/// Time that is counted.
const COUNTED: Duration = Duration::from_secs(10);

/// Time that a change may take to reach all hosts.
const PATIENCE: Duration = Duration::from_secs(120);

/// Messages of one call, each counted at both ends.
const COUNTS_PER_CALL: f64 = 4.0;

/// Bytes of HTTP heads, JSON-RPC and envelope around one message.
const AROUND: f64 = 250.0;

/// What one fleet showed, for each host and second.
struct Seen {
    bytes: f64,
    calls: f64,
    cpu_ns: f64,
    /// Seconds until a change that one host learnt was known to all.
    spread: f64,
    digest: Digest,
}

pub fn measure(scale: Scale) -> RoleCost {
    let zones = match scale {
        Scale::Full => target::ZONES,
        Scale::Quick => 4,
    };
    let per_zone = SIZES.map(|size| match scale {
        Scale::Full => size,
        Scale::Quick => size.div_ceil(12) + 1,
    });
    let seen: Vec<(usize, Seen)> =
        per_zone.iter().map(|&size| (size, watch(zones, size))).collect();
    let at = target::hosts_per_zone();
    let figure = |name, unit, value: fn(&Seen) -> f64| {
        let point = |(size, seen): &(usize, Seen)| Point { size: *size as f64, value: value(seen) };
        Figure::of(name, unit, "hosts of a zone", seen.iter().map(point).collect(), at)
    };
    let bytes = figure("messages sent and received", "bytes/s", |seen| seen.bytes);
    let calls = figure("calls made", "calls/s", |seen| seen.calls);
    let decide = figure("decisions and encoding", "ns/s", |seen| seen.cpu_ns);
    let spread = figure("news at the last host", "s", |seen| seen.spread);
    let digests: Vec<(usize, Digest)> =
        seen.into_iter().map(|(size, seen)| (size, seen.digest)).collect();
    let call = rpc::measure(&digests, at);
    let loads = vec![
        Load::measured(
            Resource::ControlWire,
            bytes.value,
            "the messages themselves, compressed, between hosts that have met before",
        ),
        Load::worked_out(
            Resource::ControlWire,
            calls.value * COUNTS_PER_CALL * AROUND,
            format!("{AROUND} bytes of HTTP and JSON-RPC around each message"),
        ),
        Load::measured(
            Resource::ControlCpu,
            (decide.value + call.value * calls.value) / 1e9,
            format!("{:.1} calls a second, client and server side", calls.value),
        ),
        Load::measured(Resource::InForce, spread.value, "from one relay to the last host"),
    ];
    RoleCost {
        figures: vec![bytes, calls, decide, call, spread],
        loads,
        mechanism: "two peers of the own zone and one of another a second; zones as summaries",
        messages: "digests and what the other lacks, by RPC",
        role: "peer exchange",
        state: "hosts of the fleet, a summary of each zone",
    }
}

fn watch(zones: usize, per_zone: usize) -> Seen {
    let mut fleet = SimulatedFleet::new(zones, per_zone, 7);
    fleet.message_size = Some(packed_len);
    fleet.run(SETTLE);
    for node in &mut fleet.nodes {
        (node.bytes, node.messages) = (0, 0);
    }
    let start = thread_time();
    fleet.run(COUNTED);
    let cpu = (thread_time() - start).as_nanos() as f64;
    let share = fleet.nodes.len() as f64 * COUNTED.as_secs_f64();
    let bytes: u64 = fleet.nodes.iter().map(|node| node.bytes).sum();
    let messages: u64 = fleet.nodes.iter().map(|node| node.messages).sum();
    let digest = fleet.nodes[0].membership.digest(fleet.now);
    let sequence = 1;
    fleet.publish(0, Payload { sequence, ..Payload::default() });
    let known =
        |fleet: &SimulatedFleet| fleet.nodes.iter().all(|node| node.payload.sequence == sequence);
    let spread = fleet.run_until(PATIENCE, known).unwrap_or(PATIENCE);
    Seen {
        bytes: bytes as f64 / share,
        calls: messages as f64 / COUNTS_PER_CALL / share,
        cpu_ns: cpu / share,
        digest,
        spread: spread.as_secs_f64(),
    }
}
