//! The border for requests and objects.

use bytes::Bytes;
use http::{HeaderMap, StatusCode, Uri};

use super::{config, headers, keys, server};
use crate::{
    base::span_text,
    entry::{
        CallerNote, Declared, LookupPlace, Protocol, ReplyNote, StoreKeys, TargetEntry, Unreadable,
    },
    prelude::*,
};

/// Path of a look-up; its query names host, region and zone.
const RESOLVE: &str = "/api/resolve";

/// Path of a question for readiness.
const READY: &str = "/api/ready";

/// Keys in the store. The hosts' kind is the product's own.
const KEYS: StoreKeys = StoreKeys {
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
    fn caller(&self, headers: &HeaderMap) -> CallerNote {
        headers::caller(headers)
    }

    fn reply(&self, status: StatusCode, headers: &HeaderMap) -> ReplyNote {
        headers::reply(status, headers)
    }

    fn mark(
        &self,
        headers: &mut HeaderMap,
        target: &TargetId,
        team: Option<&TeamId>,
        left: Duration,
    ) {
        headers::mark(headers, target, team, left);
    }

    fn mark_own(&self, headers: &mut HeaderMap, note: &CallerNote) {
        headers::mark_own(headers, note);
    }

    fn lookup(&self, uri: &Uri) -> Option<LookupPlace> {
        if uri.path() != RESOLVE {
            return None;
        }
        let value = |name: &str| {
            let mut pairs = uri.query().unwrap_or_default().split('&');
            pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).unwrap_or_default()
        };
        Some(LookupPlace { region: value("region").into(), zone: value("zone").into() })
    }

    fn found(&self, callers: &[SocketAddr], ttl: Duration) -> Bytes {
        let found = Found { addresses: callers, ttl: span_text::format(ttl) };
        serde_json::to_vec(&found).expect("addresses and a text can be encoded").into()
    }

    fn asks_ready(&self, uri: &Uri) -> bool {
        uri.path() == READY
    }

    fn keys(&self) -> StoreKeys {
        KEYS
    }

    fn declared(&self, object: &[u8]) -> Result<Declared, Unreadable> {
        config::read(object)
    }

    fn without_keys(&self, object: Bytes) -> Result<Bytes, Unreadable> {
        keys::without_keys(object)
    }

    fn target(&self, id: &str, object: &[u8]) -> Result<TargetEntry, Unreadable> {
        server::read(id, object)
    }

    fn host_object(&self, gossip: SocketAddr) -> Bytes {
        let spec = HostSpec { gossip };
        serde_json::to_vec(&spec).expect("an address can be encoded").into()
    }

    fn host(&self, object: &[u8]) -> Result<SocketAddr, Unreadable> {
        let host: HostObject =
            serde_json::from_slice(object).map_err(|error| Unreadable(error.to_string().into()))?;
        Ok(host.spec.gossip)
    }
}
