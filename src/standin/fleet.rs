//! Real hosts of one member in many availability zones, in one process over loopback.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::atomic::{AtomicU64, Ordering},
};

use ed25519_dalek::SigningKey;

use super::{
    link_meter::{LinkMeter, Metered},
    linked::Linked,
    links::{Links, Place},
    platform::PlatformStandin,
    target::{RunLog, TargetModel, TargetStandin},
};
use crate::{
    base::BootClock,
    daemon::{Daemon, DaemonConfig, PeerLink},
    forward::{ForwardLimits, HttpUpstream},
    ingress::IngressLimits,
    manifest::{
        AcceptOutcome, ClientBlock, DEFAULT_LOAD, LoadShares, Manifest, Proposal, Region, Service,
        ServiceKind, SignedManifest, Target, Weighing, accept, sign,
    },
    peer::PeerClient,
    prelude::*,
    routing::RouterLimits,
    settings::{LogSettings, Secret, Settings},
    store::{HttpPlatform, Platform, RateLimits},
};

/// The read service of every fleet.
pub const READ: &str = "status";

/// The booking service of every fleet.
pub const BOOKING: &str = "intake";

const MEMBER: &str = "gradski-servis";
const OPERATOR_TOKEN: &str = "the operators' token";
const PEER_KEY: &str = "the member's secret";

/// Share of slots that callers from other regions never get.
const RESERVE: f64 = 0.2;

/// Connections to peers that each host keeps: hundreds of hosts in one process would otherwise run
/// into its limit on open files.
const KEPT_CLIENTS: usize = 8;

/// Events that each host's time line keeps.
const TIMELINE: usize = 500;

/// How many regions and zones there are.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct FleetPlan {
    pub regions: usize,
    pub zones_per_region: usize,
}

/// A platform, a target of each service in each zone, and the way to start hosts.
pub struct Fleet {
    pub links: Arc<Links>,
    pub log: Arc<RunLog>,
    pub meter: Arc<LinkMeter>,
    pub places: Vec<Place>,
    pub platform: PlatformStandin,
    key: SigningKey,
    seeds: AtomicU64,
    targets: Vec<FleetTarget>,
}

struct FleetTarget {
    service: &'static str,
    standin: TargetStandin,
    zone: ZoneId,
}

impl Fleet {
    /// Starts platform and targets; no host runs and no manifest is accepted yet.
    pub async fn open(plan: FleetPlan) -> eyre::Result<Self> {
        let links = Arc::new(Links::default());
        let log = Arc::new(RunLog::default());
        let places = places(plan);
        let mut targets = Vec::new();
        for place in &places {
            for service in [READ, BOOKING] {
                let model = TargetModel { cold_factor: 1.0, ..TargetModel::default() };
                let standin = TargetStandin::bind(model, log.clone()).await?;
                links.put(standin.address(), place.clone());
                targets.push(FleetTarget { service, standin, zone: place.zone.clone() });
            }
        }
        Ok(Self {
            key: SigningKey::from_bytes(&[7; 32]),
            links,
            log,
            meter: Arc::default(),
            places,
            platform: PlatformStandin::bind(any_port()).await?,
            seeds: AtomicU64::new(1),
            targets,
        })
    }

    /// Starts a host that knows the hosts at `peers`.
    pub async fn start(
        &self,
        name: &str,
        place: &Place,
        peers: Vec<SocketAddr>,
    ) -> eyre::Result<Daemon> {
        let link =
            PeerClient::new(Secret::new(PEER_KEY), MEMBER.into()).with_max_clients(KEPT_CLIENTS);
        let link = Linked::new(link, self.links.clone(), place.clone());
        let link = Arc::new(Metered::new(link, self.meter.clone()));
        self.start_over(link, name, place, peers).await
    }

    /// The same, over another way to the other hosts.
    pub async fn start_over(
        &self,
        link: Arc<dyn PeerLink>,
        name: &str,
        place: &Place,
        peers: Vec<SocketAddr>,
    ) -> eyre::Result<Daemon> {
        let platform = HttpPlatform::new(self.platform.address());
        let upstream = || -> eyre::Result<_> {
            let upstream = HttpUpstream::new(ForwardLimits::default());
            Ok(Arc::new(Linked::new(upstream, self.links.clone(), place.clone())))
        };
        let daemon = Daemon::spawn(DaemonConfig {
            clock: Arc::new(BootClock),
            limits: RouterLimits::default(),
            link,
            operator_token: Secret::new(OPERATOR_TOKEN),
            peer_key: Secret::new(PEER_KEY),
            peers: upstream()?,
            platform: Arc::new(Linked::new(platform, self.links.clone(), place.clone())),
            trace_recorder: None,
            seed: self.seeds.fetch_add(1, Ordering::Relaxed),
            settings: self.settings(name, place, peers),
            targets: upstream()?,
            timeline_capacity: TIMELINE,
            traffic_threads: 1,
        })
        .await?;
        self.links.put(daemon.http_addr(), place.clone());
        self.links.put(daemon.rpc_addr(), place.clone());
        Ok(daemon)
    }

    /// Has a pipeline with an undisturbed way to the platform apply the manifest of that number.
    pub async fn apply(&self, sequence: Sequence) -> eyre::Result<AcceptOutcome> {
        let signed = self.signed(&self.manifest(sequence))?;
        let clock = Arc::new(BootClock);
        let platform =
            HttpPlatform::with_limits(self.platform.address(), RateLimits::OPERATOR, clock);
        Ok(self.accept(&platform, signed).await?)
    }

    /// Has a pipeline apply a manifest over the given way to the platform.
    pub async fn accept(
        &self,
        platform: &dyn Platform,
        signed: SignedManifest,
    ) -> std::result::Result<AcceptOutcome, crate::manifest::AcceptError> {
        let proposal = Proposal { member: MEMBER.into(), parts: Vec::new(), signed };
        let loads = LoadShares { entries: Vec::new(), default: DEFAULT_LOAD };
        accept(platform, &proposal, &self.key.verifying_key(), &loads).await
    }

    /// A manifest with the pipeline's signature.
    pub fn signed(&self, manifest: &Manifest) -> eyre::Result<SignedManifest> {
        Ok(sign(&serde_norway::to_string(manifest)?, &self.key)?)
    }

    /// The manifest of that number.
    pub fn manifest(&self, sequence: Sequence) -> Manifest {
        let service = |name: &'static str, kind| Service {
            connections: 50,
            kind,
            max_body: 1024,
            name: name.into(),
            shift_cap: 0.5,
            targets: self.targets_of(name),
            timeout_ms: 2000,
        };
        let regions = self.regions();
        Manifest {
            client_blocks: regions.iter().enumerate().map(client_block).collect(),
            drains: Vec::new(),
            member: MEMBER.into(),
            regions,
            sequence,
            services: vec![
                service(READ, ServiceKind::Read),
                service(BOOKING, ServiceKind::Booking),
            ],
            weighing: Weighing::Latency,
        }
    }

    /// A client with the operators' token.
    pub fn operator(&self) -> PeerClient {
        PeerClient::new(Secret::new(OPERATOR_TOKEN), MEMBER.into())
    }

    /// A client with the key between the hosts.
    pub fn peer(&self) -> PeerClient {
        PeerClient::new(Secret::new(PEER_KEY), MEMBER.into())
    }

    /// A loopback address whose home is the host's region.
    pub fn caller_in(&self, host: &Daemon) -> IpAddr {
        let index = self.regions().iter().position(|region| region.name == host.view().region);
        IpAddr::V4(Ipv4Addr::new(127, 1, u8::try_from(index.unwrap_or_default()).unwrap_or(0), 1))
    }

    fn regions(&self) -> Vec<Region> {
        let mut regions: Vec<Region> = Vec::new();
        for place in &self.places {
            match regions.iter_mut().find(|region| region.name == place.region) {
                Some(region) => region.zones.push(place.zone.clone()),
                None => regions.push(Region {
                    name: place.region.clone(),
                    reserve: RESERVE,
                    zones: vec![place.zone.clone()],
                }),
            }
        }
        regions
    }

    fn targets_of(&self, service: &str) -> Vec<Target> {
        let own = self.targets.iter().filter(|target| target.service == service);
        own.map(|target| Target {
            address: target.standin.address(),
            name: format!("{service}-{}", target.zone).into(),
            slots: target.standin.slots(),
            zone: target.zone.clone(),
        })
        .collect()
    }

    fn settings(&self, name: &str, place: &Place, peers: Vec<SocketAddr>) -> Settings {
        Settings {
            advertise_http: None,
            advertise_rpc: None,
            host: name.into(),
            http: any_port(),
            ingress: IngressLimits::default(),
            log: LogSettings::default(),
            manifest_key: hex::encode(self.key.verifying_key()).into(),
            member: MEMBER.into(),
            metrics: None,
            operator_token_file: None,
            peer_key_file: None,
            peers,
            platform: self.platform.address(),
            region: place.region.clone(),
            rpc: any_port(),
            zone: place.zone.clone(),
        }
    }
}

fn client_block((index, region): (usize, &Region)) -> ClientBlock {
    let block = format!("127.1.{index}.0/24").parse().expect("the text is a block");
    ClientBlock { block, home: region.name.clone() }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn places(plan: FleetPlan) -> Vec<Place> {
    let mut places = Vec::new();
    for region in 0..plan.regions {
        let region: RegionId = format!("r{region}").into();
        for zone in 0..plan.zones_per_region {
            let zone = format!("{region}-z{zone}").into();
            places.push(Place { region: region.clone(), zone });
        }
    }
    places
}
