//! Another writer puts an entry that can't be read among those of the endpoints.

use std::{path::Path, sync::Arc, thread, time::Duration};

use crate::lab::{
    Endpoint, Fields, Folder, Host, Record, Store, World, call, get, has_trouble, ms, own_network,
};

/// Bounds of the small deployment.
const DRAIN_S: f64 = 2.5;
const RECOVERY: Duration = Duration::from_secs(15);

const ENDPOINTS: usize = 6;

/// The text of the entry. A backslash before the quote at the end of its address makes the text go on
/// behind it.
const ODD_ENTRY: &str = r#"{"metadata":{"name":"i-odd","revision":REVISION,"createdAt":1,"finalizers":[],"deletionRequested":false},"spec":{"address":"127.0.0.1:9\"},"status":null}"#;

/// `Ok(true)` if the rules held.
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
            Endpoint::start(&world, ip(100 + at as u8), (&id, "showtimes", zone), 50)
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
    let start = |folder: &Path| {
        [
            Host::start(folder, &fields("edge-ktm-a-1", 11, "ktm-a")),
            Host::start(folder, &fields("edge-ktm-b-1", 12, "ktm-b")),
        ]
    };
    let hosts = start(&folder.0);
    if !hosts.iter().all(Host::wait_until_ready) {
        return Err("a host is not ready".into());
    }
    thread::sleep(ms(5000));
    if requests(record, &hosts, "before", 40) < 40 {
        return Err("requests were not served before the disruption".into());
    }
    if has_trouble() {
        store.write_odd("servers/i-odd", ODD_ENTRY);
        record.add("store    has an entry that can't be read");
    }
    thread::sleep(ms(1000));
    endpoints[0].drain(&store);
    let left = record.now();
    record.add("store    has acknowledged that i-0 is draining");
    requests(record, &hosts, "leaving", 160);
    let runs = world.runs.lock().unwrap();
    let late = runs.iter().filter(|run| run.endpoint == "i-0" && left + DRAIN_S < run.at).count();
    drop(runs);
    record.add(&format!("{late} requests ran at i-0 later than {DRAIN_S} s after that"));
    drop(hosts);
    record.add("hosts    all are killed, and started again");
    let hosts = start(&folder.0);
    thread::sleep(RECOVERY);
    let sent = 40;
    let served = requests(record, &hosts, "recovered", sent);
    record.add(&format!("{served} of {sent} requests were served {RECOVERY:?} after the start"));
    Ok(late == 0 && sent <= served * 4)
}

/// Sends requests to the hosts in turn, twenty a second. Returns how many were served.
fn requests(record: &Record, hosts: &[Host], when: &str, count: usize) -> usize {
    let mut served = 0;
    for at in 0..count {
        let (attempt, host) = (format!("{when}-{at}"), &hosts[at % hosts.len()]);
        record.add(&format!("sent     {attempt}"));
        let request = get("counter.example", "/shows/1", &attempt, 2000, "");
        match call(host.callers, &request, ms(3000)) {
            Ok(response) => {
                record.add(&format!("answered {attempt}: {}", response.start));
                served += usize::from(response.status() == 200);
            }
            Err(error) => record.add(&format!("no answer to {attempt}: {error}")),
        }
    }
    served
}

const CONFIG: &str = r#"{"version":"00000004","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"tenants":[],"baseVersion":"00000000","listeners":[{"hostname":"counter.example","rules":[{"name":"r-1","kind":"safe","targetLatency":"400ms","priority":2,"public":false,"sessionAffinity":false,"match":{"pathPrefix":"/shows/"},"action":{"service":"showtimes","timeout":"2000ms","maxAttempts":2,"allowedRegions":[]}}]}],"clusters":[{"name":"showtimes","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":6.4}]}"#;
