//! The members at the sizes of today: regions, zones, hosts, targets, delays.

use std::net::{IpAddr, Ipv4Addr};

use crate::{
    manifest::{ClientBlock, Manifest, Region, Service, ServiceKind, Share, Target, Weighing},
    prelude::*,
    view::{HostView, Tenure, View},
};

/// Zones of a region.
const ZONES: usize = 2;
/// Hosts of a zone.
const HOSTS: usize = 2;
/// Slots of a target.
pub(super) const SLOTS: u32 = 3;
/// Share of a home region's requests that may be served elsewhere.
pub(super) const CAP: Share = 0.3;
/// Share of a region's slots that other regions' callers never get.
const RESERVE: Share = 0.2;

/// Which of the two members is measured.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize, clap::ValueEnum,
)]
#[serde(rename_all = "kebab-case")]
pub enum Member {
    /// Weighs latency.
    Agency,
    /// Weighs headroom.
    Planetarium,
}

/// One service of a member.
#[derive(Clone, Debug)]
pub(super) struct ServiceShape {
    pub kind: ServiceKind,
    /// Mean time that a target takes, in seconds.
    pub mean: f64,
    pub name: &'static str,
    pub targets: usize,
}

impl Member {
    /// Both members.
    pub const ALL: [Member; 2] = [Member::Agency, Member::Planetarium];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Member::Agency => "agency",
            Member::Planetarium => "planetarium",
        }
    }

    pub(super) fn regions(self) -> [&'static str; 3] {
        match self {
            Member::Agency => ["zagreb", "split", "osijek"],
            Member::Planetarium => ["bagmati", "gandaki", "lumbini"],
        }
    }

    /// Repeatable services only: bookings are held to their owner, whatever the policy.
    pub(super) fn services(self) -> [ServiceShape; 2] {
        let (read, file, targets) = match self {
            Member::Agency => ("status", "catalog", 20),
            Member::Planetarium => ("shows", "files", 25),
        };
        [
            ServiceShape { kind: ServiceKind::Read, mean: 0.06, name: read, targets },
            ServiceShape { kind: ServiceKind::File, mean: 0.3, name: file, targets: 12 },
        ]
    }

    fn weighing(self) -> Weighing {
        match self {
            Member::Agency => Weighing::Latency,
            Member::Planetarium => Weighing::Headroom,
        }
    }

    pub(super) fn manifest(self) -> Manifest {
        let region = |name: &str| Region {
            name: name.into(),
            reserve: RESERVE,
            zones: (0..ZONES).map(|zone| zone_name(name, zone)).collect(),
        };
        let block = |(number, name): (usize, &&str)| ClientBlock {
            block: ipnet::IpNet::from(ipnet::Ipv4Net::new_assert(
                Ipv4Addr::new(10, number as u8, 0, 0),
                16,
            )),
            home: (*name).into(),
        };
        Manifest {
            client_blocks: self.regions().iter().enumerate().map(block).collect(),
            drains: Vec::new(),
            member: self.name().into(),
            regions: self.regions().into_iter().map(region).collect(),
            sequence: 1,
            services: self.services().iter().map(|shape| self.service(shape)).collect(),
            weighing: self.weighing(),
        }
    }

    fn service(self, shape: &ServiceShape) -> Service {
        let regions = self.regions();
        let target = |number: usize| Target {
            address: address(number),
            name: format!("{}-{number}", shape.name).into(),
            slots: SLOTS,
            zone: zone_name(regions[number % regions.len()], number / regions.len() % ZONES),
        };
        Service {
            connections: 400,
            kind: shape.kind,
            max_body: 0,
            name: shape.name.into(),
            shift_cap: CAP,
            targets: (0..shape.targets).map(target).collect(),
            timeout_ms: 5000,
        }
    }

    /// The hosts of every zone.
    pub(super) fn hosts(self) -> Vec<HostView> {
        let mut hosts = Vec::new();
        for region in self.regions() {
            for (zone, number) in (0..ZONES).flat_map(|zone| (0..HOSTS).map(move |n| (zone, n))) {
                hosts.push(HostView {
                    address: address(hosts.len()),
                    adopted: Vec::new(),
                    generation: 1,
                    id: format!("{region}-{zone}-{number}").into(),
                    incarnation: hosts.len() as u64,
                    leaving: false,
                    region: region.into(),
                    rpc: address(hosts.len()),
                    zone: zone_name(region, zone),
                });
            }
        }
        hosts
    }
}

/// The view of one host among the live ones.
pub(super) fn view_of(own: &HostView, live: &[HostView], manifest: &Arc<Manifest>) -> View {
    let owners = live.iter().filter(|host| host.zone == own.zone).map(|host| host.id.clone());
    View {
        baselines: Vec::new(),
        drains: Default::default(),
        hosts: live.to_vec(),
        manifest: manifest.clone(),
        own: own.clone(),
        silent_regions: Default::default(),
        tenure: Tenure {
            owners: owners.collect(),
            provisional: Default::default(),
            valid_until: Duration::MAX,
        },
    }
}

/// Address of a caller at home in a region.
pub(super) fn client(region: usize, number: u16) -> IpAddr {
    let [high, low] = number.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, region as u8, high, low))
}

/// One-way delay between two zones.
pub(super) fn delay(from: &HostView, to_region: &RegionId, to_zone: &ZoneId) -> Duration {
    if from.zone == *to_zone {
        Duration::from_micros(200)
    } else if from.region == *to_region {
        Duration::from_micros(1500)
    } else {
        Duration::from_millis(55)
    }
}

fn zone_name(region: &str, zone: usize) -> ZoneId {
    format!("{region}-{zone}").into()
}

/// Nothing listens: the addresses only tell hosts and targets apart.
fn address(number: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), number as u16 + 1)
}
