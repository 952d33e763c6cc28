//! A key moves to another tenant while a request that came with it waits for a slow endpoint.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
};

use crate::lab::{
    Endpoint, Fields, Folder, Host, Record, Store, World, call, get, has_trouble, ms, own_network,
};

/// Usual time of the service's work, and how many times as long a slow endpoint takes.
const WORK_MS: u64 = 1500;
const SLOW_FACTOR: u64 = 12;

/// Endpoints, of which one turns slow: less than the share of 0.15 that the kind has by default.
const ENDPOINTS: usize = 12;

/// Bounds of the deployment for a configuration to be in force and for a key to be taken away.
const CONFIG_APPLY_S: f64 = 4.0;
const REVOKE_S: f64 = 5.0;

/// `Ok(true)` if the rule held.
pub fn run(record: &Arc<Record>) -> Result<bool, String> {
    let (folder, ip) = (Folder::new(), own_network());
    let store_addr = (ip(1), 8541).into();
    let store = Store::start(store_addr);
    let world =
        Arc::new(World { record: record.clone(), runs: Default::default(), store: store.clone() });
    store.write("config/main", &config("00000004", "pokhara"), "");
    let endpoints: Vec<Arc<Endpoint>> = (0..ENDPOINTS)
        .map(|at| {
            let (id, zone) = (format!("i-{at}"), ["ktm-a", "ktm-b"][at % 2]);
            Endpoint::start(&world, ip(100 + at as u8), (&id, "showtimes", zone), WORK_MS)
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
    thread::sleep(ms(3000));
    // Usual traffic, by which hosts learn how long the work takes.
    for round in 0..8 {
        let requests: Vec<_> = (0..48)
            .map(|at| send(record, &hosts[at % 2], format!("usual-{round}-{at}"), at / 4))
            .collect();
        requests.into_iter().for_each(|it| it.join().unwrap());
    }
    let requests: Vec<_> =
        (0..48).map(|at| send(record, &hosts[at % 2], format!("held-{at}"), at / 4)).collect();
    thread::sleep(ms(100));
    let slow = {
        let runs = world.runs.lock().unwrap();
        let held = |id: &str| {
            runs.iter().filter(|it| it.attempt.starts_with("held-") && it.endpoint == id).count()
        };
        endpoints.iter().max_by_key(|endpoint| held(&endpoint.id)).cloned().unwrap()
    };
    slow.slow_factor.store(SLOW_FACTOR, Ordering::Relaxed);
    record.add(&format!("endpoint {} turns slow", slow.id));
    thread::sleep(ms(200));
    let holder = if has_trouble() { "butwal" } else { "pokhara" };
    store.write("config/main", &config("00000009", holder), "");
    let acknowledged = record.now();
    record.add(&format!("config   00000009 is acknowledged: the tenant {holder} holds the key"));
    requests.into_iter().for_each(|it| it.join().unwrap());
    let runs = world.runs.lock().unwrap();
    let bound = acknowledged + CONFIG_APPLY_S.max(REVOKE_S);
    let late: Vec<_> =
        runs.iter().filter(|it| it.attempt.starts_with("held-") && bound < it.at).collect();
    if late.is_empty() {
        return Err("no request was sent once more after the bound".into());
    }
    let wrong = late.iter().filter(|run| run.tenant.as_deref() != Some(holder)).count();
    record.add(&format!("{wrong} of {} late runs were for another tenant", late.len()));
    Ok(wrong == 0)
}

/// Sends a request about an object.
fn send(
    record: &Arc<Record>,
    host: &Host,
    attempt: String,
    object: usize,
) -> thread::JoinHandle<()> {
    let (record, to) = (record.clone(), host.callers);
    thread::spawn(move || {
        let headers = format!(
            "Lavenderplank-Key: key-of-the-counter\r\nCookie: Lavenderplank-Affinity-Key={object}\r\n"
        );
        let request = get("counter.example", "/shows/1", &attempt, 8000, &headers);
        record.add(&format!("sent     {attempt}"));
        match call(to, &request, ms(9000)) {
            Ok(response) => record.add(&format!("answered {attempt}: {}", response.start)),
            Err(error) => record.add(&format!("no answer to {attempt}: {error}")),
        }
    })
}

/// The configuration in which a tenant holds the client's key.
fn config(version: &str, holder: &str) -> String {
    let tenant = |name: &str| {
        let moved = if name == holder { ",\"key-of-the-counter\"" } else { "" };
        format!(
            r#"{{"name":"{name}","apiKeys":["key-of-{name}"{moved}],"priority":0,"ratePerS":0,"burst":0,"allowedRegions":[]}}"#
        )
    };
    let tenants = format!("{},{}", tenant("pokhara"), tenant("butwal"));
    format!(
        r#"{{"version":"{version}","limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"tenants":[{tenants}],"baseVersion":"00000000","listeners":[{{"hostname":"counter.example","rules":[{{"name":"r-1","kind":"safe","targetLatency":"1200ms","priority":2,"public":false,"sessionAffinity":true,"match":{{"pathPrefix":"/shows/"}},"action":{{"service":"showtimes","timeout":"8000ms","maxAttempts":2,"allowedRegions":[]}}}}]}}],"clusters":[{{"name":"showtimes","healthCheckPath":"/health","maxConnections":1500,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":3.9}}]}}"#
    )
}
