//! A received request and its conversion to an `Arrival`.

use std::net::{IpAddr, Ipv4Addr};

use bytes::Bytes;
use http::{HeaderMap, Method};

use super::headers;
use crate::{
    base::HeaderLine,
    ingress::BodyReservation,
    ledger::request_digest,
    prelude::*,
    quarantine::{Fingerprint, QuarantineMark, fingerprint},
    routing::{Arrival, CallId, Via},
    settings::Secret,
};

/// Time limit of a request without a deadline header.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Longest time limit; longer ones are shortened to it.
const MAX_DEADLINE: Duration = Duration::from_secs(120);

/// Longest value of a header that is read here.
const MAX_VALUE_BYTES: usize = 128;

/// A header that cannot be read, and what it should hold.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("header `{header}` must be {expected}")]
pub struct BadHeader {
    pub expected: &'static str,
    pub header: &'static str,
}

/// Result of reading the head of a request.
pub type Result<T> = std::result::Result<T, BadHeader>;

/// One request for a service whose body has been read completely.
#[derive(Debug)]
pub struct IncomingRequest {
    pub body: Bytes,
    pub headers: HeaderMap,
    /// Reserves the memory that the body takes.
    pub body_memory: BodyReservation,
    pub method: Method,
    /// Path and query behind the service's name, with the leading slash.
    pub path: Arc<str>,
    /// When the head was received; the deadline includes the time to read the body.
    pub received: Moment,
    pub remote: Option<SocketAddr>,
    pub service: ServiceId,
}

impl IncomingRequest {
    /// Parses the headers into what the router needs to know of the request.
    pub fn arrival(&self, call: CallId, member: &MemberId, key: &Secret) -> Result<Arrival> {
        let via = parse_via(&self.headers, key)?;
        let method = self.method.as_str();
        let asked = self.text(headers::MEMBER)?.unwrap_or_else(|| member.clone());
        Ok(Arrival {
            binding: self.binding()?,
            body_len: self.body.len() as u64,
            call,
            client: self.client()?,
            deadline: self.received + parse_time_limit(&self.headers)?,
            digest: request_digest(method, &self.path, &self.body),
            fingerprint: fingerprint(&asked, &self.service, method, &self.path, &self.body),
            key: self.text(headers::IDEMPOTENCY_KEY)?,
            member: asked,
            request: self.request_id()?,
            service: self.service.clone(),
            via,
        })
    }

    /// The headers that a target receives: all but those of this protocol and hop-by-hop ones.
    pub fn forwarded_headers(&self) -> Vec<HeaderLine> {
        let names = self.headers.iter().filter(|(name, _)| {
            !name.as_str().starts_with(headers::PREFIX) && !is_hop_by_hop(name.as_str())
        });
        names.filter_map(|(name, value)| header_line(name.as_str(), value)).collect()
    }

    /// The headers of this protocol that are passed to another host as the caller sent them.
    pub fn hop_headers(&self) -> Vec<HeaderLine> {
        let kept = [headers::BINDING, headers::CLIENT, headers::MEMBER];
        let lines = kept.iter().filter_map(|name| header_line(name, self.headers.get(*name)?));
        lines.collect()
    }

    /// The quarantine mark that the forwarding host attached to this request.
    pub fn quarantine_mark(&self, fingerprint: Fingerprint) -> Option<QuarantineMark> {
        let text = self.headers.get(headers::MARK)?.to_str().ok()?;
        decode_mark(text, fingerprint)
    }

    /// The caller's address: the one that a gateway names, or else that of the connection.
    pub fn client(&self) -> Result<IpAddr> {
        let invalid = BadHeader { expected: "an IP address", header: headers::CLIENT };
        match self.text(headers::CLIENT)? {
            Some(text) => text.parse().map_err(|_| invalid),
            None => Ok(self.remote.map_or(IpAddr::V4(Ipv4Addr::LOCALHOST), |addr| addr.ip())),
        }
    }

    /// The id that the caller gave, or a new one.
    pub fn request_id(&self) -> Result<RequestId> {
        let given = self.text(headers::REQUEST)?;
        Ok(given.unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string().into()))
    }

    fn binding(&self) -> Result<Option<Binding>> {
        let invalid = BadHeader { expected: "a binding from a look-up", header: headers::BINDING };
        self.text(headers::BINDING)?
            .map(|text| text.parse().map_err(|_| invalid.clone()))
            .transpose()
    }

    fn text(&self, header: &'static str) -> Result<Option<Arc<str>>> {
        header_text(&self.headers, header)
    }
}

/// Decodes a quarantine mark; `None` if it is for another request. Marks of other requests travel
/// in exchanges only.
pub fn decode_mark(text: &str, fingerprint: Fingerprint) -> Option<QuarantineMark> {
    let mark: QuarantineMark = serde_json::from_str(text).ok()?;
    (mark.fingerprint == fingerprint).then_some(mark)
}

/// The value of the `lavender-mark` header.
pub fn encode_mark(mark: &QuarantineMark) -> String {
    serde_json::to_string(mark).unwrap_or_default()
}

/// Time limit that the caller sets, counted from the receipt of the head.
pub fn parse_time_limit(headers: &HeaderMap) -> Result<Duration> {
    let invalid = BadHeader { expected: "whole milliseconds above 0", header: headers::DEADLINE };
    let Some(text) = header_text(headers, headers::DEADLINE)? else { return Ok(DEFAULT_DEADLINE) };
    let millis: u64 = text.parse().map_err(|_| invalid.clone())?;
    if millis == 0 {
        return Err(invalid);
    }
    Ok(Duration::from_millis(millis).min(MAX_DEADLINE))
}

/// Whether a request may be a copy of a booking that has run, judged by its headers alone. A slot
/// hop does not count: it comes from the host that holds the booking's ledger entry and requests a
/// single attempt.
pub fn may_have_run(headers: &HeaderMap, key: &Secret) -> bool {
    let is_attempt = matches!(parse_via(headers, key), Ok(Via::SlotHop));
    let named = [headers::BINDING, headers::IDEMPOTENCY_KEY];
    !is_attempt && named.into_iter().any(|name| headers.contains_key(name))
}

/// Accepts a hop only with the member's secret: a caller that poses as a host could bypass the
/// ledger and run a booking twice.
fn parse_via(headers: &HeaderMap, key: &Secret) -> Result<Via> {
    let Some(hop) = header_text(headers, headers::VIA)? else { return Ok(Via::Caller) };
    let proof = header_text(headers, headers::PEER_AUTH)?.unwrap_or_else(|| "".into());
    if Secret::new(&proof) != *key {
        return Err(BadHeader { expected: "the member's secret", header: headers::PEER_AUTH });
    }
    match &*hop {
        "ledger-hop" => Ok(Via::LedgerHop),
        "hedge-hop" => Ok(Via::HedgeHop),
        "slot-hop" => Ok(Via::SlotHop),
        _ => Err(BadHeader { expected: "ledger-hop or slot-hop", header: headers::VIA }),
    }
}

fn header_text(headers: &HeaderMap, header: &'static str) -> Result<Option<Arc<str>>> {
    let expected = "1 to 128 visible ASCII characters, given once";
    let invalid = BadHeader { expected, header };
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().map_err(|_| invalid.clone())?;
    if values.next().is_some() || text.is_empty() || MAX_VALUE_BYTES < text.len() {
        return Err(invalid);
    }
    Ok(Some(text.into()))
}

/// The value of the `lavender-via` header.
pub fn via_value(via: Via) -> &'static str {
    match via {
        Via::Caller => "caller",
        Via::LedgerHop => "ledger-hop",
        Via::HedgeHop => "hedge-hop",
        Via::SlotHop => "slot-hop",
    }
}

fn header_line(name: &str, value: &http::HeaderValue) -> Option<HeaderLine> {
    let name = http::HeaderName::from_bytes(name.as_bytes()).ok()?;
    Some(HeaderLine::from_http(&name, value))
}

fn is_hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "content-length"
            | "expect"
            | "host"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
}
