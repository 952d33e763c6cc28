//! The border for requests and objects.

use bytes::Bytes;
use http::{HeaderMap, StatusCode, Uri};

use super::{config, headers, key_digests, server};
use crate::{
    base::duration_text,
    entry::{
        CallerLocation, CallerMetadata, Declaration, DecodeError, Protocol, ReplyMetadata,
        StorePrefixes, TargetEntry,
    },
    prelude::*,
};

/// Path of a look-up; its query names host, region and zone.
const RESOLVE: &str = "/api/resolve";

/// Path of a question for readiness.
const READY: &str = "/api/ready";

/// Keys in the store. The hosts' kind is the product's own.
const KEYS: StorePrefixes = StorePrefixes {
    declared: "config/",
    evacuations: "evacuations/",
    hosts: "lavenderplank-hosts/",
    targets: "servers/",
};

/// The platform's protocol of everything.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformProtocol;

#[derive(Serialize)]
struct Found<'a> {
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

impl Protocol for PlatformProtocol {
    fn caller_metadata(&self, headers: &HeaderMap) -> CallerMetadata {
        headers::caller(headers)
    }

    fn reply_metadata(&self, status: StatusCode, headers: &HeaderMap) -> ReplyMetadata {
        headers::reply(status, headers)
    }

    fn add_target_headers(
        &self,
        headers: &mut HeaderMap,
        target: &TargetId,
        team: Option<&TeamId>,
        left: Duration,
    ) {
        headers::mark(headers, target, team, left);
    }

    fn add_own_response_headers(&self, headers: &mut HeaderMap, note: &CallerMetadata) {
        headers::mark_own(headers, note);
    }

    fn parse_lookup(&self, uri: &Uri) -> Option<CallerLocation> {
        if uri.path() != RESOLVE {
            return None;
        }
        let value = |name: &str| {
            let mut pairs = uri.query().unwrap_or_default().split('&');
            pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).unwrap_or_default()
        };
        Some(CallerLocation { region: value("region").into(), zone: value("zone").into() })
    }

    fn encode_lookup_response(&self, callers: &[SocketAddr], ttl: Duration) -> Bytes {
        let found = Found { addresses: callers, ttl: duration_text::format(ttl) };
        serde_json::to_vec(&found).expect("addresses and a text can be encoded").into()
    }

    fn is_readiness_request(&self, uri: &Uri) -> bool {
        uri.path() == READY
    }

    fn store_prefixes(&self) -> StorePrefixes {
        KEYS
    }

    fn decode_declaration(&self, object: &[u8]) -> Result<Declaration, DecodeError> {
        config::read(object)
    }

    fn replace_keys_by_digests(&self, object: Bytes) -> Result<Bytes, DecodeError> {
        key_digests::replace_by_digests(object)
    }

    fn decode_target(&self, id: &str, object: &[u8]) -> Result<TargetEntry, DecodeError> {
        server::read(id, object)
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
}
