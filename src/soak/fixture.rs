//! The member that is run: three regions, four zones, two hosts and two targets a service a zone.

use std::net::{IpAddr, Ipv4Addr};

use ed25519_dalek::SigningKey;

use crate::{
    ledger::LedgerLimits,
    manifest::{
        ClientBlock, DrainScope, Manifest, Region, Service, ServiceKind, SignedManifest, Target,
        Weighing, sign,
    },
    prelude::*,
    routing::RouterLimits,
    view::HostView,
};

pub(super) const MEMBER: &str = "agency";
pub(super) const RIVAL: &str = "planetarium";
pub(super) const BOOKINGS: &str = "intake";
pub(super) const READS: &str = "status";
pub(super) const SHIFT_CAP: f64 = 0.3;
pub(super) const SLOTS: u32 = 3;
pub(super) const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Region and zone.
pub(super) const ZONES: [(&str, &str); 4] =
    [("zagreb", "zagreb-a"), ("zagreb", "zagreb-b"), ("split", "split-a"), ("osijek", "osijek-a")];
pub(super) const REGIONS: [&str; 3] = ["zagreb", "split", "osijek"];
pub(super) const HOSTS: usize = 2 * ZONES.len();
pub(super) const TARGETS: usize = 4 * ZONES.len();

pub(super) fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

pub(super) fn limits() -> RouterLimits {
    let ledger = LedgerLimits {
        adopted_entries: 400,
        answer_bytes: 4_000,
        entries: 60,
        generation_age: Duration::from_secs(4),
        generations: 2,
    };
    RouterLimits { ledger, queue: 16, ..RouterLimits::default() }
}

/// An address of a caller at home in that region.
pub(super) fn client(region: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, region as u8, 0, 1))
}

/// Zone of a host, by number.
pub(super) fn zone_of_host(host: usize) -> usize {
    host / 2
}

pub(super) fn region_of_zone(zone: usize) -> usize {
    REGIONS.iter().position(|region| *region == ZONES[zone].0).unwrap_or_default()
}

pub(super) fn host_id(host: usize) -> HostId {
    format!("{}-{}", ZONES[zone_of_host(host)].1, host % 2).into()
}

pub(super) fn host_view(host: usize, incarnation: Incarnation) -> HostView {
    let (region, zone) = ZONES[zone_of_host(host)];
    HostView {
        address: ([10, 200, 0, host as u8], 8080).into(),
        adopted: Vec::new(),
        generation: 0,
        id: host_id(host),
        incarnation,
        leaving: false,
        region: region.into(),
        rpc: ([10, 200, 0, host as u8], 9090).into(),
        zone: zone.into(),
    }
}

/// Number of the host with that name.
pub(super) fn host_number(id: &str) -> usize {
    (0..HOSTS).find(|host| &*host_id(*host) == id).unwrap_or_default()
}

/// Zone of a target, by number.
pub(super) fn zone_of_target(target: usize) -> usize {
    target / 4
}

pub(super) fn target_id(target: usize) -> TargetId {
    let service = if target % 4 < 2 { BOOKINGS } else { READS };
    format!("{service}-{}-{}", ZONES[zone_of_target(target)].1, target % 2).into()
}

pub(super) fn target_number(id: &str) -> usize {
    (0..TARGETS).find(|target| &*target_id(*target) == id).unwrap_or_default()
}

/// The manifest of that sequence, signed.
pub(super) fn signed(sequence: Sequence, drained: Option<usize>) -> SignedManifest {
    let drains = drained.map(|target| DrainScope::Target(target_id(target)));
    let manifest = Manifest {
        client_blocks: (0..REGIONS.len()).map(block).collect(),
        drains: drains.into_iter().collect(),
        member: MEMBER.into(),
        regions: REGIONS.iter().map(|name| region(name)).collect(),
        sequence,
        services: vec![
            service(BOOKINGS, ServiceKind::Booking, 0),
            service(READS, ServiceKind::Read, 2),
        ],
        weighing: Weighing::Latency,
    };
    let text = serde_norway::to_string(&manifest).expect("a manifest is always YAML");
    sign(&text, &key()).expect("the manifest above is valid")
}

fn block(region: usize) -> ClientBlock {
    let block = ipnet::Ipv4Net::new_assert(Ipv4Addr::new(10, region as u8, 0, 0), 16);
    ClientBlock { block: block.into(), home: REGIONS[region].into() }
}

fn region(name: &str) -> Region {
    let zones = ZONES.iter().filter(|(region, _)| *region == name);
    Region {
        name: name.into(),
        reserve: 0.2,
        zones: zones.map(|(_, zone)| (*zone).into()).collect(),
    }
}

fn service(name: &str, kind: ServiceKind, first: usize) -> Service {
    let numbers = (0..ZONES.len()).flat_map(|zone| [4 * zone + first, 4 * zone + first + 1]);
    let target = |number: usize| Target {
        address: ([10, 100, 0, number as u8], 8080).into(),
        name: target_id(number),
        slots: SLOTS,
        zone: ZONES[zone_of_target(number)].1.into(),
    };
    Service {
        connections: 350,
        kind,
        max_body: 65_536,
        name: name.into(),
        shift_cap: SHIFT_CAP,
        targets: numbers.map(target).collect(),
        timeout_ms: ATTEMPT_TIMEOUT.as_millis() as u64,
    }
}

/// The target that a manifest retires.
pub(super) fn drained(signed: &SignedManifest) -> Option<usize> {
    let manifest = signed.verify_any_member(&key().verifying_key()).ok()?;
    let scope = manifest.drains.into_iter().next()?;
    match scope {
        DrainScope::Target(id) => Some(target_number(&id)),
        _ => None,
    }
}

/// A manifest by a rival's key, with a sequence that the member never gives.
pub(super) fn forged() -> SignedManifest {
    let own = signed(1_000_000, None);
    sign(&own.body, &SigningKey::from_bytes(&[8; 32])).expect("the text is valid")
}
