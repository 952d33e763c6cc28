//! A small deployment of entry hosts on loopback: the store's stand-in, targets, hosts, callers.

#![allow(dead_code, reason = "each test uses its part")]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use lavenderplank::{
    base::{BootClock, Clock},
    entry::{Connector, EntryHost, EntryParts, EntrySettings, TcpConnector},
    event_log::{Event, EventSink, RequestKey},
    platform::{
        ObjectStore, PlatformProtocol,
        standin::{
            ResponseMode, StoreStandin, TargetIdentity, TargetLinks, TargetStandin,
            loopback_settings,
        },
    },
    store::Platform,
};
use reqwest::{Method, Response};
use serde_json::{Value, json};
use tokio::task::LocalSet;

pub const HOST: &str = "counter.example";
pub const READS: &str = "/reads/";
pub const BOOKINGS: &str = "/bookings/";
/// Responses that end an attempt in different ways.
pub const RESPONSES: [ResponseMode; 6] = [
    ResponseMode::Serve,
    ResponseMode::Fail,
    ResponseMode::Shed,
    ResponseMode::Truncate,
    ResponseMode::Unsigned,
    ResponseMode::NoLength,
];
/// Longest wait for something that must come; far above what it takes.
const PATIENCE: Duration = Duration::from_secs(20);

/// The whole deployment.
pub struct World {
    /// What all hosts have told.
    pub events: Arc<KeptEvents>,
    pub http: reqwest::Client,
    pub store: StoreStandin,
    pub targets: Vec<TargetStandin>,
}

/// A configuration with one idempotent and one other route.
pub fn config(version: u64) -> Value {
    config_with(version, "desk", json!([]))
}

/// The same, to another service and with allowed regions.
pub fn config_with(version: u64, service: &str, regions: Value) -> Value {
    let rule = |kind: &str, prefix: &str| {
        json!({
            "name": kind, "kind": kind, "targetLatency": "400ms", "priority": 1,
            "sessionAffinity": true, "match": { "pathPrefix": prefix },
            "action": {
                "service": service, "timeout": "2000ms", "maxAttempts": 2,
                "allowedRegions": regions,
            },
        })
    };
    json!({
        "version": format!("{version:08x}"),
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
        "listeners": [{
            "hostname": HOST, "rules": [rule("safe", READS), rule("unsafe", BOOKINGS)],
        }],
        "clusters": [{
            "name": service, "healthCheckPath": "/health", "maxConnections": 100,
            "coldStart": "3s", "coldPerS": 5.0,
        }],
    })
}

/// Settings of a host of the first zone, on free ports.
pub fn settings(name: &str, store: SocketAddr) -> EntrySettings {
    let zones = [("north-a", "north"), ("north-b", "north"), ("south-a", "south")];
    loopback_settings(name, "north-a", "north", &zones, store)
}

impl World {
    /// A store and targets of one service, ready and listed, with the first configuration.
    pub async fn spawn(zones: &[&'static str]) -> Self {
        let world = Self::bare(zones).await;
        world.store.put("config", "main", config(1));
        world.enlist();
        world
    }

    /// The same, with an empty store.
    pub async fn bare(zones: &[&'static str]) -> Self {
        const IDS: [&str; 4] = ["t-1", "t-2", "t-3", "t-4"];
        let mut targets = Vec::new();
        for (id, zone) in IDS.into_iter().zip(zones) {
            let draft = TargetIdentity { id, service: "desk", zone };
            targets.push(TargetStandin::spawn(draft).await.expect("loopback has free ports"));
        }
        let store = StoreStandin::spawn().await.expect("loopback has free ports");
        let events = Arc::new(KeptEvents::default());
        Self { events, http: reqwest::Client::new(), store, targets }
    }

    /// Writes all targets' entries.
    pub fn enlist(&self) {
        for target in &self.targets {
            self.store.put("servers", target.id(), target.store_entry("ready", 1));
        }
    }

    /// A host that serves.
    pub async fn host(&self, name: &str) -> EntryHost {
        let host = self.host_of(settings(name, self.store.addr())).await;
        self.until_ready(&host).await;
        host
    }

    /// A host that may not serve yet.
    pub async fn host_of(&self, settings: EntrySettings) -> EntryHost {
        self.host_with(settings, Arc::new(TcpConnector)).await
    }

    /// A host that serves, and its links to the targets.
    pub async fn host_with_links(&self, name: &str, zone: &str) -> (EntryHost, TargetLinks) {
        let links = TargetLinks::new(self.targets.iter().map(TargetStandin::addr));
        let (mut settings, region) = (settings(name, self.store.addr()), &zone[..5]);
        (settings.zone, settings.region) = (zone.into(), region.into());
        let host = self.host_with(settings, Arc::new(links.clone())).await;
        self.until_ready(&host).await;
        (host, links)
    }

    /// A host that serves, with connections of its own.
    pub async fn host_with_connector(
        &self,
        name: &str,
        connector: Arc<dyn Connector>,
    ) -> EntryHost {
        let host = self.host_with(settings(name, self.store.addr()), connector).await;
        self.until_ready(&host).await;
        host
    }

    async fn host_with(&self, settings: EntrySettings, connector: Arc<dyn Connector>) -> EntryHost {
        let store = Arc::new(ObjectStore::new(settings.store));
        let clock = Arc::new(BootClock);
        self.spawn_host(settings, connector, clock, store, false).await
    }

    /// A host that keeps what it learns in the store, which may not serve yet.
    pub async fn host_that_learns(
        &self,
        name: &str,
        clock: Arc<dyn Clock>,
        store: Arc<dyn Platform>,
    ) -> EntryHost {
        let settings = settings(name, self.store.addr());
        self.spawn_host(settings, Arc::new(TcpConnector), clock, store, true).await
    }

    async fn spawn_host(
        &self,
        settings: EntrySettings,
        connector: Arc<dyn Connector>,
        clock: Arc<dyn Clock>,
        store: Arc<dyn Platform>,
        learned_state: bool,
    ) -> EntryHost {
        let (events, protocol) = (self.events.clone(), Arc::new(PlatformProtocol));
        let parts =
            EntryParts { clock, connector, events, learned_state, protocol, settings, store };
        EntryHost::spawn(parts).await.expect("free ports")
    }

    pub async fn is_ready(&self, host: &EntryHost) -> bool {
        let url = format!("http://{}/api/ready", host.listen().ready);
        self.http.get(url).send().await.is_ok_and(|answer| answer.status() == 200)
    }

    pub async fn until_ready(&self, host: &EntryHost) {
        until("the host is ready", async || self.is_ready(host).await).await;
    }

    /// Sends one request.
    pub async fn ask(&self, host: &EntryHost, ask: Ask<'_>) -> reqwest::Result<Response> {
        let url = format!("http://{}{}", host.listen().callers, ask.path);
        let mut req = self.http.request(ask.method, url).header("Host", HOST);
        req = req.header("Lavenderplank-Attempt-Id", ask.attempt);
        req = req.header("Lavenderplank-Time-Remaining", ask.time_left.to_string());
        if let Some(object) = ask.object {
            req = req.header("Cookie", format!("Lavenderplank-Affinity-Key={object}"));
        }
        req.body(ask.body.to_vec()).send().await
    }

    /// Requests that any target got, but for those of health.
    pub fn arrivals(&self) -> usize {
        self.targets.iter().map(|target| target.received().len()).sum()
    }
}

/// Keeps all events in memory.
#[derive(Default)]
pub struct KeptEvents(Mutex<Vec<(Option<RequestKey>, Event)>>);

impl EventSink for KeptEvents {
    fn record(&self, request: Option<&RequestKey>, event: Event) {
        self.0.lock().expect("no holder panics").push((request.cloned(), event));
    }
}

impl KeptEvents {
    /// Events of one request, in their order.
    pub fn of(&self, attempt: &str) -> Vec<Event> {
        let kept = self.0.lock().expect("no holder panics");
        let of = |key: &Option<RequestKey>| {
            key.as_ref().and_then(|key| key.attempt.as_deref()) == Some(attempt)
        };
        kept.iter().filter(|(key, _)| of(key)).map(|(_, event)| event.clone()).collect()
    }

    /// Number of events for which `is` holds.
    pub fn count(&self, is: impl Fn(&Event) -> bool) -> usize {
        self.0.lock().expect("no holder panics").iter().filter(|(_, event)| is(event)).count()
    }

    /// Whether an event of the hosts themselves has come.
    pub fn has(&self, is: impl Fn(&Event) -> bool) -> bool {
        self.0.lock().expect("no holder panics").iter().any(|(_, event)| is(event))
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    pub attempt: &'a str,
    pub body: &'a [u8],
    pub method: Method,
    pub object: Option<&'a str>,
    pub path: &'a str,
    pub time_left: u64,
}

/// A read about one object.
pub fn read(attempt: &str) -> Ask<'_> {
    let path = "/reads/one?page=2";
    Ask { attempt, body: b"", method: Method::GET, object: Some("7"), path, time_left: 2000 }
}

/// A booking about one object.
pub fn booking(attempt: &str) -> Ask<'_> {
    let (path, body) = ("/bookings/one", b"two seats".as_slice());
    Ask { attempt, body, method: Method::POST, object: Some("7"), path, time_left: 2000 }
}

/// Waits until something holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(tokio::time::timeout(PATIENCE, wait).await.is_ok(), "it never came to pass: {what}");
}

/// Runs a test on one thread, as the hosts' control side needs it.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(LocalSet::new().run_until(test));
}
