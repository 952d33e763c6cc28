//! A small member: three regions, and a zone with two hosts.

use std::net::{IpAddr, Ipv4Addr};

use crate::{
    manifest::{ClientBlock, Manifest, Region, Service, ServiceKind, Target, Weighing},
    prelude::*,
    view::{Baseline, HostView, Tenure, View},
};

pub const MEMBER: &str = "agency";
/// Repeatable service.
pub const STATUS: &str = "status";
/// Service whose requests run at most once.
pub const INTAKE: &str = "intake";
/// Most of a region's requests that others may serve.
pub const SHIFT_CAP: f64 = 0.3;
pub const SLOTS: u32 = 3;

/// Zone and region; a zone's name is its region's with a letter.
const ZONES: [(&str, &str); 4] =
    [("zagreb-a", "zagreb"), ("zagreb-b", "zagreb"), ("split-a", "split"), ("osijek-a", "osijek")];

/// Hosts and their zones.
const HOSTS: [(&str, &str); 5] = [
    ("zagreb-a-1", "zagreb-a"),
    ("zagreb-a-2", "zagreb-a"),
    ("zagreb-b-1", "zagreb-b"),
    ("split-a-1", "split-a"),
    ("osijek-a-1", "osijek-a"),
];

const LEASE: Duration = Duration::from_secs(3_600);

pub fn region_of(zone: &str) -> RegionId {
    let found = ZONES.iter().find(|(name, _)| *name == zone);
    found.map_or("", |(_, region)| region).into()
}

/// An address at home in a region.
pub fn client(region: &str, number: u8) -> IpAddr {
    let net = match region {
        "zagreb" => 1,
        "split" => 2,
        _ => 3,
    };
    IpAddr::V4(Ipv4Addr::new(10, net, 0, number))
}

pub fn manifest(sequence: Sequence) -> Manifest {
    let regions = ["zagreb", "split", "osijek"].map(|name| Region {
        name: name.into(),
        reserve: 0.1,
        zones: ZONES.iter().filter(|zone| zone.1 == name).map(|zone| zone.0.into()).collect(),
    });
    let block = |net: u8, home: &str| ClientBlock {
        block: ipnet::Ipv4Net::new_assert(Ipv4Addr::new(10, net, 0, 0), 16).into(),
        home: home.into(),
    };
    Manifest {
        client_blocks: vec![block(1, "zagreb"), block(2, "split"), block(3, "osijek")].into(),
        drains: Vec::new(),
        member: MEMBER.into(),
        regions: regions.into(),
        sequence,
        services: vec![
            service(INTAKE, ServiceKind::Booking, 1),
            service(STATUS, ServiceKind::Read, 2),
        ],
        weighing: Weighing::Latency,
    }
}

fn service(name: &str, kind: ServiceKind, number: u8) -> Service {
    let target = |(zone, count): (usize, u8)| Target {
        address: ([10, 100 + zone as u8, number, count], 8080).into(),
        name: format!("{name}-{}-{count}", ZONES[zone].0).into(),
        slots: SLOTS,
        zone: ZONES[zone].0.into(),
    };
    let places = (0..ZONES.len()).flat_map(|zone| [(zone, 1), (zone, 2)]);
    Service {
        connections: 350,
        kind,
        max_body: 65_536,
        name: name.into(),
        shift_cap: SHIFT_CAP,
        targets: places.map(target).collect(),
        timeout_ms: 2_000,
    }
}

fn host(index: usize) -> HostView {
    let (id, zone) = HOSTS[index];
    HostView {
        address: ([10, 200, 0, index as u8], 8080).into(),
        adopted: Vec::new(),
        generation: 0,
        id: id.into(),
        incarnation: 0x1000 + index as u64,
        leaving: false,
        region: region_of(zone),
        rpc: ([10, 200, 0, index as u8], 9090).into(),
        zone: zone.into(),
    }
}

pub fn incarnation_of(id: &str) -> Incarnation {
    let index = HOSTS.iter().position(|host| host.0 == id);
    index.map_or(0, |index| host(index).incarnation)
}

/// What a host sees while all hosts but `lost` live.
pub fn view(id: &str, manifest: &Arc<Manifest>, lost: &[&str], now: Moment) -> View {
    let all = (0..HOSTS.len()).map(host);
    let hosts: Vec<HostView> = all.filter(|host| !lost.contains(&&*host.id)).collect();
    let own = (0..HOSTS.len()).map(host).find(|host| &*host.id == id);
    let own = own.expect("scripts name hosts of the list");
    let owners = hosts.iter().filter(|host| host.zone == own.zone).map(|host| host.id.clone());
    let baseline =
        |region: &str| Baseline { home: region.into(), rate: 20.0, service: STATUS.into() };
    let silent = manifest.regions.iter().map(|region| &region.name);
    let silent = silent.filter(|name| hosts.iter().all(|host| host.region != **name)).cloned();
    View {
        baselines: ["osijek", "split", "zagreb"].map(baseline).into(),
        drains: Default::default(),
        manifest: manifest.clone(),
        silent_regions: silent.collect(),
        tenure: Tenure { owners: owners.collect(), valid_until: now + LEASE, ..Tenure::default() },
        hosts,
        own,
    }
}
