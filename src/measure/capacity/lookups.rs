//! The look-up: which hosts may a caller use.

use std::hint::black_box;

use super::{
    figure::{Figure, Load, Resource, RoleCost, Scale},
    fleet,
    gauge::cost_ns,
    target,
};
use crate::{
    lookup::{BlockTable, LookupRequest, rank},
    prelude::*,
};

const BLOCK_SIZES: [usize; 5] = [100_000, 200_000, 400_000, 600_000, target::BLOCKS];
const HOST_SIZES: [usize; 5] = [50, 200, 600, 1_200, target::DAEMONS];

pub fn measure(scale: Scale) -> RoleCost {
    let sizes = BLOCK_SIZES.map(|size| scale.size(size));
    let built = sizes.map(fleet::table);
    let home = Figure::sweep("home of an address", "ns", "client blocks", sizes, target::BLOCKS, {
        let mut tables = built.iter();
        move |size| tables.next().map_or(0.0, |table| home_cost(table, size))
    });
    let sizes = HOST_SIZES.map(|size| scale.size(size));
    let hosts = Figure::sweep("ranked answer", "ns", "hosts", sizes, target::DAEMONS, rank_cost);
    let rate = target::lookups_per_daemon();
    let loads = vec![Load::measured(
        Resource::TrafficCpu,
        (hosts.value + home.value) * rate / 1e9,
        format!("{rate:.0} look-ups a second on each daemon"),
    )];
    RoleCost {
        figures: vec![home, hosts],
        loads,
        mechanism: "a trie for each part of the blocks, the part found by address, longest prefix wins; \
                    rendezvous hash over the live hosts",
        messages: "one HTTP request and answer each; answers cached for 10 s, 1 s while moving",
        role: "look-up",
        state: "client blocks, live hosts",
    }
}

fn home_cost(table: &BlockTable, size: usize) -> f64 {
    let mut index = 0;
    cost_ns(|| {
        index = (index + 7_919) % size;
        black_box(table.home_region(fleet::client(index)));
    })
}

fn rank_cost(hosts: usize) -> f64 {
    let manifest = Arc::new(fleet::manifest(target::SITES, fleet::blocks(1_000)));
    let table = manifest.client_blocks.table().clone();
    let view = fleet::view(hosts, manifest);
    let mut index = 0;
    cost_ns(|| {
        index = (index + 7) % 1_000;
        let ask = LookupRequest { client: fleet::client(index), service: "service-0".into() };
        black_box(rank(&view, &table, &ask, Moment::ZERO));
    })
}
