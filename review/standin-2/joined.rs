//! Endpoints send, after some answers and late, bytes that are no response.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::lab::{
    Endpoint, Fields, Folder, Host, Record, Store, World, call, has_trouble, ms, own_network,
};

/// The largest dose of the users' sheet: share of the endpoints, of their answers, and time.
const ENDPOINTS: usize = 10;
const SPOILING_ENDPOINTS: usize = 6;
const SPOILED_PER_MILLE: u64 = 30;
const TROUBLE_TIME: Duration = Duration::from_secs(5);

/// The disruption comes this many times.
const ROUNDS: usize = 3;

const BOOKINGS_PER_S: u64 = 200;
const WORK_MS: u64 = 60;

/// `Ok(true)` if the rule held.
pub fn run(record: &Arc<Record>) -> Result<bool, String> {
    let (folder, ip) = (Folder::new(), own_network());
    let store_addr = (ip(1), 8541).into();
    let store = Store::start(store_addr);
    let world =
        Arc::new(World { record: record.clone(), runs: Default::default(), store: store.clone() });
    store.write("config/main", CONFIG, "");
    let endpoints: Vec<Arc<Endpoint>> = (0..ENDPOINTS)
        .map(|at| {
            let (id, zone) = (format!("i-{at}"), ["ktm-a", "ktm-b"][at % 2]);
            Endpoint::start(&world, ip(100 + at as u8), (&id, "bookings", zone), WORK_MS)
        })
        .collect();
    let fields = |name: &str, last: u8, zone: &str| Fields {
        name: name.into(),
        ip: ip(last).to_string(),
        region: "bagmati".into(),
        seeds: format!("[\"{}:8544\",\"{}:8544\"]", ip(11), ip(12)),
        store: store_addr.to_string(),
        zone: zone.into(),
        zones: r#"{"ktm-a":"bagmati","ktm-b":"bagmati"}"#.into(),
    };
    let hosts = [
        Host::start(&folder.0, &fields("edge-ktm-a-1", 11, "ktm-a")),
        Host::start(&folder.0, &fields("edge-ktm-b-1", 12, "ktm-b")),
    ];
    if !hosts.iter().all(Host::wait_until_ready) {
        return Err("a host is not ready".into());
    }
    thread::sleep(ms(2000));
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let mut booking = 0;
    for _ in 0..ROUNDS {
        book(record, &hosts, &answers, &mut booking, ms(2000));
        let spoil = |per_mille| {
            for endpoint in &endpoints[..SPOILING_ENDPOINTS] {
                endpoint.spoiled_per_mille.store(per_mille, Ordering::Relaxed);
            }
        };
        spoil(if has_trouble() { SPOILED_PER_MILLE } else { 0 });
        book(record, &hosts, &answers, &mut booking, TROUBLE_TIME);
        spoil(0);
    }
    thread::sleep(ms(4000));
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for run in world.runs.lock().unwrap().iter() {
        *counts.entry(run.attempt.clone()).or_default() += 1;
    }
    let answers = answers.lock().unwrap();
    if answers.len() < booking / 2 {
        return Err("few bookings were answered".into());
    }
    let twice = counts.values().filter(|count| 1 < **count).count();
    let is_promise = |status: &u16| [408, 421, 429, 503].contains(status);
    let refused =
        answers.iter().filter(|(it, status)| is_promise(status) && counts.contains_key(*it));
    let refused = refused.count();
    record
        .add(&format!("of {booking} bookings, {twice} ran twice, {refused} were refused and ran"));
    Ok(twice == 0 && refused == 0)
}

/// Sends bookings for some time.
fn book(
    record: &Arc<Record>,
    hosts: &[Host],
    answers: &Arc<Mutex<BTreeMap<String, u16>>>,
    booking: &mut usize,
    time: Duration,
) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let attempt = format!("booking-{booking}");
        *booking += 1;
        let (record, answers) = (record.clone(), answers.clone());
        let to = hosts[*booking % hosts.len()].callers;
        thread::spawn(move || {
            let request = format!(
                "POST /seats/{attempt} HTTP/1.1\r\nHost: counter.example\r\nLavenderplank-Attempt-Id: {attempt}\r\nLavenderplank-Time-Remaining: 2500\r\nContent-Length: 4\r\n\r\nseat"
            );
            record.add(&format!("sent     {attempt}"));
            match call(to, &request, ms(3500)) {
                Ok(response) => {
                    record.add(&format!("answered {attempt}: {}", response.start));
                    answers.lock().unwrap().insert(attempt, response.status());
                }
                Err(error) => record.add(&format!("no answer to {attempt}: {error}")),
            }
        });
        thread::sleep(Duration::from_millis(1000 / BOOKINGS_PER_S));
    }
}

const CONFIG: &str = r#"{"version":"00000004","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"tenants":[],"baseVersion":"00000000","listeners":[{"hostname":"counter.example","rules":[{"name":"r-1","kind":"unsafe","targetLatency":"400ms","priority":1,"public":false,"sessionAffinity":false,"match":{"pathPrefix":"/seats/"},"action":{"service":"bookings","timeout":"2500ms","maxAttempts":2,"allowedRegions":[]}}]}],"clusters":[{"name":"bookings","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":6.4}]}"#;
