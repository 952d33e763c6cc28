//! What the cases share: a store, endpoints and clients by the platform's pages, and entry hosts.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs,
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether the disruption of the case is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, with times since its start.
pub struct Record {
    start: Instant,
    text: Mutex<String>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), text: Mutex::default() })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: &str) {
        let at = self.now();
        writeln!(self.text.lock().unwrap(), "{at:8.3} {line}").unwrap();
    }

    pub fn write(&self, path: &Path) {
        fs::write(path, &*self.text.lock().unwrap()).expect("the record can be written");
    }
}

/// A message of HTTP/1.1.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            line.clear();
            from.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(io::Error::other)?;
        message.body = vec![0; length];
        from.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn respond(to: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    to.write_all(&[head.as_bytes(), body].concat())
}

/// The platform's store.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<String, StoredObject>,
    /// Revision, key and object of each change, and whether it is a removal.
    events: Vec<(u64, String, String, bool)>,
}

#[derive(Clone, Default)]
struct StoredObject {
    /// What another writer has put in place of an object, if one has.
    odd: Option<String>,
    revision: u64,
    spec: String,
    status: String,
}

impl StoredObject {
    fn json(&self, key: &str) -> String {
        if let Some(odd) = &self.odd {
            return odd.clone();
        }
        let name = key.split_once('/').map_or(key, |(_, name)| name);
        let (revision, spec) = (self.revision, &self.spec);
        let status = if self.status.is_empty() { "null" } else { &self.status };
        format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"createdAt":1,"finalizers":[],"deletionRequested":false}},"spec":{spec},"status":{status}}}"#
        )
    }
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 1;
        let listener = TcpListener::bind(addr).expect("the store's address is free");
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator or an endpoint does. Returns when it is acknowledged.
    pub fn write(&self, key: &str, spec: &str, status: &str) {
        self.put_object(key, None, spec, status);
    }

    /// Writes an object with a text of another writer, in which REVISION stands for its revision.
    pub fn write_odd(&self, key: &str, text: &str) {
        self.put_object(key, Some(text.to_owned()), "", "");
    }

    fn put_object(&self, key: &str, odd: Option<String>, spec: &str, status: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let (revision, spec, status) = (state.revision, spec.to_owned(), status.to_owned());
        let odd = odd.map(|text| text.replace("REVISION", &revision.to_string()));
        let object = StoredObject { odd, revision, spec, status };
        let json = object.json(key);
        state.objects.insert(key.to_owned(), object);
        state.events.push((revision, key.to_owned(), json, false));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut from = BufReader::new(stream.try_clone().expect("a stream can be cloned"));
        while let Ok(Some(request)) = read_message(&mut from) {
            let (status, body) = self.answer(&request);
            let json = "Content-Type: application/json\r\n";
            if respond(&mut stream, status, json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let method = request.start.split(' ').next().unwrap_or("");
        let target = request.path().trim_start_matches("/api/objects/");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let text = String::from_utf8_lossy(&request.body).into_owned();
        match method {
            "GET" if path.contains('/') => {
                let state = self.state.lock().unwrap();
                match state.objects.get(path) {
                    Some(object) => ("200 OK", object.json(path)),
                    None => ("404 Not Found", "{}".into()),
                }
            }
            "GET" => match parameter("watch") {
                Some(from) => self.watch(path, from, parameter("waitMs").unwrap_or(1000)),
                None => ("200 OK", self.list(path)),
            },
            "POST" | "PUT" => self.put(method, path, &text),
            "DELETE" => {
                let mut state = self.state.lock().unwrap();
                match state.objects.remove(path) {
                    Some(object) => {
                        state.revision += 1;
                        let event = (state.revision, path.to_owned(), object.json(path), true);
                        state.events.push(event);
                        self.changed.notify_all();
                        ("200 OK", "{}".into())
                    }
                    None => ("404 Not Found", "{}".into()),
                }
            }
            _ => ("405 Method Not Allowed", "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().unwrap();
        let prefix = format!("{kind}/");
        let found = state.objects.iter().filter(|(key, _)| key.starts_with(&prefix));
        let items: Vec<String> = found.map(|(key, object)| object.json(key)).collect();
        let (items, revision) = (items.join(","), state.revision);
        format!(r#"{{"items":[{items}],"hasMore":false,"currentRev":{revision}}}"#)
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (&'static str, String) {
        let until = Instant::now() + ms(wait_ms);
        let prefix = format!("{kind}/");
        let mut state = self.state.lock().unwrap();
        loop {
            let news = state.events.iter().filter(|it| from < it.0 && it.1.starts_with(&prefix));
            let news: Vec<String> = news
                .map(|(_, _, object, deleted)| {
                    format!(r#"{{"deleted":{deleted},"object":{object}}}"#)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let (news, revision) = (news.join(","), state.revision);
                return ("200 OK", format!(r#"{{"events":[{news}],"currentRev":{revision}}}"#));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Creates or replaces an object of the system's own kinds.
    fn put(&self, method: &str, path: &str, text: &str) -> (&'static str, String) {
        let after = |name: &str| text.split_once(&format!("\"{name}\":")).map(|(_, rest)| rest);
        let name = after("name").and_then(|rest| rest.split('"').nth(1)).unwrap_or("");
        let spec = after("spec").and_then(|rest| rest.strip_suffix('}')).unwrap_or("null");
        let revision: Option<u64> = after("revision")
            .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok());
        let key = match method {
            "POST" => format!("{path}/{name}"),
            _ => path.to_owned(),
        };
        let known = self.state.lock().unwrap().objects.get(&key).cloned();
        match (method, known) {
            ("POST", Some(known)) => return ("409 Conflict", known.json(&key)),
            ("PUT", None) => return ("404 Not Found", "{}".into()),
            ("PUT", Some(known)) if revision.is_some_and(|it| it != known.revision) => {
                return ("409 Conflict", known.json(&key));
            }
            _ => {}
        }
        self.write(&key, spec, "");
        ("200 OK", self.state.lock().unwrap().objects[&key].json(&key))
    }
}

/// The beginning of a response, cut off in its reason phrase, where a byte is spoiled.
const SPOILED_BYTES: &[u8] = b"HTTP/1.1 421 Misdirected\xf1";

/// The next of a series of pseudo-random numbers.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// One run of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub attempt: String,
    pub endpoint: String,
}

/// What all endpoints share.
pub struct World {
    pub record: Arc<Record>,
    pub runs: Mutex<Vec<Run>>,
    pub store: Arc<Store>,
}

/// An endpoint of a service.
pub struct Endpoint {
    addr: SocketAddr,
    pub id: String,
    /// Whether it has said that it leaves.
    is_draining: AtomicBool,
    service: String,
    /// Of a thousand answers, those after which it sends bytes that are no response.
    pub spoiled_per_mille: AtomicU64,
    work_ms: u64,
    zone: String,
}

impl Endpoint {
    pub fn start(
        world: &Arc<World>,
        ip: Ipv4Addr,
        (id, service, zone): (&str, &str, &str),
        work_ms: u64,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let addr = listener.local_addr().unwrap();
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        let endpoint = Arc::new(Self {
            addr,
            id,
            is_draining: AtomicBool::new(false),
            service,
            spoiled_per_mille: AtomicU64::new(0),
            work_ms,
            zone,
        });
        let (shared, own) = (world.clone(), endpoint.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, endpoint) = (shared.clone(), own.clone());
                thread::spawn(move || endpoint.serve(&world, stream));
            }
        });
        let (world, own) = (world.clone(), endpoint.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                own.register(&world.store, sequence);
                thread::sleep(ms(1500));
            }
        });
        endpoint
    }

    /// Says that it leaves. Returns when the store has acknowledged that.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.register(store, 1_000);
    }

    fn register(&self, store: &Store, sequence: u64) {
        let Self { addr, id, service, zone, .. } = self;
        let state = if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let info = format!(r#"{{"service":"{service}","version":"v1","zone":"{zone}","slots":9}}"#);
        let spec = format!(r#"{{"address":"{addr}","info":{info}}}"#);
        let status =
            format!(r#"{{"state":"{state}","sequence":{sequence},"coldRemaining":"0ms"}}"#);
        store.write(&format!("servers/{id}"), &spec, &status);
    }

    fn serve(&self, world: &World, mut stream: TcpStream) {
        let mut from = BufReader::new(stream.try_clone().expect("a stream can be cloned"));
        let mut has_spoiled = false;
        while let Ok(Some(request)) = read_message(&mut from) {
            let mut answer = self.answer(world, &request).into_bytes();
            if std::mem::take(&mut has_spoiled) {
                world.record.add(&format!("spoiled  bytes of {} before an answer", self.id));
                answer.splice(0..0, SPOILED_BYTES.iter().copied());
            }
            if stream.write_all(&answer).is_err() {
                return;
            }
            has_spoiled = random() % 1000 < self.spoiled_per_mille.load(Ordering::Relaxed);
        }
    }

    /// Works on a request for as long as its sender waits; whether it was done in time.
    fn work(&self, left: Duration) -> bool {
        thread::sleep(left.min(ms(self.work_ms)));
        ms(self.work_ms) <= left
    }

    fn answer(&self, world: &World, request: &Message) -> String {
        let id = &self.id;
        let Some(attempt) = request.header("lavenderplank-attempt-id") else {
            return "HTTP/1.1 400 Bad Request\r\nLavenderplank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".into();
        };
        let echo = format!("Lavenderplank-Attempt-Id: {attempt}\r\n");
        if request.header("lavenderplank-expected-instance").is_some_and(|it| it != id) {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\n{echo}Lavenderplank-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let run = Run { at: world.record.now(), attempt: attempt.to_owned(), endpoint: id.clone() };
        world.record.add(&format!("run      {attempt} at {id}: {}", request.start));
        world.runs.lock().unwrap().push(run);
        let left = request.header("lavenderplank-time-remaining").and_then(|it| it.parse().ok());
        if !self.work(ms(left.unwrap_or(60_000))) {
            return format!(
                "HTTP/1.1 504 Gateway Timeout\r\n{echo}Lavenderplank-Server-Seal: {id}.{attempt}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let body = format!("{id} ran {attempt}");
        format!(
            "HTTP/1.1 200 OK\r\n{echo}Lavenderplank-Server-Seal: {id}.{attempt}\r\nLavenderplank-Server-Load: 0,0,9\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

/// An entry host: the project's program with the command of the deploy file.
pub struct Host {
    child: Child,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

/// Settings that the platform fills in, besides addresses.
#[derive(Clone, Default)]
pub struct Fields {
    pub name: String,
    pub ip: String,
    pub region: String,
    pub seeds: String,
    pub store: String,
    pub zone: String,
    /// The table of zones, as JSON.
    pub zones: String,
}

impl Fields {
    /// Fills in the template of the deploy file. Its ports for metrics and relays are fixed, so each
    /// host has an address of its own.
    fn render(&self) -> String {
        let template = fs::read_to_string("deploy/host.yaml.in").expect("the template is there");
        let ip = &self.ip;
        let quoted = |text: &str| format!("\"{text}\"");
        let values = [
            ("nodeName|json", quoted(&self.name)),
            ("zone|json", quoted(&self.zone)),
            ("region|json", quoted(&self.region)),
            ("zones|json", self.zones.clone()),
            ("seeds|json", self.seeds.clone()),
            ("provider.address|json", quoted(&self.store)),
            ("limits.cpuShare|json", "0.2".into()),
            ("listen.frontend|json", quoted(&format!("{ip}:8548"))),
            ("listen.control|json", quoted(&format!("{ip}:8544"))),
            ("listen.directory|json", quoted(&format!("{ip}:8546"))),
            ("listen.ready|json", quoted(&format!("{ip}:8542"))),
            ("ip", ip.clone()),
            ("internalPortRange.0", "7540".into()),
            ("bounds.grace|json", quoted("6s")),
            ("bounds.ttl_max|json", quoted("5s")),
            ("bounds.maxShift|json", "0.15".into()),
            ("bounds.budgetRatio|json", "0.2".into()),
            ("bounds.budgetSlack|json", "64".into()),
            ("bounds.revoke|json", quoted("5000ms")),
            ("bounds.strictRevocation|json", "false".into()),
        ];
        values
            .iter()
            .fold(template, |text, (name, value)| text.replace(&format!("{{{{{name}}}}}"), value))
    }

    pub fn write_to(&self, path: &Path) {
        fs::write(path, self.render()).expect("the settings can be written");
    }
}

impl Host {
    pub fn start(folder: &Path, fields: &Fields) -> Self {
        let settings = folder.join(format!("{}.yaml", fields.name));
        fields.write_to(&settings);
        let log = fs::File::create(folder.join(format!("{}.log", fields.name))).unwrap();
        let child = Command::new("target/release/lavenderplank")
            .arg("entry")
            .env("LAVENDERPLANK_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .expect("the program can be started");
        STARTED.lock().unwrap().push(child.id());
        let addr = |port: u16| format!("{}:{port}", fields.ip).parse().unwrap();
        Self { child, callers: addr(8548), ready: addr(8542) }
    }

    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &pid]).status().expect("kill can be run");
    }

    /// Whether the platform's own check finds the host ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        call(self.ready, request, ms(1000)).is_ok_and(|response| response.status() == 200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + ms(15_000);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(100));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

/// Sends one request on a new connection and reads its response.
pub fn call(to: SocketAddr, request: &str, timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1000))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let response = read_message(&mut BufReader::new(stream))?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// An idempotent request of a client.
pub fn get(host: &str, path: &str, attempt: &str, left_ms: u64, extra: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nLavenderplank-Attempt-Id: {attempt}\r\nLavenderplank-Time-Remaining: {left_ms}\r\n{extra}\r\n"
    )
}

/// A loopback address for this run that other runs are unlikely to use.
pub fn own_network() -> impl Fn(u8) -> Ipv4Addr {
    let pid = std::process::id();
    let (b, c) = (64 + (pid / 256 % 128) as u8, (pid % 256) as u8);
    move |last| Ipv4Addr::new(127, b, c, last)
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let path = std::env::temp_dir().join(format!("review-{}-{since}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder can be made");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Processes that this run has started and not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends a run that takes too long: the case could not run.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the run took too long");
        for pid in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
        std::process::exit(2);
    });
}
