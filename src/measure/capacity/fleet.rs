//! A member of any size, made up for measurements.

use std::net::{IpAddr, Ipv4Addr};

use ipnet::{IpNet, Ipv4Net};

use super::target::{REGIONS, SERVICES, ZONES};
use crate::{
    lookup::BlockTable,
    manifest::{
        ClientBlock, Manifest, Region, Service, ServiceKind, Target, Weighing, split_blocks,
    },
    prelude::*,
    view::{HostView, Tenure, View},
};

/// Prefix length of the made-up client blocks.
const BLOCK_PREFIX: u8 = 24;
const FIRST_BLOCK: u32 = 0x0a00_0000;
/// Slots of a target, as today.
const SLOTS: u32 = 3;

pub fn zone(index: usize) -> ZoneId {
    format!("zone-{:02}", index % ZONES).into()
}

pub fn region(zone_index: usize) -> RegionId {
    format!("region-{:02}", zone_index % ZONES % REGIONS).into()
}

/// One of `count` client blocks, as an address in it.
pub fn client(index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(FIRST_BLOCK + ((index as u32) << (32 - BLOCK_PREFIX)) + 7))
}

pub fn blocks(count: usize) -> Vec<ClientBlock> {
    let homes: Vec<RegionId> = (0..REGIONS).map(region).collect();
    let block = |index: usize| {
        let base = Ipv4Addr::from(FIRST_BLOCK + ((index as u32) << (32 - BLOCK_PREFIX)));
        ClientBlock {
            block: IpNet::V4(Ipv4Net::new_assert(base, BLOCK_PREFIX)),
            home: homes[index * 7 % REGIONS].clone(),
        }
    };
    (0..count).map(block).collect()
}

/// Client blocks in parts, as hosts hold them.
pub fn table(count: usize) -> BlockTable {
    let parts = split_blocks(&blocks(count));
    let read = parts.iter().map(|part| part.build_table().map(Arc::new));
    let read: Vec<_> = read.collect::<Result<_, _>>().expect("the made-up blocks are valid");
    BlockTable::default().with_parts(&read).expect("the made-up blocks ascend")
}

pub fn host(index: usize) -> HostView {
    let address = |port| (Ipv4Addr::from(0xac10_0000 + index as u32), port).into();
    HostView {
        address: address(8080),
        adopted: Vec::new(),
        generation: 3,
        id: format!("host-{index:04}").into(),
        incarnation: 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(index as u64 + 1),
        leaving: false,
        region: region(index),
        rpc: address(9090),
        zone: zone(index),
    }
}

/// Services of every kind with one target each at `sites` sites.
pub fn manifest(sites: usize, client_blocks: Vec<ClientBlock>) -> Manifest {
    let regions = (0..REGIONS).map(|index| Region {
        name: region(index),
        reserve: 0.1,
        zones: (index..ZONES).step_by(REGIONS).map(zone).collect(),
    });
    let kinds = [ServiceKind::Read, ServiceKind::Booking, ServiceKind::File];
    let services = kinds.into_iter().take(SERVICES).enumerate().map(|(number, kind)| Service {
        connections: 400,
        kind,
        max_body: 1 << 20,
        name: format!("service-{number}").into(),
        shift_cap: 0.3,
        targets: (0..sites).map(|site| target(number, site)).collect(),
        timeout_ms: 2_000,
    });
    Manifest {
        client_blocks: client_blocks.into(),
        drains: Vec::new(),
        member: "member".into(),
        regions: regions.collect(),
        sequence: 1,
        services: services.collect(),
        weighing: Weighing::Latency,
    }
}

fn target(service: usize, site: usize) -> Target {
    let base = 0xc0a8_0000 + (service as u32) * 4_096 + site as u32;
    Target {
        address: (Ipv4Addr::from(base), 8080).into(),
        name: format!("target-{service}-{site:05}").into(),
        slots: SLOTS,
        zone: zone(site),
    }
}

/// What the first of `hosts` hosts sees of its member.
pub fn view(hosts: usize, manifest: Arc<Manifest>) -> View {
    let hosts: Vec<HostView> = (0..hosts).map(host).collect();
    let own = hosts[0].clone();
    let owners = hosts.iter().filter(|host| host.zone == own.zone).map(|host| host.id.clone());
    let tenure = Tenure {
        owners: owners.collect(),
        valid_until: Moment::from_secs(1_000_000),
        ..Tenure::default()
    };
    View {
        baselines: Vec::new(),
        drains: Default::default(),
        hosts,
        manifest,
        own,
        silent_regions: Default::default(),
        tenure,
    }
}
