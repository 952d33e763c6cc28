//! One member's hosts and targets.

use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

use ed25519_dalek::SigningKey;
use hex::ToHex;

use super::members::{MemberPlan, SLOTS, ServicePlan, ZONES, zone_name};
use crate::{
    base::BootClock,
    daemon::{Daemon, DaemonConfig},
    forward::{ForwardLimits, HttpUpstream},
    ingress::IngressLimits,
    manifest::{Manifest, SignedManifest, Target, sign},
    peer::PeerClient,
    prelude::*,
    routing::RouterLimits,
    settings::{LogSettings, Secret, Settings},
    standin::{
        linked::Linked,
        links::{Links, Place},
        target::{RunLog, TargetModel, TargetStandin},
    },
    store::HttpPlatform,
    timeline::Recorder,
    trace::SteerRecorder,
};

/// Events that each host's time line keeps.
const TIMELINE: usize = 20_000;

/// Hosts of every zone.
const HOSTS_PER_ZONE: usize = 2;

/// One target and where it stands.
pub struct RunningTarget {
    pub place: Place,
    pub standin: TargetStandin,
    pub target: Target,
}

/// One place for a host, and the host that fills it now.
pub struct HostSeat {
    pub daemon: Option<Daemon>,
    pub name: HostId,
    pub place: Place,
}

/// A member: its targets, its hosts, its pipeline's key.
pub struct Cluster {
    pub links: Arc<Links>,
    pub log: Arc<RunLog>,
    pub plan: MemberPlan,
    /// Time lines of all hosts that ever ran: the one that explains a doubt may be gone by then.
    pub recorders: Mutex<Vec<Arc<Recorder>>>,
    pub seats: tokio::sync::Mutex<Vec<HostSeat>>,
    /// HTTP addresses of the hosts that run now; callers start from these.
    pub start: Arc<Mutex<Vec<SocketAddr>>>,
    pub targets: Vec<RunningTarget>,
    key: SigningKey,
    operator_token: Secret,
    peer_key: Secret,
    platform: SocketAddr,
    seeds: AtomicU64,
    sequence: AtomicU64,
    record: Option<SteerRecorder>,
}

impl Cluster {
    /// Starts the member's targets; hosts follow with `start_hosts`.
    pub async fn open(
        plan: MemberPlan,
        platform: SocketAddr,
        seed: u64,
        record: Option<SteerRecorder>,
    ) -> eyre::Result<Self> {
        let links = Arc::new(Links::default());
        let log = Arc::new(RunLog::default());
        let mut targets = Vec::new();
        for service in &plan.services {
            targets.extend(start_targets(&plan, service, &links, &log, seed).await?);
        }
        Ok(Self {
            key: SigningKey::from_bytes(&[u8::try_from(plan.name.len()).unwrap_or_default(); 32]),
            links,
            log,
            operator_token: Secret::new(&format!("operator of {}", plan.name)),
            peer_key: Secret::new(&format!("peer of {}", plan.name)),
            plan,
            platform,
            recorders: Mutex::default(),
            seats: tokio::sync::Mutex::default(),
            seeds: AtomicU64::new(seed),
            sequence: AtomicU64::new(0),
            start: Arc::default(),
            record,
            targets,
        })
    }

    /// Starts two hosts in each zone.
    pub async fn start_hosts(&self) -> eyre::Result<()> {
        for region in self.plan.regions {
            for zone in ZONES {
                let place = Place { region: region.into(), zone: zone_name(region, zone) };
                for number in 1..=HOSTS_PER_ZONE {
                    let name: HostId = format!("{}-{number}", place.zone).into();
                    let daemon = self.start_host(&name, &place).await?;
                    let seat = HostSeat { daemon: Some(daemon), name, place: place.clone() };
                    self.seats.lock().await.push(seat);
                }
            }
        }
        self.tell_callers().await;
        Ok(())
    }

    /// Starts one host.
    pub async fn start_host(&self, name: &HostId, place: &Place) -> eyre::Result<Daemon> {
        let seats = self.seats.lock().await;
        let peers = seats.iter().filter_map(|seat| Some(seat.daemon.as_ref()?.rpc_addr()));
        let settings = self.settings(name, place, peers.take(4).collect());
        drop(seats);
        let link = PeerClient::new(self.peer_key.clone(), self.plan.name.into());
        let upstream = || HttpUpstream::new(ForwardLimits::default());
        let platform = HttpPlatform::new(self.platform);
        let daemon = Daemon::spawn(DaemonConfig {
            clock: Arc::new(BootClock),
            limits: RouterLimits::default(),
            link: Arc::new(Linked::new(link, self.links.clone(), place.clone())),
            operator_token: self.operator_token.clone(),
            peer_key: self.peer_key.clone(),
            peers: Arc::new(Linked::new(upstream(), self.links.clone(), place.clone())),
            platform: Arc::new(Linked::new(platform, self.links.clone(), place.clone())),
            seed: self.seeds.fetch_add(1, Ordering::Relaxed),
            settings,
            trace_recorder: self.record.clone(),
            targets: Arc::new(Linked::new(upstream(), self.links.clone(), place.clone())),
            timeline_capacity: TIMELINE,
            traffic_threads: 2,
        })
        .await?;
        self.recorders.lock().expect("no holder panics").push(daemon.recorder().clone());
        self.links.put(daemon.http_addr(), place.clone());
        self.links.put(daemon.rpc_addr(), place.clone());
        Ok(daemon)
    }

    /// Tells callers which hosts there are, as a bootstrap list would.
    pub async fn tell_callers(&self) {
        let seats = self.seats.lock().await;
        let hosts = seats.iter().filter_map(|seat| Some(seat.daemon.as_ref()?.http_addr()));
        *self.start.lock().expect("no holder panics") = hosts.collect();
    }

    /// The pipeline's next manifest, signed.
    pub fn next_manifest(&self) -> eyre::Result<(Manifest, SignedManifest)> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let targets: Vec<Target> =
            self.targets.iter().map(|running| running.target.clone()).collect();
        let manifest = self.plan.manifest(sequence, &targets);
        let text = serde_norway::to_string(&manifest)?;
        let signed = sign(&text, &self.key)?;
        Ok((manifest, signed))
    }

    /// The pipeline's public key.
    pub fn verifying_key(&self) -> ed25519_dalek::VerifyingKey {
        self.key.verifying_key()
    }

    /// A client with the operators' token.
    pub fn operator(&self) -> PeerClient {
        PeerClient::new(self.operator_token.clone(), self.plan.name.into())
    }

    fn settings(&self, name: &HostId, place: &Place, peers: Vec<SocketAddr>) -> Settings {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            advertise_http: None,
            advertise_rpc: None,
            host: name.clone(),
            http: any_port,
            ingress: IngressLimits::default(),
            log: LogSettings::default(),
            manifest_key: self.key.verifying_key().encode_hex::<String>().into(),
            member: self.plan.name.into(),
            metrics: None,
            operator_token_file: None,
            peer_key_file: None,
            peers,
            platform: self.platform,
            region: place.region.clone(),
            rpc: any_port,
            zone: place.zone.clone(),
        }
    }
}

async fn start_targets(
    plan: &MemberPlan,
    service: &ServicePlan,
    links: &Links,
    log: &Arc<RunLog>,
    seed: u64,
) -> eyre::Result<Vec<RunningTarget>> {
    let mut targets = Vec::new();
    for (index, placement) in plan.placements(service).into_iter().enumerate() {
        let model = TargetModel {
            answer_bytes: service.answer_bytes,
            name: placement.name.clone(),
            seed: seed.wrapping_add(index as u64),
            service_time: service.service_time,
            slots: SLOTS,
            ..TargetModel::default()
        };
        let standin = TargetStandin::bind(model, log.clone()).await?;
        let region = plan.regions.iter().find(|region| placement.zone.starts_with(**region));
        let region: RegionId = region.copied().unwrap_or_default().into();
        let place = Place { region, zone: placement.zone.clone() };
        links.put(standin.address(), place.clone());
        let target = Target {
            address: standin.address(),
            name: placement.name,
            slots: SLOTS,
            zone: placement.zone,
        };
        targets.push(RunningTarget { place, standin, target });
    }
    Ok(targets)
}
