//! The HTTP routes for callers and for requests that other hosts forward.

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
    incoming::{self, DEFAULT_DEADLINE, IncomingRequest},
    outgoing,
    traffic::TrafficHandler,
};
use crate::{
    ingress::{BodyMemory, RemoteAddr, read_body},
    lookup::LookupResponse,
    prelude::*,
};

/// Bodies up to this size are read even if the service allows less: a booking that is too large for
/// its service then reaches its ledger, which can answer `not run`.
const MIN_BODY_LIMIT_BYTES: u64 = 64 * 1024;

const LOOKUP_PATH: &str = "/v1/lookup";
const SERVICES_PATH: &str = "/v1/services/";

/// One request as received, without its body.
struct RawRequest {
    headers: HeaderMap,
    method: Method,
    path: String,
    query: String,
    remote: Option<SocketAddr>,
}

/// The query string of a look-up.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LookupQuery {
    client: Option<IpAddr>,
    member: Option<MemberId>,
    service: ServiceId,
}

/// All routes.
pub(super) fn routes(
    traffic: Arc<TrafficHandler>,
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
            let raw = RawRequest { headers, method, path, query, remote };
            handle(traffic.clone(), member.clone(), memory.clone(), raw, body)
        })
}

async fn handle<S, B>(
    traffic: Arc<TrafficHandler>,
    member: MemberId,
    memory: BodyMemory,
    raw: RawRequest,
    body: S,
) -> Response
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    if raw.path == LOOKUP_PATH {
        return lookup_response(&traffic, &member, &raw);
    }
    let Some(rest) = raw.path.strip_prefix(SERVICES_PATH) else {
        let detail = format!("no such path; use {LOOKUP_PATH} or {SERVICES_PATH}SERVICE/...");
        let error = traffic.error_before_ledger(ErrorKind::BadRequest, &raw.headers, &"".into());
        return refusal_response(error, &detail);
    };
    let (service, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let service: ServiceId = service.into();
    let limit = body_limit(&traffic, &service);
    let (received, time) = (traffic.now(), incoming::parse_time_limit(&raw.headers));
    // An invalid time limit is reported by `IncomingRequest::arrival`, once the body is read.
    let time = time.unwrap_or(DEFAULT_DEADLINE);
    let (body, body_memory) = match read_body(body, limit, time, &memory).await {
        Ok(read) => read,
        Err(error) => {
            let error = traffic.error_before_ledger(error, &raw.headers, &service);
            return refusal_response(error, "the body");
        }
    };
    let path = match (path, raw.query.as_str()) {
        ("", "") => "/".into(),
        (path, "") => path.into(),
        (path, query) => format!("{path}?{query}").into(),
    };
    let headers = raw.headers;
    let (method, remote) = (raw.method, raw.remote);
    let incoming =
        IncomingRequest { body, headers, body_memory, method, path, received, remote, service };
    traffic.serve(incoming).await
}

fn body_limit(traffic: &TrafficHandler, service: &ServiceId) -> u64 {
    let view = traffic.view();
    let known_service = view.as_ref().and_then(|view| view.manifest.service(service));
    known_service.map_or(MIN_BODY_LIMIT_BYTES, |service| service.max_body.max(MIN_BODY_LIMIT_BYTES))
}

fn lookup_response(traffic: &TrafficHandler, member: &MemberId, raw: &RawRequest) -> Response {
    let url = format!("http://host{LOOKUP_PATH}?{}", raw.query);
    let query = reqwest::Url::parse(&url).ok().map(|url| {
        let pairs = url.query_pairs().map(|(name, value)| (name.into(), value.into()));
        serde_json::Value::Object(pairs.collect())
    });
    let query = query.unwrap_or_default();
    let params: LookupQuery = match serde_json::from_value(query) {
        Ok(params) => params,
        Err(error) => return refusal_response(ErrorKind::BadRequest, &format!("query: {error}")),
    };
    if params.member.as_ref().is_some_and(|asked| asked != member) {
        return refusal_response(ErrorKind::OtherMember, "query: member");
    }
    let client = params.client.or(raw.remote.map(|addr| addr.ip()));
    let client = client.unwrap_or(IpAddr::V4(std::net::Ipv4Addr::LOCALHOST));
    if traffic.view().is_none() {
        return refusal_response(ErrorKind::NoManifest, "look-up");
    }
    match traffic.lookup(client, &params.service) {
        Some(lookup) => encode_lookup(&lookup),
        None => refusal_response(ErrorKind::ServiceUnknown, &params.service),
    }
}

fn encode_lookup(lookup: &LookupResponse) -> Response {
    let mut res = warp::reply::json(&LookupBody::from(lookup)).into_response();
    let age = format!("max-age={}", lookup.max_age.as_secs());
    if let Ok(age) = age.parse() {
        res.headers_mut().insert("cache-control", age);
    }
    res
}

/// The JSON body of a look-up response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LookupBody {
    /// For requests that may run at most once: binds them to the first host's ledger.
    pub binding: Binding,
    /// Region that the caller belongs to; absent if no client block holds its address.
    pub home: Option<RegionId>,
    /// Best first.
    pub hosts: Vec<LookupHost>,
    /// Seconds for which the response may be cached.
    pub max_age: u64,
    /// Sequence of the manifest that the response is based on.
    pub sequence: Sequence,
}

/// One host of a look-up response.
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

fn refusal_response(error: ErrorKind, detail: &str) -> Response {
    outgoing::error_response(error, "-", Some(detail), None)
}
