//! Implements `Protocol` for the platform: requests, responses and stored objects.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode, Uri};
use serde_json::value::RawValue;

use super::{config, headers, keys, server};
use crate::{
    base::duration_text,
    entry::{
        CallerLocation, CallerMetadata, Declaration, DecodeError, Protocol, ReplyMetadata,
        StorePrefixes, TargetEntry,
    },
    prelude::*,
};

/// Path of a lookup; its query names the host, region and zone.
const RESOLVE_PATH: &str = "/api/resolve";

/// Path of a readiness request.
const READY_PATH: &str = "/api/ready";

/// Prefixes of the keys in the store. Only `hosts` and `learned` are specific to this project; the
/// platform defines the others.
const STORE_PREFIXES: StorePrefixes = StorePrefixes {
    declaration: "config/main",
    declared: "config/",
    evacuations: "evacuations/",
    hosts: "lavenderplank-hosts/",
    learned: "lavenderplank-learned/",
    targets: "servers/",
};

/// The platform's protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformProtocol;

#[derive(Serialize)]
struct ResolveResponse<'a> {
    addresses: &'a [SocketAddr],
    ttl: String,
}

#[derive(Deserialize, Serialize)]
struct HostObject {
    spec: HostSpec,
}

#[derive(Deserialize, Serialize)]
struct HostSpec {
    gossip: SocketAddr,
}

#[derive(Deserialize)]
struct WrittenObject<'a> {
    #[serde(borrow)]
    spec: &'a RawValue,
}

impl Protocol for PlatformProtocol {
    fn caller_metadata(&self, headers: &HeaderMap) -> CallerMetadata {
        headers::caller_metadata(headers)
    }

    fn reply_metadata(&self, status: StatusCode, headers: &HeaderMap) -> ReplyMetadata {
        headers::reply_metadata(status, headers)
    }

    fn unknown_reply_headers<'a>(&self, headers: &'a HeaderMap) -> Vec<&'a HeaderName> {
        headers::unknown_reply_headers(headers)
    }

    fn add_target_headers(
        &self,
        headers: &mut HeaderMap,
        target: &TargetId,
        team: Option<&TeamId>,
        time_left: Duration,
    ) {
        headers::add_target_headers(headers, target, team, time_left);
    }

    fn set_time_left(&self, headers: &mut HeaderMap, left: Duration) {
        headers::set_time_left(headers, left);
    }

    fn add_own_response_headers(&self, headers: &mut HeaderMap, caller: &CallerMetadata) {
        headers::add_own_response_headers(headers, caller);
    }

    fn parse_lookup(&self, uri: &Uri) -> Option<CallerLocation> {
        if uri.path() != RESOLVE_PATH {
            return None;
        }
        let value = |name: &str| {
            let mut pairs = uri.query().unwrap_or_default().split('&');
            pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).unwrap_or_default()
        };
        Some(CallerLocation { region: value("region").into(), zone: value("zone").into() })
    }

    fn encode_lookup_response(&self, callers: &[SocketAddr], ttl: Duration) -> Bytes {
        let response = ResolveResponse { addresses: callers, ttl: duration_text::format(ttl) };
        serde_json::to_vec(&response).expect("addresses and a text can be encoded").into()
    }

    fn is_readiness_request(&self, uri: &Uri) -> bool {
        uri.path() == READY_PATH
    }

    fn store_prefixes(&self) -> StorePrefixes {
        STORE_PREFIXES
    }

    fn decode_declaration(&self, object: &[u8]) -> Result<Declaration, DecodeError> {
        config::decode(object)
    }

    fn replace_keys_by_digests(&self, object: Bytes) -> Result<Bytes, DecodeError> {
        keys::replace_by_digests(object)
    }

    fn decode_target(&self, id: &str, object: &[u8]) -> Result<TargetEntry, DecodeError> {
        server::decode(id, object)
    }

    fn encode_host(&self, gossip: SocketAddr) -> Bytes {
        let spec = HostSpec { gossip };
        serde_json::to_vec(&spec).expect("an address can be encoded").into()
    }

    fn decode_host(&self, object: &[u8]) -> Result<SocketAddr, DecodeError> {
        let host: HostObject = serde_json::from_slice(object)
            .map_err(|error| DecodeError(error.to_string().into()))?;
        Ok(host.spec.gossip)
    }

    fn written_value(&self, object: &[u8]) -> Result<Bytes, DecodeError> {
        let object: WrittenObject<'_> = serde_json::from_slice(object)
            .map_err(|error| DecodeError(error.to_string().into()))?;
        Ok(Bytes::copy_from_slice(object.spec.get().as_bytes()))
    }
}
