//! A region is added: hosts get the configuration that names it before the settings that do.

use std::{sync::Arc, thread};

use crate::lab::{
    Endpoint, Fields, Folder, Host, Record, Store, World, call, get, has_trouble, ms, own_network,
};

/// Bound of the small deployment for a configuration to be in force, and how much longer is waited.
const CONFIG_APPLY_MS: u64 = 2500;
const MORE_MS: u64 = 4000;

const OLD_ZONES: &str = r#"{"ktm-a":"bagmati","ktm-b":"bagmati","pkr-a":"gandaki"}"#;
const NEW_ZONES: &str =
    r#"{"ktm-a":"bagmati","ktm-b":"bagmati","pkr-a":"gandaki","btw-a":"lumbini"}"#;

/// `Ok(true)` if the rule held.
pub fn run(record: &Arc<Record>) -> Result<bool, String> {
    let (folder, ip) = (Folder::new(), own_network());
    let store_addr = (ip(1), 8541).into();
    let store = Store::start(store_addr);
    let world =
        Arc::new(World { record: record.clone(), runs: Default::default(), store: store.clone() });
    store.write("config/main", &config("00000004", "showtimes-old", ""), "");
    for (at, service) in ["showtimes-old", "showtimes-new"].into_iter().cycle().take(6).enumerate()
    {
        let zone = ["ktm-a", "ktm-b", "pkr-a"][at / 2];
        Endpoint::start(&world, ip(100 + at as u8), (&format!("i-{at}"), service, zone), 100);
    }
    let places = [("ktm-a", "bagmati"), ("ktm-b", "bagmati"), ("pkr-a", "gandaki")];
    let fields = |at: usize, zones: &str| Fields {
        name: format!("edge-{}-1", places[at].0),
        ip: ip(11 + at as u8).to_string(),
        region: places[at].1.into(),
        seeds: format!("[\"{}:8544\",\"{}:8544\"]", ip(11), ip(13)),
        store: store_addr.to_string(),
        zone: places[at].0.into(),
        zones: zones.into(),
    };
    let hosts = [0, 1, 2].map(|at| Host::start(&folder.0, &fields(at, OLD_ZONES)));
    if !hosts.iter().all(Host::wait_until_ready) {
        return Err("a host is not ready".into());
    }
    thread::sleep(ms(5000));
    if !requests(record, &world, &hosts, "before") {
        return Err("requests were not served before the change".into());
    }
    let write_settings = || {
        for (at, host) in hosts.iter().enumerate() {
            fields(at, NEW_ZONES).write_to(&host.settings);
        }
        hosts[0].hang_up();
        record.add("settings the files name the region lumbini; one host got SIGHUP");
    };
    let write_config = || {
        let lumbini =
            r#",{"name":"butwal","apiKeys":["key-of-butwal"],"allowedRegions":["lumbini"]}"#;
        store.write("config/main", &config("00000009", "showtimes-new", lumbini), "");
        record.add("config   00000009 is acknowledged: the route leads to showtimes-new");
    };
    if has_trouble() {
        write_config();
        thread::sleep(ms(1000));
        write_settings();
    } else {
        write_settings();
        thread::sleep(ms(3000));
        write_config();
    }
    // Hosts look at their settings every two seconds.
    thread::sleep(ms(2500 + CONFIG_APPLY_MS + MORE_MS));
    requests(record, &world, &hosts, "after");
    let runs = world.runs.lock().unwrap();
    let after = || runs.iter().filter(|run| run.attempt.starts_with("after-"));
    if after().count() == 0 {
        return Err("requests were not served after the change".into());
    }
    let old = after().filter(|run| run.service == "showtimes-old").count();
    record.add(&format!(
        "{old} of {} runs after the change were by the old service",
        after().count()
    ));
    Ok(old == 0)
}

/// Sends requests to each host; whether all were served.
fn requests(record: &Record, world: &World, hosts: &[Host], when: &str) -> bool {
    let mut served = true;
    for (host, at) in hosts.iter().flat_map(|host| (0..5).map(move |at| (host, at))) {
        let attempt = format!("{when}-{}-{at}", host.callers.ip());
        let key = "Lavenderplank-Key: key-of-pokhara\r\n";
        record.add(&format!("sent     {attempt}"));
        let request = get("counter.example", "/shows/1", &attempt, 2000, key);
        match call(host.callers, &request, ms(3000)) {
            Ok(response) => {
                record.add(&format!("answered {attempt}: {}", response.start));
                served &= response.status() == 200;
            }
            Err(error) => {
                record.add(&format!("no answer to {attempt}: {error}"));
                served = false;
            }
        }
    }
    drop(world.runs.lock());
    served
}

fn config(version: &str, service: &str, tenant: &str) -> String {
    let cluster = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":6.4}}"#
        )
    };
    let clusters = format!("{},{}", cluster("showtimes-old"), cluster("showtimes-new"));
    let tenants = format!(
        r#"{{"name":"pokhara","apiKeys":["key-of-pokhara"],"priority":0,"ratePerS":0,"burst":0,"allowedRegions":[]}}{tenant}"#
    );
    format!(
        r#"{{"version":"{version}","limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"tenants":[{tenants}],"baseVersion":"00000000","listeners":[{{"hostname":"counter.example","rules":[{{"name":"r-1","kind":"safe","targetLatency":"400ms","priority":2,"public":false,"sessionAffinity":false,"match":{{"pathPrefix":"/shows/"}},"action":{{"service":"{service}","timeout":"2000ms","maxAttempts":2,"allowedRegions":[]}}}}]}}],"clusters":[{clusters}]}}"#
    )
}
