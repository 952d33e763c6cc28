//! Memory of everything that a daemon holds.
//!
//! The allocator keeps what is given back, and what is built later fills it without showing up. So
//! each part is built on a thread of its own, which has its own pool, and all of them stay until
//! the last is measured.

use std::{sync::mpsc, thread};

use super::{
    figure::{Figure, Scale},
    fleet,
    gauge::resident,
    ledgers, target, time_line,
};
use crate::{
    ledger::LedgerLimits,
    lookup::BlockPart,
    manifest::{Part, split_blocks},
    membership::SimulatedFleet,
    prelude::*,
    timeline::DEFAULT_CAPACITY,
};

/// What each part takes.
pub struct Memory {
    pub answers: Figure,
    pub blocks: Figure,
    pub entries: Figure,
    pub membership: Figure,
    pub ring: Figure,
}

const BLOCKS: [usize; 5] = [100_000, 200_000, 400_000, 600_000, target::BLOCKS];
const ENTRIES: [usize; 4] = [25_000, 50_000, 100_000, 200_000];
/// Hosts of each zone; every host of the fleet is built.
const HOSTS: [usize; 4] = [4, 8, 12, 18];
/// Time for the hosts of a fleet to meet.
const SETTLE: Duration = Duration::from_secs(30);

/// Measures all parts.
pub fn measure(scale: Scale) -> Memory {
    let mut keeper = Keeper::default();
    let sizes = |sizes: [usize; 4]| sizes.map(|size| scale.size(size));
    let entries = LedgerLimits::default().entries;
    Memory {
        entries: Figure::sweep(
            "entries without answers",
            "bytes",
            "entries",
            sizes(ENTRIES),
            entries,
            |size| keeper.bytes_of(move || ledgers::filled(size, None)),
        ),
        answers: Figure::sweep(
            "entries with answers",
            "bytes",
            "entries",
            sizes(ENTRIES),
            entries,
            |size| keeper.bytes_of(move || ledgers::filled(size, Some(ledgers::ANSWER))),
        ),
        ring: Figure::sweep(
            "full ring",
            "bytes",
            "events",
            sizes(ENTRIES),
            DEFAULT_CAPACITY,
            |size| keeper.bytes_of(move || time_line::filled(size)),
        ),
        blocks: Figure::sweep(
            "tables of the parts",
            "bytes",
            "client blocks",
            BLOCKS.map(|size| scale.size(size)),
            target::BLOCKS,
            |size| {
                let parts = split_blocks(&fleet::blocks(size));
                keeper.bytes_of(move || read(&parts))
            },
        ),
        membership: Figure::sweep(
            "hosts known",
            "bytes",
            "hosts",
            HOSTS.map(|size| scale.size(size) * target::ZONES),
            target::DAEMONS,
            |hosts| keeper.bytes_of(move || settled(hosts)) / hosts as f64,
        ),
    }
}

/// Every part as a host keeps it.
fn read(parts: &[Part]) -> Vec<BlockPart> {
    parts.iter().filter_map(|part| part.build_table().ok()).collect()
}

/// A fleet whose hosts all know each other.
fn settled(hosts: usize) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(target::ZONES, hosts / target::ZONES, 7);
    fleet.run(SETTLE);
    fleet
}

/// Threads that hold what they built until the keeper is dropped.
#[derive(Default)]
struct Keeper {
    released: Vec<mpsc::Sender<()>>,
}

impl Keeper {
    /// Bytes of memory that come into use while `build` runs.
    fn bytes_of<T>(&mut self, build: impl FnOnce() -> T + Send + 'static) -> f64 {
        let (release, wait) = mpsc::channel::<()>();
        let (done, built) = mpsc::channel();
        thread::spawn(move || {
            let before = resident();
            let value = build();
            let _ = done.send(resident() - before);
            // Ends when the keeper drops its end.
            let _ = wait.recv();
            drop(value);
        });
        self.released.push(release);
        built.recv().unwrap_or_default()
    }
}
