//! What one decision costs, by number of targets, hosts and client blocks.

use std::hint::black_box;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    lookup::{BlockTable, HostIndex, LookupRequest},
    manifest::Weighing,
    measure::capacity::{
        fleet,
        gauge::{cost_ns, resident},
    },
    prelude::*,
    selection::{Candidate, HealthSignal, Policy, Selector, Tier},
};

/// Client blocks of the size that the system has to reach.
const BLOCKS: usize = 770_000;
/// Hosts of today and of the size that the system has to reach.
const HOSTS: [usize; 2] = [12, 1_700];
/// Targets of one service that a choice is made among.
const TARGETS: [usize; 4] = [10, 100, 1_000, 10_000];

/// One cost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Cost {
    pub decision: Arc<str>,
    pub size: Arc<str>,
    pub unit: Arc<str>,
    pub value: f64,
}

/// Measures every cost; `blocks` is smaller in tests.
pub fn costs() -> Vec<Cost> {
    measure(BLOCKS)
}

pub(super) fn measure(blocks: usize) -> Vec<Cost> {
    let mut costs: Vec<Cost> = TARGETS
        .iter()
        .map(|&count| cost("choice of a target", count, "targets", "ns", pick_ns(count)))
        .collect();
    // The heap keeps what earlier work freed: a first table takes that, a second one shows.
    let first = fleet::table(blocks);
    let before = resident();
    let table = fleet::table(blocks);
    let bytes = (resident() - before).max(0.0) / blocks as f64;
    drop(first);
    costs.push(cost("home of an address", blocks, "client blocks", "ns", home_ns(&table, blocks)));
    costs.push(cost("block table", blocks, "client blocks", "bytes a block", bytes));
    for hosts in HOSTS {
        let [build, rank] = rank_ns(&table, hosts, blocks);
        costs.push(cost("host index built", hosts, "hosts", "ns", build));
        costs.push(cost("look-up ranked", hosts, "hosts", "ns", rank));
    }
    costs
}

fn cost(decision: &str, count: usize, of: &str, unit: &str, value: f64) -> Cost {
    let size = format!("{count} {of}").into();
    Cost { decision: decision.into(), size, unit: unit.into(), value }
}

fn pick_ns(count: usize) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut selector = Selector::new(Policy::Weighed(Weighing::Latency));
    let service: ServiceId = "status".into();
    let candidates: Vec<Candidate> = (0..count)
        .map(|number| Candidate {
            in_flight: (number % 4) as u32,
            limit: 3,
            target: format!("target-{number}").into(),
            tier: if number % 2 == 0 { Tier::Zone } else { Tier::Region },
        })
        .collect();
    for candidate in &candidates {
        let latency = Duration::from_millis(20);
        selector.record_start(&candidate.target, Moment::ZERO);
        selector.record_end(&candidate.target, HealthSignal::Succeeded, latency, Moment::ZERO);
    }
    cost_ns(|| {
        black_box(selector.pick(&service, &candidates, Moment::ZERO, &mut rng));
    })
}

fn home_ns(table: &BlockTable, blocks: usize) -> f64 {
    let mut index = 0;
    cost_ns(|| {
        index = (index + 7_919) % blocks;
        black_box(table.home_region(fleet::client(index)));
    })
}

/// Nanoseconds to build the index of a view's hosts, and to answer one look-up from it.
fn rank_ns(table: &BlockTable, hosts: usize, blocks: usize) -> [f64; 2] {
    let manifest = Arc::new(fleet::manifest(260, fleet::blocks(1_000)));
    let view = fleet::view(hosts, manifest);
    let index = HostIndex::build(&view);
    let build = cost_ns(|| {
        black_box(HostIndex::build(&view));
    });
    let mut number = 0;
    let rank = cost_ns(|| {
        number = (number + 7_919) % blocks;
        let ask = LookupRequest { client: fleet::client(number), service: "service-0".into() };
        black_box(index.rank(table, &ask));
    });
    [build, rank]
}
