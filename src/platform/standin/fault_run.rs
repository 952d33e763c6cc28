//! A short day on loopback: hosts, targets and the store as stand-ins, callers, faults, and the
//! promises checked from what callers and targets saw.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    rc::Rc,
    time::Duration,
};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use reqwest::{Client, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};

use super::{ResponseMode, StoreStandin, TargetIdentity, TargetStandin, loopback_settings};
use crate::{
    base::BootClock,
    entry::{EntryHost, EntryParts},
    event_log::NoEvents,
    platform::{ObjectStore, PlatformProtocol},
    prelude::*,
};

/// Result of playing a day.
pub type Result<T, E = eyre::Report> = std::result::Result<T, E>;

/// Time that a caller waits.
const PATIENCE: Duration = Duration::from_secs(2);

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);

/// Time in which a retiring target may still get work, as the settings promise.
const DRAIN: Duration = Duration::from_millis(2_500);

const HOST_NAME: &str = "counter.example";
const CALLERS: usize = 8;
const TARGETS: [(&str, &str); 6] = [
    ("t-1", "north-a"),
    ("t-2", "north-a"),
    ("t-3", "north-b"),
    ("t-4", "north-b"),
    ("t-5", "south-a"),
    ("t-6", "south-a"),
];
const HOSTS: [(&str, &str, &str); 3] =
    [("h-1", "north-a", "north"), ("h-2", "north-b", "north"), ("h-3", "south-a", "south")];

/// What a day showed.
#[derive(Debug, Default, Serialize)]
pub struct FaultRunReport {
    /// Requests by status; 0 stands for a connection without an answer.
    pub answers: BTreeMap<u16, u32>,
    /// Broken promises, in words.
    pub broken: Vec<String>,
    /// How often each promise was looked at.
    pub checks: BTreeMap<&'static str, u32>,
    pub faults: u32,
    pub requests: u32,
}

impl FaultRunReport {
    /// Whether every promise was looked at and none is broken.
    pub fn passed(&self) -> bool {
        self.broken.is_empty() && self.checks.len() == 5 && self.checks.values().all(|n| 0 < *n)
    }

    fn check(&mut self, promise: &'static str, holds: bool, told: impl FnOnce() -> String) {
        *self.checks.entry(promise).or_default() += 1;
        if !holds {
            self.broken.push(format!("{promise}: {}", told()));
        }
    }
}

impl fmt::Display for FaultRunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} requests, {} faults", self.requests, self.faults)?;
        for (status, count) in &self.answers {
            writeln!(f, "  answered {status}: {count}")?;
        }
        for (promise, count) in &self.checks {
            writeln!(f, "  {promise}: looked at {count} times")?;
        }
        for broken in &self.broken {
            writeln!(f, "BROKEN {broken}")?;
        }
        writeln!(f, "{} promises broken", self.broken.len())
    }
}

/// One request and what its caller heard.
struct Heard {
    attempt: String,
    booking: bool,
    /// Attempt id and body of the answer.
    echo: Option<(String, String)>,
    status: u16,
}

struct World {
    hosts: Vec<Option<EntryHost>>,
    http: Client,
    store: StoreStandin,
    targets: Vec<TargetStandin>,
}

/// Plays a day of that length. Must run within a `LocalSet`.
pub async fn run_with_faults(length: Duration, seed: u64) -> Result<FaultRunReport> {
    let mut world = World::spawn().await?;
    let mut report = FaultRunReport::default();
    let callers: Vec<SocketAddr> =
        world.hosts.iter().flatten().map(|host| host.listen().callers).collect();
    let until = tokio::time::Instant::now() + length;
    let callers = Rc::new(callers);
    let tasks: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (http, hosts) = (world.http.clone(), callers.clone());
            tokio::task::spawn_local(call(http, hosts, seed, number, until))
        })
        .collect();
    let retired = world.befall(length, seed, &mut report).await?;
    let mut heard = Vec::new();
    for task in tasks {
        heard.extend(task.await?);
    }
    report.requests = heard.len() as u32;
    world.judge(&heard, &retired, &mut report);
    Ok(report)
}

impl World {
    async fn spawn() -> Result<Self> {
        let store = StoreStandin::spawn().await?;
        let mut targets = Vec::new();
        for (id, zone) in TARGETS {
            let target = TargetStandin::spawn(TargetIdentity { id, service: "desk", zone }).await?;
            target.set_processing_time(Duration::from_millis(8));
            store.put("servers", id, target.store_entry("ready", 1));
            targets.push(target);
        }
        store.put("config", "main", config(1));
        let mut hosts = Vec::new();
        for (name, zone, region) in HOSTS {
            hosts.push(Some(host(&store, name, zone, region).await?));
        }
        let world = Self { hosts, http: Client::new(), store, targets };
        for host in world.hosts.iter().flatten() {
            world.until_ready(host).await?;
        }
        Ok(world)
    }

    async fn until_ready(&self, host: &EntryHost) -> Result<()> {
        let url = format!("http://{}/api/ready", host.listen().ready);
        for _ in 0..500 {
            let answer = self.http.get(&url).send().await;
            if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(eyre::eyre!("a host is not ready after five seconds; see its log"))
    }

    /// What happens in the day. Returns what the retired target had got when its time was over.
    async fn befall(
        &mut self,
        length: Duration,
        seed: u64,
        report: &mut FaultRunReport,
    ) -> Result<usize> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let step = length / 40;
        let mut retired_at = 0;
        let drained = (DRAIN.as_secs_f64() / step.as_secs_f64()).ceil() as u32;
        for turn in 0..40_u32 {
            tokio::time::sleep(step).await;
            let response_modes = [
                ResponseMode::Duplicate,
                ResponseMode::Fail,
                ResponseMode::Reset,
                ResponseMode::Shed,
                ResponseMode::WrongTarget,
                ResponseMode::Truncate,
                ResponseMode::Unsigned,
                ResponseMode::NoLength,
            ];
            for target in &self.targets {
                if rng.random_bool(0.5) {
                    target.queue_responses(&[
                        response_modes[rng.random_range(0..response_modes.len())]
                    ]);
                    report.faults += 1;
                }
            }
            match turn {
                4 => self.store.put("config", "main", config(5)),
                6 => self.store.put("servers", "t-1", self.targets[0].store_entry("draining", 1)),
                10 => self.store.put("evacuations", "north-b", json!({})),
                14 => self.store.remove("evacuations", "north-b"),
                18 => self.store.set_down(true),
                24 => self.store.set_down(false),
                26 => self.store.compact(),
                30 => {
                    let host = self.hosts[1].take();
                    tokio::task::spawn_local(async move {
                        if let Some(host) = host {
                            host.stop().await;
                        }
                    });
                }
                _ => {}
            }
            if turn == 6 + drained {
                retired_at = self.targets[0].received().len();
            }
        }
        Ok(retired_at)
    }

    fn judge(&self, heard: &[Heard], retired_at: &usize, report: &mut FaultRunReport) {
        let mut runs: HashMap<String, u32> = HashMap::new();
        let mut bodies = BTreeSet::new();
        for target in &self.targets {
            bodies.insert(format!("answer of {}", target.id()));
            for seen in target.received() {
                if seen.ran {
                    *runs.entry(seen.attempt_id).or_default() += 1;
                }
            }
        }
        for one in heard {
            *report.answers.entry(one.status).or_default() += 1;
            let ran = runs.get(&one.attempt).copied().unwrap_or_default();
            let told = || format!("{} ran {ran} times, answered {}", one.attempt, one.status);
            if one.booking {
                report.check("a booking runs at most once", ran <= 1, told);
                if one.status == 503 {
                    report.check("what was refused has not run", ran == 0, told);
                }
            }
            if let Some((attempt, body)) = &one.echo {
                let own = *attempt == one.attempt && bodies.contains(body);
                report.check("an answer is whole and the caller's own", own, told);
            }
        }
        let after = self.targets[0].received().len() - retired_at;
        let told = || format!("{after} requests after its time");
        report.check("a retiring target gets no new work", after == 0, told);
        let served = heard.iter().filter(|one| one.status == 200).count();
        let most = heard.len() * 3 / 4 < served;
        report.check("most requests are served", most, || format!("{served} of {}", heard.len()));
    }
}

/// One caller: sends one request after the other, each to any of the hosts.
async fn call(
    http: Client,
    hosts: Rc<Vec<SocketAddr>>,
    seed: u64,
    number: usize,
    until: tokio::time::Instant,
) -> Vec<Heard> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(1 + number as u64));
    let mut heard = Vec::new();
    while tokio::time::Instant::now() < until {
        tokio::time::sleep(PAUSE).await;
        let Some(host) = hosts.choose(&mut rng) else { break };
        let booking = rng.random_bool(0.3);
        let attempt = format!("c{number}-{}", heard.len());
        let object = rng.random_range(0..24_u32);
        let req = if booking {
            http.post(format!("http://{host}/bookings/{object}")).body("two seats")
        } else {
            http.get(format!("http://{host}/reads/{object}"))
        };
        let req = req
            .header("Host", HOST_NAME)
            .header("Lavenderplank-Attempt-Id", &attempt)
            .header("Lavenderplank-Time-Remaining", PATIENCE.as_millis().to_string())
            .header("Cookie", format!("Lavenderplank-Affinity-Key={object}"));
        heard.push(listen(req, attempt, booking).await);
    }
    heard
}

async fn listen(req: reqwest::RequestBuilder, attempt: String, booking: bool) -> Heard {
    let Ok(answer) = req.send().await else {
        // A host that has ended takes no connections; callers go on to another one.
        return Heard { attempt, booking, echo: None, status: 0 };
    };
    let status = answer.status().as_u16();
    let echo = answer.headers().get("lavenderplank-attempt-id").cloned();
    let echo = echo.and_then(|echo| echo.to_str().map(str::to_owned).ok()).unwrap_or_default();
    let echo = match answer.text().await {
        Ok(body) if status == 200 => Some((echo, body)),
        _ => None,
    };
    Heard { attempt, booking, echo, status }
}

async fn host(store: &StoreStandin, name: &str, zone: &str, region: &str) -> Result<EntryHost> {
    let zones = HOSTS.map(|(_, zone, region)| (zone, region));
    let settings = loopback_settings(name, zone, region, &zones, store.addr());
    let store = Arc::new(ObjectStore::new(store.addr())?);
    let (clock, protocol) = (Arc::new(BootClock), Arc::new(PlatformProtocol));
    let events = Arc::new(NoEvents);
    Ok(EntryHost::spawn(EntryParts { clock, events, protocol, settings, store }).await?)
}

fn config(version: u64) -> Value {
    let rule = |kind: &str, prefix: &str| {
        json!({
            "name": kind, "kind": kind, "targetLatency": "400ms", "priority": 1,
            "sessionAffinity": true, "match": { "pathPrefix": prefix },
            "action": { "service": "desk", "timeout": "2000ms", "maxAttempts": 2 },
        })
    };
    json!({
        "version": format!("{version:08x}"),
        "limits": { "maxBodyBytes": 4096, "idleTimeout": "15000ms" },
        "listeners": [{
            "hostname": HOST_NAME,
            "rules": [rule("safe", "/reads/"), rule("unsafe", "/bookings/")],
        }],
        "clusters": [{ "name": "desk", "maxConnections": 100, "coldPerS": 5.0 }],
    })
}
