//! The HTTP server for callers and for requests that other hosts carry on.

use std::net::IpAddr;

use bytes::Buf;
use futures::Stream;
use http::{HeaderMap, Method};
use warp::{
    Filter,
    filters::path::FullPath,
    reply::{Reply as _, Response},
};

use super::{
    incoming::{self, DEFAULT_DEADLINE, Incoming},
    outgoing,
    traffic::Traffic,
};
use crate::{
    ingress::{BodyMemory, RemoteAddr, read_body},
    lookup::LookupResponse,
    prelude::*,
};

/// Largest body that is read whatever the service takes, in bytes: a booking that is too large for
/// its service goes to its ledger, which can say `not run`.
const ANY_BODY: u64 = 64 * 1024;

const LOOKUP_PATH: &str = "/v1/lookup";
const SERVICES_PATH: &str = "/v1/services/";

/// One request as the server hands it over.
struct Raw {
    headers: HeaderMap,
    method: Method,
    path: String,
    query: String,
    remote: Option<SocketAddr>,
}

/// What a look-up is asked with, in the query string.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LookupQuery {
    client: Option<IpAddr>,
    member: Option<MemberId>,
    service: ServiceId,
}

/// All routes.
pub(super) fn routes(
    traffic: Arc<Traffic>,
    member: MemberId,
    memory: BodyMemory,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync + 'static {
    let query =
        warp::query::raw().or_else(|_| async { Ok::<_, warp::Rejection>((String::new(),)) });
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::ext::optional::<RemoteAddr>())
        .and(warp::body::stream())
        .then(move |method, path: FullPath, query, headers, remote: Option<RemoteAddr>, body| {
            let path = path.as_str().to_owned();
            let remote = remote.map(|RemoteAddr(address)| address);
            let raw = Raw { headers, method, path, query, remote };
            answer(traffic.clone(), member.clone(), memory.clone(), raw, body)
        })
}

async fn answer<S, B>(
    traffic: Arc<Traffic>,
    member: MemberId,
    memory: BodyMemory,
    raw: Raw,
    body: S,
) -> Response
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    if raw.path == LOOKUP_PATH {
        return look_up(&traffic, &member, &raw);
    }
    let Some(rest) = raw.path.strip_prefix(SERVICES_PATH) else {
        let detail = format!("no such path; use {LOOKUP_PATH} or {SERVICES_PATH}SERVICE/...");
        let error = traffic.before_ledger(ErrorKind::BadRequest, &raw.headers, &"".into());
        return refuse(error, &detail);
    };
    let (service, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let service: ServiceId = service.into();
    let limit = body_limit(&traffic, &service);
    let (received, time) = (traffic.now(), incoming::time_limit(&raw.headers));
    // A limit that cannot be read is refused with its name, once the request is whole.
    let time = time.unwrap_or(DEFAULT_DEADLINE);
    let (body, hold) = match read_body(body, limit, time, &memory).await {
        Ok(read) => read,
        Err(error) => {
            let error = traffic.before_ledger(error, &raw.headers, &service);
            return refuse(error, "the body");
        }
    };
    let path = match (path, raw.query.as_str()) {
        ("", "") => "/".into(),
        (path, "") => path.into(),
        (path, query) => format!("{path}?{query}").into(),
    };
    let headers = raw.headers;
    let (method, remote) = (raw.method, raw.remote);
    let incoming = Incoming { body, headers, hold, method, path, received, remote, service };
    traffic.serve(incoming).await
}

fn body_limit(traffic: &Traffic, service: &ServiceId) -> u64 {
    let view = traffic.view();
    let known = view.as_ref().and_then(|view| view.manifest.service(service));
    known.map_or(ANY_BODY, |service| service.max_body.max(ANY_BODY))
}

fn look_up(traffic: &Traffic, member: &MemberId, raw: &Raw) -> Response {
    let url = format!("http://host{LOOKUP_PATH}?{}", raw.query);
    let query = reqwest::Url::parse(&url).ok().map(|url| {
        let pairs = url.query_pairs().map(|(name, value)| (name.into(), value.into()));
        serde_json::Value::Object(pairs.collect())
    });
    let query = query.unwrap_or_default();
    let ask: LookupQuery = match serde_json::from_value(query) {
        Ok(ask) => ask,
        Err(error) => return refuse(ErrorKind::BadRequest, &format!("query: {error}")),
    };
    if ask.member.as_ref().is_some_and(|asked| asked != member) {
        return refuse(ErrorKind::OtherMember, "query: member");
    }
    let client = ask.client.or(raw.remote.map(|addr| addr.ip()));
    let client = client.unwrap_or(IpAddr::V4(std::net::Ipv4Addr::LOCALHOST));
    if traffic.view().is_none() {
        return refuse(ErrorKind::NoManifest, "look-up");
    }
    match traffic.look_up(client, &ask.service) {
        Some(lookup) => found(&lookup),
        None => refuse(ErrorKind::ServiceUnknown, &ask.service),
    }
}

fn found(lookup: &LookupResponse) -> Response {
    let mut res = warp::reply::json(&LookupBody::from(lookup)).into_response();
    let age = format!("max-age={}", lookup.max_age.as_secs());
    if let Ok(age) = age.parse() {
        res.headers_mut().insert("cache-control", age);
    }
    res
}

/// The JSON of a look-up's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LookupBody {
    /// For requests that may run at most once: binds them to the first host's ledger.
    pub binding: Binding,
    /// Region that the caller belongs to; absent if no client block holds its address.
    pub home: Option<RegionId>,
    /// Best first.
    pub hosts: Vec<LookupHost>,
    /// Seconds that the answer may be kept.
    pub max_age: u64,
    /// Sequence of the manifest that it follows from.
    pub sequence: Sequence,
}

/// One host of a look-up's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LookupHost {
    pub address: SocketAddr,
    pub binding: Binding,
    pub host: HostId,
    pub region: RegionId,
    pub zone: ZoneId,
}

impl From<&LookupResponse> for LookupBody {
    fn from(lookup: &LookupResponse) -> Self {
        let hosts = lookup.hosts.iter().map(|host| LookupHost {
            address: host.address,
            binding: host.binding.clone(),
            host: host.host.clone(),
            region: host.region.clone(),
            zone: host.zone.clone(),
        });
        Self {
            binding: lookup.binding.clone(),
            home: lookup.home.clone(),
            hosts: hosts.collect(),
            max_age: lookup.max_age.as_secs(),
            sequence: lookup.sequence,
        }
    }
}

fn refuse(error: ErrorKind, detail: &str) -> Response {
    outgoing::error(error, "-", Some(detail), None)
}
