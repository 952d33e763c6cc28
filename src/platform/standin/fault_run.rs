//! Runs hosts on loopback with stand-ins for the targets and the store, sends requests while
//! injecting faults, and checks guarantees against what callers and targets observed.

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
use tokio::time::Instant;

use super::{
    DoorMode, LinkMode, ListOrder, Paging, ResponseMode, Statements, StoreDoor, StoreStandin,
    TargetIdentity, TargetLinks, TargetStandin, Unending, UnendingPart, loopback_settings,
};
use crate::{
    base::BootClock,
    entry::{Connector, EntryHost, EntryParts, TcpConnector},
    event_log::NoEvents,
    platform::{ObjectStore, PlatformProtocol},
    prelude::*,
};

/// Result of a run.
pub type Result<T, E = eyre::Report> = std::result::Result<T, E>;

/// Time after which a caller gives up, while it reads the response too.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(15);

/// Time after which a draining target must not receive requests, as the settings guarantee.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Zone that is evacuated twice while the store turns one host away, and time after which its targets
/// must not receive requests, as the settings guarantee.
const EVACUATED_ZONE: &str = "south-a";
const EVACUATION_TIME: Duration = Duration::from_secs(5);

/// Position in `TARGETS` of the target that names a limit for some time, and the limit.
const LIMITED_TARGET: usize = 2;
const LIMIT_PER_S: f64 = 2.0;

/// Position in `TARGETS` of the target whose responses do not end for some time.
const UNENDING_TARGET: usize = 4;

/// Time after which all hosts know the limit, and time over which its requests are counted.
const LIMIT_NOTICE_TIME: Duration = Duration::from_millis(1_500);
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Position in `HOSTS` of the host whose links to all targets are cut for some time.
const CUT_HOST: usize = 0;

/// Time after the cut from which on first tries at that host have to be served, and their least
/// number relative to those at the other hosts.
const CUT_NOTICE_TIME: Duration = Duration::from_secs(4);
const CUT_SERVED_RATIO: f64 = 2.0 / 3.0;

/// Version of the declaration that is written after the store was restored, and its new route.
const RESTORED_VERSION: u64 = 9;
const ADDED_ROUTE: &str = "/added/";

/// Objects on a page of the store's listings, which hold entries of other writers too.
const LIST_PAGE_SIZE: usize = 2;

const HOST_NAME: &str = "counter.example";
const CALLER_COUNT: usize = 8;
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

/// Results of a run.
#[derive(Debug, Default, Serialize)]
pub struct FaultRunReport {
    /// Requests by status; 0 means that there was no response.
    pub answers: BTreeMap<u16, u32>,
    /// Descriptions of violated guarantees.
    pub broken: Vec<String>,
    /// Number of checks by guarantee. The texts are keys of the JSON report.
    pub checks: BTreeMap<&'static str, u32>,
    pub faults: u32,
    pub requests: u32,
}

impl FaultRunReport {
    /// Whether every guarantee was checked and none is violated.
    pub fn passed(&self) -> bool {
        self.broken.is_empty() && self.checks.len() == 9 && self.checks.values().all(|n| 0 < *n)
    }

    fn check(&mut self, guarantee: &'static str, holds: bool, detail: impl FnOnce() -> String) {
        *self.checks.entry(guarantee).or_default() += 1;
        if !holds {
            self.broken.push(format!("{guarantee}: {}", detail()));
        }
    }
}

impl fmt::Display for FaultRunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} requests, {} faults", self.requests, self.faults)?;
        for (status, count) in &self.answers {
            writeln!(f, "  answered {status}: {count}")?;
        }
        for (guarantee, count) in &self.checks {
            writeln!(f, "  {guarantee}: checked {count} times")?;
        }
        for violation in &self.broken {
            writeln!(f, "VIOLATED {violation}")?;
        }
        writeln!(f, "{} violations", self.broken.len())
    }
}

/// A request and its response, as its caller saw them.
struct CallerRecord {
    at: Instant,
    host: SocketAddr,
    attempt_id: String,
    booking: bool,
    /// Attempt id and body of a complete response with status 200.
    response: Option<(String, String)>,
    status: u16,
}

/// What the faults of a run leave to be checked at its end.
#[derive(Default)]
struct Observed {
    /// When the links of a host to all targets were cut, and when they were opened again.
    cut: Option<(Instant, Instant)>,
    /// When `EVACUATED_ZONE` was evacuated for the second time, and when it was taken back.
    evacuated: Option<(Instant, Instant)>,
    /// When a target named its limit, and when it no longer did.
    limited: Option<(Instant, Instant)>,
    /// Number of requests that the drained target had received when its drain time ended.
    requests_before: usize,
}

struct Cluster {
    /// The store's address for each host.
    doors: Vec<StoreDoor>,
    hosts: Vec<Option<EntryHost>>,
    http: Client,
    /// Links of `CUT_HOST` to all targets.
    links: TargetLinks,
    store: StoreStandin,
    targets: Vec<TargetStandin>,
}

/// Runs for `length` and reports the checks. Must run within a `LocalSet`.
pub async fn run_with_faults(length: Duration, seed: u64) -> Result<FaultRunReport> {
    let mut cluster = Cluster::spawn().await?;
    let mut report = FaultRunReport::default();
    let callers: Vec<SocketAddr> =
        cluster.hosts.iter().flatten().map(|host| host.listen().callers).collect();
    let until = Instant::now() + length;
    let callers = Rc::new(callers);
    let tasks: Vec<_> = (0..CALLER_COUNT)
        .map(|number| {
            let (http, hosts) = (cluster.http.clone(), callers.clone());
            tokio::task::spawn_local(run_caller(http, hosts, seed, number, until))
        })
        .collect();
    let observed = cluster.inject_faults(length, seed, &mut report).await?;
    let mut records = Vec::new();
    for task in tasks {
        records.extend(task.await?);
    }
    report.requests = records.len() as u32;
    cluster.check_guarantees(&records, &observed, &mut report);
    Ok(report)
}

impl Cluster {
    async fn spawn() -> Result<Self> {
        let store = StoreStandin::spawn().await?;
        let mut targets = Vec::new();
        for (id, zone) in TARGETS {
            let target = TargetStandin::spawn(TargetIdentity { id, service: "desk", zone }).await?;
            target.set_processing_time(Duration::from_millis(8));
            store.put("servers", id, target.store_entry("ready", 1));
            store.put("servers", &format!("{id}&watch=1"), json!({}));
            store.put("servers", &format!("other/{id}"), json!({}));
            targets.push(target);
        }
        store.put("config", "a+b#c", json!({}));
        store.put("config", "main", config(1));
        store.put("evacuations", "other/north-a", json!({}));
        store.set_paging(Paging { order: ListOrder::Name, size: LIST_PAGE_SIZE });
        let (mut doors, mut hosts) = (Vec::new(), Vec::new());
        let links = TargetLinks::new(targets.iter().map(TargetStandin::addr));
        for (at, (name, zone, region)) in HOSTS.into_iter().enumerate() {
            let connector: Arc<dyn Connector> = match at {
                CUT_HOST => Arc::new(links.clone()),
                _ => Arc::new(TcpConnector),
            };
            let door = store.open_door().await?;
            hosts.push(Some(spawn_host(door.addr(), connector, name, zone, region).await?));
            doors.push(door);
        }
        let http = Client::builder().timeout(CALLER_TIMEOUT).build()?;
        let cluster = Self { doors, hosts, http, links, store, targets };
        for host in cluster.hosts.iter().flatten() {
            cluster.until_ready(host).await?;
        }
        Ok(cluster)
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
        Err(eyre::eyre!("a host was not ready after 5 s; see its log"))
    }

    /// Injects faults at random and at fixed steps.
    async fn inject_faults(
        &mut self,
        length: Duration,
        seed: u64,
        report: &mut FaultRunReport,
    ) -> Result<Observed> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let step_length = length / 40;
        let mut observed = Observed::default();
        let mut limited_at = Instant::now();
        let mut cut_at = Instant::now();
        let mut evacuated_at = Instant::now();
        let mut copy = self.store.copy();
        let turned_away = rng.random_range(0..self.doors.len());
        let drain_steps = (DRAIN_TIME.as_secs_f64() / step_length.as_secs_f64()).ceil() as u32;
        for step in 0..40_u32 {
            tokio::time::sleep(step_length).await;
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
                if rng.random_bool(0.3) {
                    target.send_late_copies(1);
                    report.faults += 1;
                }
            }
            self.targets[UNENDING_TARGET].set_unending(
                (32..36).contains(&step).then_some(Unending {
                    part: UnendingPart::Body,
                    pause: Duration::from_millis(1),
                }),
            );
            match step {
                3 | 9 => {
                    self.store.put("evacuations", EVACUATED_ZONE, json!({}));
                    evacuated_at = Instant::now();
                }
                4 => self.store.put("config", "main", config(5)),
                5 => self.doors[turned_away].set_mode(DoorMode::Refuse(503)),
                6 => self.store.put("servers", "t-1", self.targets[0].store_entry("draining", 1)),
                7 => self.store.remove("evacuations", EVACUATED_ZONE),
                8 => {
                    self.links.set(LinkMode::Reset);
                    cut_at = Instant::now();
                }
                10 => self.store.put("evacuations", "north-b", json!({})),
                12 => self.doors[turned_away].set_mode(DoorMode::Open),
                14 => self.store.remove("evacuations", "north-b"),
                15 => {
                    self.targets[LIMITED_TARGET].set_statements(Statements {
                        limit: Some("2.0"),
                        in_answers_only: true,
                        ..Statements::default()
                    });
                    limited_at = Instant::now();
                }
                16 => copy = self.store.copy(),
                17 => (6..RESTORED_VERSION)
                    .for_each(|version| self.store.put("config", "main", config(version))),
                18 => self.store.set_down(true),
                24 => self.store.set_down(false),
                25 => self.store.restore(&copy),
                26 => {
                    observed.cut = Some((cut_at, Instant::now()));
                    self.links.set(LinkMode::Open);
                    self.store.compact();
                    self.store.put("config", "main", config(RESTORED_VERSION));
                }
                28 => {
                    observed.limited = Some((limited_at, Instant::now()));
                    self.targets[LIMITED_TARGET].set_statements(Statements::default());
                }
                30 => {
                    observed.evacuated = Some((evacuated_at, Instant::now()));
                    self.store.remove("evacuations", EVACUATED_ZONE);
                    let host = self.hosts[1].take();
                    tokio::task::spawn_local(async move {
                        if let Some(host) = host {
                            host.stop().await;
                        }
                    });
                }
                _ => {}
            }
            if step == 38 {
                self.check_restored_declaration(report).await;
            }
            if step == 6 + drain_steps {
                observed.requests_before = self.targets[0].received().len();
            }
        }
        Ok(observed)
    }

    fn check_guarantees(
        &self,
        records: &[CallerRecord],
        observed: &Observed,
        report: &mut FaultRunReport,
    ) {
        let mut executions: HashMap<String, u32> = HashMap::new();
        let mut bodies = BTreeSet::new();
        for target in &self.targets {
            bodies.insert(format!("answer of {}", target.id()));
            for request in target.received() {
                if request.ran {
                    *executions.entry(request.attempt_id).or_default() += 1;
                }
            }
        }
        for record in records {
            *report.answers.entry(record.status).or_default() += 1;
            let ran = executions.get(&record.attempt_id).copied().unwrap_or_default();
            let detail =
                || format!("{} ran {ran} times, answered {}", record.attempt_id, record.status);
            if record.booking {
                report.check("a booking runs at most once", ran <= 1, detail);
                if record.status == 503 {
                    report.check("what was refused has not run", ran == 0, detail);
                }
            }
            if let Some((attempt_id, body)) = &record.response {
                let own = *attempt_id == record.attempt_id && bodies.contains(body);
                report.check("an answer is whole and the caller's own", own, detail);
            }
        }
        self.check_cut(records, observed, report);
        self.check_limit(observed, report);
        self.check_evacuation(observed, report);
        let after = self.targets[0].received().len() - observed.requests_before;
        let detail = || format!("{after} requests after its drain time");
        report.check("a retiring target gets no new work", after == 0, detail);
        let served = records.iter().filter(|record| record.status == 200).count();
        let most_served = records.len() * 3 / 4 < served;
        report.check("most requests are served", most_served, || {
            format!("{served} of {}", records.len())
        });
    }
}

impl Cluster {
    /// Checks that all hosts know the route that was added after the store was restored.
    async fn check_restored_declaration(&self, report: &mut FaultRunReport) {
        for host in self.hosts.iter().flatten() {
            let url = format!("http://{}{ADDED_ROUTE}one", host.listen().callers);
            let req = self.http.get(url).header("Host", HOST_NAME);
            let record = send(req, host.listen().callers, "restored".into(), false).await;
            let detail = || format!("{} answers {}", record.host, record.status);
            report.check("a change after a restore is in force", record.status != 404, detail);
        }
    }

    /// Checks that a host that reaches no target serves about as many requests as the others.
    fn check_cut(
        &self,
        records: &[CallerRecord],
        observed: &Observed,
        report: &mut FaultRunReport,
    ) {
        let (Some((from, until)), Some(cut)) = (observed.cut, &self.hosts[CUT_HOST]) else {
            return;
        };
        let during =
            |record: &&CallerRecord| from + CUT_NOTICE_TIME <= record.at && record.at < until;
        let addr = cut.listen().callers;
        let (at_cut, at_others): (Vec<_>, Vec<_>) =
            records.iter().filter(during).partition(|record| record.host == addr);
        let served = |records: &[&CallerRecord]| {
            let served = records.iter().filter(|record| record.status == 200).count();
            served as f64 / records.len().max(1) as f64
        };
        let (cut_share, other_share) = (served(&at_cut), served(&at_others));
        let holds = CUT_SERVED_RATIO * other_share <= cut_share;
        report.check("a host without links to targets serves", holds, || {
            let (cut, others) = (at_cut.len(), at_others.len());
            format!("{cut_share:.2} of {cut} first tries, {other_share:.2} of {others} elsewhere")
        });
    }

    fn check_evacuation(&self, observed: &Observed, report: &mut FaultRunReport) {
        let Some((from, until)) = observed.evacuated else { return };
        let bound = from + EVACUATION_TIME;
        if until <= bound {
            return;
        }
        let in_zone =
            self.targets.iter().zip(TARGETS).filter(|(_, (_, zone))| *zone == EVACUATED_ZONE);
        let received = in_zone.flat_map(|(target, _)| target.received());
        let late = received.filter(|request| bound < request.at && request.at < until).count();
        let detail = || format!("{late} requests after the evacuation's time");
        report.check("an evacuated zone gets no new work", late == 0, detail);
    }

    fn check_limit(&self, observed: &Observed, report: &mut FaultRunReport) {
        let Some((from, until)) = observed.limited else { return };
        let times = self.targets[LIMITED_TARGET].received().into_iter().map(|request| request.at);
        let times: Vec<Instant> =
            times.filter(|at| from + LIMIT_NOTICE_TIME <= *at && *at <= until).collect();
        let in_window = |start: &Instant| {
            times.iter().filter(|at| *start <= **at && **at < *start + LIMIT_WINDOW).count()
        };
        let peak = times.iter().map(in_window).max().unwrap_or_default();
        let allowed = 1.5 * LIMIT_PER_S * LIMIT_WINDOW.as_secs_f64() + 5.0;
        let detail = || format!("{peak} requests in 4 s, {allowed} allowed");
        report.check("a target gets no more than it named", peak as f64 <= allowed, detail);
    }
}

/// Sends requests one after the other, each to a random host, until `until`.
async fn run_caller(
    http: Client,
    hosts: Rc<Vec<SocketAddr>>,
    seed: u64,
    number: usize,
    until: Instant,
) -> Vec<CallerRecord> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(1 + number as u64));
    let mut records = Vec::new();
    while Instant::now() < until {
        tokio::time::sleep(REQUEST_PAUSE).await;
        let Some(host) = hosts.choose(&mut rng) else { break };
        let booking = rng.random_bool(0.3);
        let attempt_id = format!("c{number}-{}", records.len());
        let object = rng.random_range(0..24_u32);
        let req = if booking {
            http.post(format!("http://{host}/bookings/{object}")).body("two seats")
        } else {
            http.get(format!("http://{host}/reads/{object}"))
        };
        let req = req
            .header("Host", HOST_NAME)
            .header("Lavenderplank-Attempt-Id", &attempt_id)
            .header("Lavenderplank-Time-Remaining", CALLER_TIMEOUT.as_millis().to_string())
            .header("Cookie", format!("Lavenderplank-Affinity-Key={object}"));
        records.push(send(req, *host, attempt_id, booking).await);
    }
    records
}

async fn send(
    req: reqwest::RequestBuilder,
    host: SocketAddr,
    attempt_id: String,
    booking: bool,
) -> CallerRecord {
    let at = Instant::now();
    let Ok(answer) = req.send().await else {
        // A stopped host refuses connections; the next request may go to another one.
        return CallerRecord { at, host, attempt_id, booking, response: None, status: 0 };
    };
    let status = answer.status().as_u16();
    let echo = answer.headers().get("lavenderplank-attempt-id").cloned();
    let echo = echo.and_then(|echo| echo.to_str().map(str::to_owned).ok()).unwrap_or_default();
    let response = match answer.text().await {
        Ok(body) if status == 200 => Some((echo, body)),
        _ => None,
    };
    CallerRecord { at, host, attempt_id, booking, response, status }
}

async fn spawn_host(
    store: SocketAddr,
    connector: Arc<dyn Connector>,
    name: &str,
    zone: &str,
    region: &str,
) -> Result<EntryHost> {
    let zones = HOSTS.map(|(_, zone, region)| (zone, region));
    let settings = loopback_settings(name, zone, region, &zones, store);
    let store = Arc::new(ObjectStore::new(store));
    let (clock, protocol) = (Arc::new(BootClock), Arc::new(PlatformProtocol));
    let events = Arc::new(NoEvents);
    let parts =
        EntryParts { clock, connector, events, learned_state: false, protocol, settings, store };
    Ok(EntryHost::spawn(parts).await?)
}

fn config(version: u64) -> Value {
    let rule = |kind: &str, prefix: &str| {
        json!({
            "name": kind, "kind": kind, "targetLatency": "400ms", "priority": 1,
            "sessionAffinity": true, "match": { "pathPrefix": prefix },
            "action": { "service": "desk", "timeout": "2000ms", "maxAttempts": 2 },
        })
    };
    let mut rules = vec![rule("safe", "/reads/"), rule("unsafe", "/bookings/")];
    if RESTORED_VERSION <= version {
        rules.push(rule("safe", ADDED_ROUTE));
    }
    json!({
        "version": format!("{version:08x}"),
        "limits": { "maxBodyBytes": 4096, "idleTimeout": "15000ms" },
        "listeners": [{
            "hostname": HOST_NAME,
            "rules": rules,
        }],
        "clusters": [{ "name": "desk", "maxConnections": 100, "coldPerS": 5.0 }],
    })
}
