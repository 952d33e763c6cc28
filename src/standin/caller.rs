//! A small model of a caller: caches look-ups, keeps to deadlines, resends as it is told.

use std::{net::IpAddr, sync::Mutex, time::Instant};

use bytes::Bytes;
use http::HeaderMap;
use reqwest::{Client, Method};

use super::links::{CLIENT_DELAY, Links, Place};
use crate::{
    base::{Resend, root_cause},
    daemon::{LookupBody, headers},
    prelude::*,
};

/// Most times that a request is sent.
const MAX_SENDS: u32 = 6;

/// Pause before a resend that names no time.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub body: Bytes,
    pub deadline: Duration,
    /// Set for what may run at most once.
    pub key: Option<Arc<str>>,
    pub path: Arc<str>,
    pub request: RequestId,
    pub service: ServiceId,
}

/// What a caller knows in the end.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The answer's body; empty unless `ran` is `yes`.
    pub body: Bytes,
    /// The last error kind that a host named.
    pub error: Option<Arc<str>>,
    /// Keys that it was sent under, the last one last. All before it were told not run.
    pub keys: Vec<Arc<str>>,
    pub latency: Duration,
    pub ran: Ran,
    /// Name of the target that answered.
    pub served_by: Option<TargetId>,
    pub sends: u32,
    /// What came of each send, in order.
    pub trail: Vec<SendRecord>,
}

/// One send, for those that ask later why a request ended in doubt.
#[derive(Clone, Debug, Serialize)]
pub struct SendRecord {
    pub binding: Binding,
    /// From the start of the request until this send began and ended.
    pub from: Duration,
    pub host: SocketAddr,
    pub until: Duration,
    /// Error of an answer, or of the connection; absent if a target answered.
    pub what: Option<Arc<str>>,
}

/// One caller, or a group of callers behind one address.
pub struct Caller {
    cache: Mutex<BTreeMap<ServiceId, Cached>>,
    client: Client,
    /// Which of the hosts it asks first; another one for each caller.
    first: usize,
    ip: IpAddr,
    links: Arc<Links>,
    member: MemberId,
    place: Place,
    /// Hosts to ask first; changes when hosts are replaced.
    start: Arc<Mutex<Vec<SocketAddr>>>,
}

#[derive(Clone)]
struct Cached {
    body: LookupBody,
    until: Instant,
}

/// One answer, or what the lack of one proves.
enum Sent {
    Answered {
        body: Bytes,
        headers: HeaderMap,
    },
    Nothing,
    /// Something was sent and no whole answer came.
    Unsure(Arc<str>),
}

impl Sent {
    fn what(&self) -> Option<Arc<str>> {
        match self {
            Sent::Answered { headers, .. } => {
                headers.get(headers::ERROR)?.to_str().ok().map(Into::into)
            }
            Sent::Nothing => Some("nothing was sent".into()),
            Sent::Unsure(cause) => Some(cause.clone()),
        }
    }
}

impl Caller {
    /// A caller at `ip`, near `place`, that starts from the hosts in `start`.
    pub fn new(
        member: MemberId,
        ip: IpAddr,
        place: Place,
        links: Arc<Links>,
        start: Arc<Mutex<Vec<SocketAddr>>>,
    ) -> reqwest::Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(Duration::from_millis(500))
            .build()?;
        let octets = ip.to_string();
        let first = octets.bytes().map(usize::from).sum();
        Ok(Self { cache: Mutex::default(), client, first, ip, links, member, place, start })
    }

    /// The hosts for a service, from the cache or from a host.
    pub async fn look_up(&self, service: &ServiceId) -> Option<LookupBody> {
        let cached = self.cache.lock().ok()?.get(service).cloned();
        if let Some(cached) = cached.filter(|cached| Instant::now() < cached.until) {
            return Some(cached.body);
        }
        let mut hosts = self.start.lock().ok()?.clone();
        let len = hosts.len().max(1);
        hosts.rotate_left(self.first % len);
        for host in hosts {
            if let Some(body) = self.ask_host(host, service).await {
                let until = Instant::now() + Duration::from_secs(body.max_age);
                let cached = Cached { body: body.clone(), until };
                self.cache.lock().ok()?.insert(service.clone(), cached);
                return Some(body);
            }
        }
        None
    }

    /// Sends a request until it is answered or given up.
    pub async fn send(&self, ask: &Ask) -> Heard {
        let started = Instant::now();
        let mut heard = Heard {
            body: Bytes::new(),
            error: None,
            keys: ask.key.iter().cloned().collect(),
            latency: Duration::ZERO,
            ran: Ran::No,
            sends: 0,
            served_by: None,
            trail: Vec::new(),
        };
        let mut binding = None;
        let mut turn = 0;
        while heard.sends < MAX_SENDS && started.elapsed() < ask.deadline {
            let Some(lookup) = self.look_up(&ask.service).await else {
                tokio::time::sleep(RESEND_PAUSE).await;
                heard.sends += 1;
                continue;
            };
            let ranked = &lookup.hosts[turn % lookup.hosts.len()];
            let host = ranked.address;
            // Bound to the host it goes to: one that does not answer then proves that it did not
            // run, and the next host's binding may be used.
            let bound = binding.get_or_insert_with(|| ranked.binding.clone()).clone();
            heard.sends += 1;
            let left = ask.deadline.saturating_sub(started.elapsed());
            let from = started.elapsed();
            let sent = self.send_once(host, ask, heard.keys.last(), &bound, left).await;
            let (until, what) = (started.elapsed(), sent.what());
            heard.trail.push(SendRecord { binding: bound, from, host, until, what });
            match sent {
                Sent::Answered { body, headers } => {
                    let advice = take(&mut heard, &headers, body);
                    if heard.ran == Ran::Yes || advice == Resend::Never {
                        break;
                    }
                    if advice == Resend::Fresh && heard.ran == Ran::No {
                        self.forget(&ask.service);
                        binding = None;
                        // Proven not run: the caller may ask anew, under a key of its own.
                        let next = ask.key.as_ref().map(|key| format!("{key}~{}", heard.sends));
                        heard.keys.extend(next.map(Arc::from));
                    }
                    turn += 1;
                    tokio::time::sleep(pause(&headers)).await;
                }
                // With nothing sent under this binding, a new one cannot run it a second time.
                Sent::Nothing if heard.ran == Ran::No => {
                    self.forget(&ask.service);
                    binding = None;
                    turn += 1;
                    tokio::time::sleep(RESEND_PAUSE).await;
                }
                Sent::Nothing => turn += 1,
                Sent::Unsure(_) => {
                    heard.ran = Ran::Unknown;
                    turn += 1;
                    tokio::time::sleep(RESEND_PAUSE).await;
                }
            }
        }
        heard.latency = started.elapsed();
        heard
    }

    fn forget(&self, service: &ServiceId) {
        if let Ok(mut cache) = self.cache.lock() {
            cache.remove(service);
        }
    }

    async fn ask_host(&self, host: SocketAddr, service: &ServiceId) -> Option<LookupBody> {
        self.travel(host).await?;
        let url = format!(
            "http://{host}/v1/lookup?member={}&service={service}&client={}",
            self.member, self.ip
        );
        let res = self.client.get(url).timeout(Duration::from_secs(1)).send().await.ok()?;
        let body = res.error_for_status().ok()?.json().await.ok()?;
        self.travel(host).await?;
        Some(body)
    }

    async fn send_once(
        &self,
        host: SocketAddr,
        ask: &Ask,
        key: Option<&Arc<str>>,
        binding: &Binding,
        left: Duration,
    ) -> Sent {
        if self.travel(host).await.is_none() {
            return Sent::Nothing;
        }
        let url = format!("http://{host}/v1/services/{}{}", ask.service, ask.path);
        let method = if ask.key.is_some() { Method::POST } else { Method::GET };
        let millis = left.as_millis().max(1).to_string();
        let mut req = self
            .client
            .request(method, url)
            .timeout(left)
            .header(headers::MEMBER, &*self.member)
            .header(headers::REQUEST, &*ask.request)
            .header(headers::CLIENT, self.ip.to_string())
            .header(headers::DEADLINE, millis)
            .body(ask.body.clone());
        if let Some(key) = key {
            req = req.header(headers::IDEMPOTENCY_KEY, &**key);
            req = req.header(headers::BINDING, binding.to_string());
        }
        let res = match req.send().await {
            Ok(res) => res,
            Err(error) if error.is_connect() => return Sent::Nothing,
            Err(error) => return Sent::Unsure(root_cause(&error)),
        };
        let headers = res.headers().clone();
        let body = match res.bytes().await {
            Ok(body) => body,
            Err(error) => return Sent::Unsure(root_cause(&error)),
        };
        if self.travel(host).await.is_none() {
            return Sent::Unsure("the way back is cut".into());
        }
        Sent::Answered { body, headers }
    }

    /// The way between caller and host; `None` if it is cut.
    async fn travel(&self, host: SocketAddr) -> Option<()> {
        let delay = self.links.delay(&self.place, host)?;
        tokio::time::sleep(CLIENT_DELAY + delay).await;
        Some(())
    }
}

/// Takes in an answer; the result is what the host advises.
fn take(heard: &mut Heard, headers: &HeaderMap, body: Bytes) -> Resend {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let ran = match text(headers::RAN) {
        Some("no") => Ran::No,
        Some("yes") => Ran::Yes,
        _ => Ran::Unknown,
    };
    heard.error = text(headers::ERROR).map(Into::into);
    // An earlier send without an answer may still have run, unless the owner says otherwise: the
    // owner's word on the same binding and key settles both.
    heard.ran = ran;
    heard.served_by = text(super::target::SERVED_BY_HEADER).map(Into::into);
    if ran == Ran::Yes {
        heard.body = body;
    }
    match text(headers::RESEND) {
        Some("fresh") => Resend::Fresh,
        Some("same") => Resend::Same,
        _ => Resend::Never,
    }
}

fn pause(headers: &HeaderMap) -> Duration {
    let secs = headers.get(headers::RETRY_AFTER).and_then(|value| value.to_str().ok());
    let secs = secs.and_then(|text| text.parse().ok()).map(Duration::from_secs);
    secs.unwrap_or(RESEND_PAUSE)
}
