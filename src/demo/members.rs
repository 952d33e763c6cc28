//! The members of the brief, at the sizes of today.

use crate::{
    manifest::{ClientBlock, Manifest, Region, Service, ServiceKind, Target, Weighing},
    prelude::*,
};

/// One service of a member.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    pub answer_bytes: usize,
    pub connections: u32,
    pub kind: ServiceKind,
    pub name: &'static str,
    /// Requests a second, over all regions.
    pub rate: f64,
    pub service_time: Duration,
    pub targets: usize,
}

/// One member.
#[derive(Clone, Debug)]
pub struct MemberPlan {
    pub name: &'static str,
    pub regions: [&'static str; 3],
    pub services: [ServicePlan; 3],
    pub weighing: Weighing,
}

/// Slots of every target.
pub const SLOTS: u32 = 3;

/// Zones of every region.
pub const ZONES: [&str; 2] = ["a", "b"];

/// Largest share of a region's requests that may be served elsewhere.
pub const SHIFT_CAP: f64 = 0.3;

/// Share of slots that callers from other regions never get.
const RESERVE: f64 = 0.2;

/// Longest time for one attempt.
const TIMEOUT_MS: u64 = 2_000;

/// Largest request body.
const MAX_BODY: u64 = 64 * 1024;

impl MemberPlan {
    /// Both members.
    pub fn all() -> [MemberPlan; 2] {
        [planetarium(), agency()]
    }

    /// The manifest for targets at these addresses, in the order of `placements`.
    pub fn manifest(&self, sequence: Sequence, targets: &[Target]) -> Manifest {
        let regions = self.regions.iter().map(|region| Region {
            name: (*region).into(),
            reserve: RESERVE,
            zones: ZONES.iter().map(|zone| zone_name(region, zone)).collect(),
        });
        let services = self.services.iter().map(|plan| Service {
            connections: plan.connections,
            kind: plan.kind,
            max_body: MAX_BODY,
            name: plan.name.into(),
            shift_cap: SHIFT_CAP,
            targets: targets
                .iter()
                .filter(|target| target.name.starts_with(&format!("{}-", plan.name)))
                .cloned()
                .collect(),
            timeout_ms: TIMEOUT_MS,
        });
        let blocks = self.regions.iter().enumerate().map(|(index, region)| ClientBlock {
            block: format!("10.{index}.0.0/16").parse().expect("the text is a block"),
            home: (*region).into(),
        });
        Manifest {
            client_blocks: blocks.collect(),
            drains: Vec::new(),
            member: self.name.into(),
            regions: regions.collect(),
            sequence,
            services: services.collect(),
            weighing: self.weighing,
        }
    }

    /// Name and zone of each target of a service, dealt out over all zones.
    pub fn placements(&self, service: &ServicePlan) -> Vec<Placement> {
        let zones: Vec<ZoneId> =
            self.regions.iter().flat_map(|r| ZONES.iter().map(|z| zone_name(r, z))).collect();
        (0..service.targets)
            .map(|index| {
                let zone = zones[index % zones.len()].clone();
                let name = format!("{}-{zone}-{}", service.name, index / zones.len() + 1).into();
                Placement { name, zone }
            })
            .collect()
    }
}

/// Where a target stands.
#[derive(Clone, Debug)]
pub struct Placement {
    pub name: TargetId,
    pub zone: ZoneId,
}

/// The name of a region's zone.
pub fn zone_name(region: &str, zone: &str) -> ZoneId {
    format!("{region}-{zone}").into()
}

fn planetarium() -> MemberPlan {
    let service = |name, kind, rate, targets, answer_bytes, millis| ServicePlan {
        answer_bytes,
        connections: 400,
        kind,
        name,
        rate,
        service_time: Duration::from_millis(millis),
        targets,
    };
    MemberPlan {
        name: "himalaya-tara",
        regions: ["bagmati", "gandaki", "lumbini"],
        services: [
            service("show-times", ServiceKind::Read, 300.0, 25, 512, 50),
            service("bookings", ServiceKind::Booking, 80.0, 12, 256, 80),
            service("show-files", ServiceKind::File, 30.0, 12, 256 * 1024, 200),
        ],
        weighing: Weighing::Headroom,
    }
}

fn agency() -> MemberPlan {
    let service = |name, kind, rate, targets, answer_bytes, millis| ServicePlan {
        answer_bytes,
        connections: 350,
        kind,
        name,
        rate,
        service_time: Duration::from_millis(millis),
        targets,
    };
    MemberPlan {
        name: "gradski-servis",
        regions: ["zagreb", "split", "osijek"],
        services: [
            service("status", ServiceKind::Read, 250.0, 20, 512, 50),
            service("intake", ServiceKind::Booking, 80.0, 12, 256, 80),
            service("catalog", ServiceKind::File, 30.0, 12, 128 * 1024, 200),
        ],
        weighing: Weighing::Latency,
    }
}
