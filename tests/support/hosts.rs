//! A small member on loopback: the platform stand-in, targets, and as many hosts as a test wants.

#![allow(dead_code, reason = "each test uses its part")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ed25519_dalek::SigningKey;
use lavenderplank::{
    base::{BootClock, Clock},
    daemon::{Daemon, DaemonConfig, LookupBody},
    forward::{ForwardLimits, HttpUpstream},
    ingress::IngressLimits,
    manifest::{
        ClientBlock, DEFAULT_LOAD, LoadShares, Manifest, Proposal, Region, Service, ServiceKind,
        Target, Weighing, accept, sign,
    },
    peer::PeerClient,
    routing::RouterLimits,
    settings::{LogSettings, Secret, Settings},
    standin::{
        platform::PlatformStandin,
        target::{RunLog, TargetModel, TargetStandin},
    },
    store::HttpPlatform,
};

pub const MEMBER: &str = "gradski-servis";
pub const READ: &str = "status";
pub const BOOKING: &str = "intake";
pub const PEER_KEY: &str = "the member's secret";
pub const OPERATOR_TOKEN: &str = "the operators' token";
/// Zones of the region; a test that wants one only has all in the first.
pub const ZONES: [&str; 2] = ["zagreb-a", "zagreb-b"];
const REGION: &str = "zagreb";

/// One zone of one member.
pub struct Member {
    /// Services of files that a test adds, with the addresses of their targets.
    pub files: Vec<(String, Vec<SocketAddr>)>,
    pub http: reqwest::Client,
    /// Of the hosts that are started next.
    pub ingress: IngressLimits,
    pub log: Arc<RunLog>,
    pub platform: PlatformStandin,
    /// Zones that the targets of `files` are spread over.
    pub zones: usize,
    clock: Arc<dyn Clock>,
    /// Services that later manifests leave out.
    closed: Vec<&'static str>,
    key: SigningKey,
    seeds: u64,
    targets: Vec<(&'static str, TargetStandin)>,
}

impl Member {
    /// Two targets of each service and an accepted manifest.
    pub async fn open() -> Self {
        Self::open_at(Arc::new(BootClock)).await
    }

    /// The same, with the hosts on a clock of the test's.
    pub async fn open_at(clock: Arc<dyn Clock>) -> Self {
        let log = Arc::new(RunLog::default());
        let platform = PlatformStandin::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        let mut targets = Vec::new();
        for service in [READ, READ, BOOKING, BOOKING] {
            let model = TargetModel {
                cold_factor: 1.0,
                service_time: Duration::from_millis(5),
                ..TargetModel::default()
            };
            targets.push((service, TargetStandin::bind(model, log.clone()).await.unwrap()));
        }
        let key = SigningKey::from_bytes(&[7; 32]);
        let http = reqwest::Client::builder().no_proxy().retry(reqwest::retry::never());
        let http = http.build().unwrap();
        let member = Self {
            clock,
            closed: Vec::new(),
            files: Vec::new(),
            http,
            ingress: IngressLimits::default(),
            key,
            log,
            platform,
            seeds: 1,
            targets,
            zones: 1,
        };
        member.apply(1).await;
        member
    }

    /// Leaves a service out of the manifests that follow.
    pub fn close(&mut self, service: &'static str) {
        self.closed.push(service);
    }

    /// Has the pipeline apply the manifest under a sequence number.
    pub async fn apply(&self, sequence: u64) {
        let text = serde_norway::to_string(&self.manifest(sequence)).unwrap();
        let signed = sign(&text, &self.key).unwrap();
        let proposal = Proposal { member: MEMBER.into(), parts: Vec::new(), signed };
        let platform = HttpPlatform::new(self.platform.address());
        let loads = LoadShares { entries: Vec::new(), default: DEFAULT_LOAD };
        accept(&platform, &proposal, &self.key.verifying_key(), &loads).await.unwrap();
    }

    /// Makes every target that many times slower.
    pub fn slow_down(&self, factor: u32) {
        self.targets.iter().for_each(|(_, target)| target.slow_down(factor));
    }

    /// Requests that the targets run now.
    pub fn running(&self) -> u32 {
        self.targets.iter().map(|(_, target)| target.busy()).sum()
    }

    /// Starts a host that knows `peers`, and waits until it serves.
    pub async fn host(&mut self, name: &str, peers: &[&Daemon]) -> Daemon {
        self.host_in(ZONES[0], name, peers).await
    }

    /// The same in a zone of the test's choice.
    pub async fn host_in(&mut self, zone: &str, name: &str, peers: &[&Daemon]) -> Daemon {
        self.seeds += 1;
        let peers_rpc = peers.iter().map(|peer| peer.rpc_addr()).collect();
        let settings = Settings { zone: zone.into(), ..self.settings(name, peers_rpc) };
        let key = Secret::new(PEER_KEY);
        // No test waits for the silence limit: what ends a silent exchange is something else.
        let limits =
            ForwardLimits { stream_silence: Duration::from_secs(300), ..ForwardLimits::default() };
        let upstream = || Arc::new(HttpUpstream::new(limits));
        let host = Daemon::spawn(DaemonConfig {
            clock: self.clock.clone(),
            limits: RouterLimits::default(),
            link: Arc::new(PeerClient::new(key.clone(), MEMBER.into())),
            operator_token: Secret::new(OPERATOR_TOKEN),
            peer_key: key,
            peers: upstream(),
            platform: Arc::new(HttpPlatform::new(self.platform.address())),
            trace_recorder: None,
            seed: self.seeds,
            settings,
            targets: upstream(),
            timeline_capacity: 1000,
            traffic_threads: 1,
        })
        .await
        .unwrap();
        let wanted = peers.len() + 1;
        for daemon in peers.iter().copied().chain([&host]) {
            until(|| async { self.hosts_known(daemon).await == Some(wanted) }).await;
        }
        host
    }

    /// Settings of a host of this member.
    pub fn settings(&self, name: &str, peers: Vec<SocketAddr>) -> Settings {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            advertise_http: None,
            advertise_rpc: None,
            host: name.into(),
            http: any_port,
            ingress: self.ingress,
            log: LogSettings::default(),
            manifest_key: hex::encode(self.key.verifying_key()).into(),
            member: MEMBER.into(),
            metrics: None,
            operator_token_file: None,
            peer_key_file: None,
            peers,
            platform: self.platform.address(),
            region: REGION.into(),
            rpc: any_port,
            zone: ZONES[0].into(),
        }
    }

    /// Makes one target of a service answer that many times slower.
    pub fn slow_one_down(&self, service: &str, factor: u32) {
        let (_, target) = self.targets.iter().find(|(name, _)| *name == service).unwrap();
        target.slow_down(factor);
    }

    /// A look-up at a host.
    pub async fn look_up(&self, host: &Daemon, service: &str) -> Option<LookupBody> {
        let url = format!("http://{}/v1/lookup?service={service}", host.http_addr());
        self.http.get(url).send().await.ok()?.error_for_status().ok()?.json().await.ok()
    }

    /// A booking by its path, ready for more headers.
    pub fn book(&self, host: &Daemon, key: &str) -> reqwest::RequestBuilder {
        self.book_at(host.http_addr(), key)
    }

    /// The same, by the host's address.
    pub fn book_at(&self, host: SocketAddr, key: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{host}/v1/services/{BOOKING}/");
        self.http.post(url).header("idempotency-key", key).body("one pair of boots")
    }

    async fn hosts_known(&self, host: &Daemon) -> Option<usize> {
        Some(self.look_up(host, BOOKING).await?.hosts.len())
    }

    fn manifest(&self, sequence: u64) -> Manifest {
        let service = |name: &str, kind| Service {
            connections: 50,
            kind,
            max_body: 1024,
            name: name.into(),
            shift_cap: 0.3,
            targets: self.targets_of(name),
            timeout_ms: 2000,
        };
        let files = self.files.iter().map(|(name, addresses)| Service {
            targets: files_of(name, addresses, self.zones),
            ..service(name, ServiceKind::File)
        });
        let own = [(READ, ServiceKind::Read), (BOOKING, ServiceKind::Booking)]
            .into_iter()
            .filter(|(name, _)| !self.closed.contains(name))
            .map(|(name, kind)| service(name, kind));
        Manifest {
            client_blocks: vec![ClientBlock {
                block: "127.0.0.0/8".parse().unwrap(),
                home: REGION.into(),
            }]
            .into(),
            drains: Vec::new(),
            member: MEMBER.into(),
            regions: vec![Region {
                name: REGION.into(),
                reserve: 0.2,
                zones: ZONES.map(Into::into).into(),
            }],
            sequence,
            services: own.chain(files).collect(),
            weighing: Weighing::Latency,
        }
    }

    fn targets_of(&self, service: &str) -> Vec<Target> {
        let own = self.targets.iter().filter(|(name, _)| *name == service).enumerate();
        own.map(|(number, (_, standin))| Target {
            address: standin.address(),
            name: format!("{service}-{number}").into(),
            slots: 3,
            zone: ZONES[0].into(),
        })
        .collect()
    }
}

fn files_of(service: &str, addresses: &[SocketAddr], zones: usize) -> Vec<Target> {
    let targets = addresses.iter().enumerate().map(|(number, address)| Target {
        address: *address,
        name: format!("{service}-{number}").into(),
        slots: 3,
        zone: ZONES[number % zones].into(),
    });
    targets.collect()
}

/// An answer, and the key that it is for.
pub struct Served {
    pub key: String,
    pub res: reqwest::Response,
}

/// Sends a request as callers do: again after `not run`, under a new key. A host that has just
/// started does not own its targets yet.
pub async fn served(key: &str, request: impl Fn(&str) -> reqwest::RequestBuilder) -> Served {
    for number in 0..200 {
        let key = format!("{key}-{number}");
        let res = request(&key).send().await.unwrap();
        let busy = ["cap-reached", "connect-failed", "no-manifest", "no-slots", "no-target"];
        if !busy.contains(&header(&res, "lavender-error")) {
            return Served { key, res };
        }
        assert_eq!(header(&res, "lavender-ran"), "no");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the request was not served");
}

/// One header of an answer, as text.
pub fn header<'a>(res: &'a reqwest::Response, name: &str) -> &'a str {
    res.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Waits until a condition holds; a test that waits in vain ends after half a minute.
pub async fn until<F: Future<Output = bool>>(mut holds: impl FnMut() -> F) {
    for _ in 0..600 {
        if holds().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the condition did not come about");
}
