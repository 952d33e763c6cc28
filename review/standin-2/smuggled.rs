//! A client that hides a request in the body of another one, behind a slow request.

use std::{
    io::{BufReader, Write},
    net::TcpStream,
    sync::Arc,
    thread,
};

use crate::lab::{
    Endpoint, Fields, Folder, Host, Record, Store, World, get, has_trouble, ms, own_network,
    read_message,
};

const CONNECTIONS: usize = 5;

/// `Ok(true)` if the rule held.
pub fn run(record: &Arc<Record>) -> Result<bool, String> {
    let (folder, ip) = (Folder::new(), own_network());
    let store_addr = (ip(1), 8541).into();
    let store = Store::start(store_addr);
    let world =
        Arc::new(World { record: record.clone(), runs: Default::default(), store: store.clone() });
    store.write("config/main", CONFIG, "");
    for (at, zone) in ["ktm-a", "ktm-b", "ktm-a", "ktm-b"].into_iter().enumerate() {
        let id = format!("i-{at}");
        Endpoint::start(&world, ip(100 + at as u8), (&id, "showtimes", zone), 360);
    }
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
    for at in 0..CONNECTIONS {
        converse(record, &hosts[at % 2], at).map_err(|error| error.to_string())?;
    }
    thread::sleep(ms(1000));
    let runs = world.runs.lock().unwrap();
    if !runs.iter().any(|run| run.attempt.starts_with("first-")) {
        return Err("no request was served".into());
    }
    Ok(!runs.iter().any(|run| run.attempt.starts_with("hidden-")))
}

/// Sends a request, and behind it one with a body that looks like a third request.
fn converse(record: &Record, host: &Host, at: usize) -> std::io::Result<()> {
    let hidden = get("counter.example", "/shows/hidden", &format!("hidden-{at}"), 2000, "");
    let lengths = match has_trouble() {
        true => format!("Content-Length: 0\r\nContent-Length: {}\r\n", hidden.len()),
        false => format!("Content-Length: {}\r\n", hidden.len()),
    };
    let first = get("counter.example", "/shows/1", &format!("first-{at}"), 2000, "");
    let outer = get("counter.example", "/shows/2", &format!("outer-{at}"), 2000, &lengths);
    let mut stream = TcpStream::connect(host.callers)?;
    stream.set_read_timeout(Some(ms(3000)))?;
    record.add(&format!(
        "sent     first-{at}, and behind it outer-{at} with hidden-{at} in its body"
    ));
    stream.write_all(format!("{first}{outer}{hidden}").as_bytes())?;
    let mut from = BufReader::new(stream);
    while let Ok(Some(response)) = read_message(&mut from) {
        let attempt = response.header("lavenderplank-attempt-id").unwrap_or("no id");
        record.add(&format!("answered {attempt}: {}", response.start));
        if attempt.starts_with("outer-") {
            break;
        }
    }
    Ok(())
}

const CONFIG: &str = r#"{"version":"00000004","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"tenants":[],"baseVersion":"00000000","listeners":[{"hostname":"counter.example","rules":[{"name":"r-1","kind":"safe","targetLatency":"400ms","priority":2,"public":false,"sessionAffinity":false,"match":{"pathPrefix":"/shows/"},"action":{"service":"showtimes","timeout":"2000ms","maxAttempts":2,"allowedRegions":[]}}]}],"clusters":[{"name":"showtimes","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":6.4}]}"#;
