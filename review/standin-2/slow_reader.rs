//! A host is stopped as planned while an endpoint reads an upload slowly.

use std::{
    io::{BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::lab::{
    Fields, Folder, Host, Message, Record, Store, has_trouble, ms, own_network, read_message,
};

/// Size of an upload: the largest of the users' sheet.
const BODY_BYTES: usize = 360_000;

/// How long a slow endpoint reads nothing on, after the first bytes of a body.
const PAUSE: Duration = Duration::from_millis(3_600);

/// Time from the sending of the uploads to the planned stop.
const STOP_AFTER: Duration = Duration::from_millis(300);

const UPLOADS: usize = 6;

/// `Ok(true)` if the rule held.
pub fn run(record: &Arc<Record>) -> Result<bool, String> {
    let (folder, ip) = (Folder::new(), own_network());
    let store_addr: SocketAddr = (ip(1), 8541).into();
    let store = Store::start(store_addr);
    store.write("config/main", CONFIG, "");
    for at in 0..UPLOADS {
        start_endpoint(record, &store, ip(100 + at as u8), format!("i-{at}"));
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
    thread::sleep(ms(5000));
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|at| {
            let (record, to) = (record.clone(), hosts[0].callers);
            thread::spawn(move || upload(&record, to, at))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    hosts[0].terminate();
    record.add("SIGTERM  to the host that has the uploads");
    let responses: Vec<_> = uploads.into_iter().map(|it| it.join().unwrap()).collect();
    // An answer of an endpoint bears its seal.
    let is_whole = |it: &&Option<Message>| {
        it.as_ref().is_some_and(|it| it.header("lavenderplank-server-seal").is_some())
    };
    let whole = responses.iter().filter(is_whole).count();
    record.add(&format!("{whole} of {UPLOADS} uploads got the answer of their endpoint"));
    Ok(whole == UPLOADS)
}

fn upload(record: &Record, to: SocketAddr, at: usize) -> Option<Message> {
    let attempt = format!("upload-{at}");
    let head = format!(
        "POST /films/{at} HTTP/1.1\r\nHost: counter.example\r\nLavenderplank-Attempt-Id: {attempt}\r\nLavenderplank-Time-Remaining: 8000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(ms(9000))).ok()?;
    stream.write_all(&[head.as_bytes(), &vec![b'x'; BODY_BYTES]].concat()).ok()?;
    record.add(&format!("sent     {attempt}, whole"));
    let response = read_message(&mut BufReader::new(stream)).ok().flatten();
    let text = response.as_ref().map_or("the connection ended".to_owned(), |it| it.start.clone());
    record.add(&format!("answered {attempt}: {text}"));
    response
}

/// An endpoint that begins its work with the first bytes of a request.
fn start_endpoint(record: &Arc<Record>, store: &Arc<Store>, ip: Ipv4Addr, id: String) {
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    let addr = listener.local_addr().unwrap();
    let (store, name) = (store.clone(), id.clone());
    thread::spawn(move || {
        for sequence in 1.. {
            let info = r#"{"service":"vault","version":"v1","zone":"ktm-a","slots":3}"#;
            let spec = format!(r#"{{"address":"{addr}","info":{info}}}"#);
            let status =
                format!(r#"{{"state":"ready","sequence":{sequence},"coldRemaining":"0ms"}}"#);
            store.write(&format!("servers/{name}"), &spec, &status);
            thread::sleep(ms(1500));
        }
    });
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, id) = (record.clone(), id.clone());
            thread::spawn(move || {
                if let Err(error) = serve(&record, &id, stream) {
                    record.add(&format!("{id}: the connection ended: {error}"));
                }
            });
        }
    });
}

fn serve(record: &Record, id: &str, mut stream: TcpStream) -> std::io::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let Some(request) = read_message(&mut &*without_length(&head))? else { return Ok(()) };
        let attempt = request.header("lavenderplank-attempt-id").unwrap_or("").to_owned();
        record.add(&format!("run      {attempt} begins at {id}: {}", request.start));
        let pause = if has_trouble() { PAUSE } else { Duration::ZERO };
        let mut body = vec![0; BODY_BYTES];
        let (first, rest) = body.split_at_mut(4096);
        stream.read_exact(first)?;
        thread::sleep(pause);
        stream.read_exact(rest)?;
        // Either way the work takes the same time.
        thread::sleep(PAUSE.saturating_sub(pause));
        record.add(&format!("run      {attempt} ends at {id}: done"));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nLavenderplank-Attempt-Id: {attempt}\r\nLavenderplank-Server-Seal: {id}.{attempt}\r\nContent-Length: 2\r\n\r\nok"
        );
        stream.write_all(answer.as_bytes())?;
    }
}

/// The head, to be parsed without its body.
fn without_length(head: &[u8]) -> Vec<u8> {
    String::from_utf8_lossy(head).to_lowercase().replace("content-length", "length").into_bytes()
}

const CONFIG: &str = r#"{"version":"00000004","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"tenants":[],"baseVersion":"00000000","listeners":[{"hostname":"counter.example","rules":[{"name":"r-1","kind":"upload","targetLatency":"800ms","priority":2,"public":false,"sessionAffinity":false,"match":{"pathPrefix":"/films/"},"action":{"service":"vault","timeout":"8000ms","maxAttempts":2,"allowedRegions":[]}}]}],"clusters":[{"name":"vault","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":6.4}]}"#;
