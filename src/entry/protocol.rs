//! The border to the platform's own spellings: headers, paths and stored objects.

use std::collections::BTreeSet;

use bytes::Bytes;
use http::{HeaderMap, StatusCode, Uri};

use super::{CallerKey, Declaration, TargetEntry};
use crate::prelude::*;

/// Result of reading a stored object.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// Why a stored object could not be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub Arc<str>);

/// What a caller says beside its request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerMetadata {
    /// The caller's id of this attempt.
    pub attempt_id: Option<RequestId>,
    /// The key that identifies the caller's team.
    pub key: CallerKey,
    /// The object that the request is about.
    pub object: Option<Arc<str>>,
    /// Time that the caller will wait.
    pub time_left: Option<Duration>,
}

/// What a target says beside its answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyMetadata {
    /// Id of the attempt that it answers.
    pub attempt_id: Option<RequestId>,
    /// Time that the target stays cold.
    pub cold_for: Option<Duration>,
    /// Running and waiting requests.
    pub load: Option<(u32, u32)>,
    /// The target did not run the request.
    pub not_run: bool,
    /// The answer bears the target's signature.
    pub signed: bool,
    /// The address belongs to another target.
    pub wrong_target: bool,
}

/// Where a caller that looks hosts up is.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLocation {
    pub region: RegionId,
    pub zone: ZoneId,
}

/// Prefixes of keys in the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct StorePrefixes {
    /// The one object of the declaration.
    pub declared: &'static str,
    pub evacuations: &'static str,
    pub hosts: &'static str,
    pub targets: &'static str,
}

/// Reads and writes what the platform spells.
pub trait Protocol: Send + Sync {
    /// What the caller says.
    fn caller_metadata(&self, headers: &HeaderMap) -> CallerMetadata;

    /// What the target says.
    fn reply_metadata(&self, status: StatusCode, headers: &HeaderMap) -> ReplyMetadata;

    /// Marks a request for one target, which has `left` to answer. Removes the caller's key, and
    /// replaces any team name that the caller sent by `team`.
    fn add_target_headers(
        &self,
        headers: &mut HeaderMap,
        target: &TargetId,
        team: Option<&TeamId>,
        left: Duration,
    );

    /// Marks an answer of the host's own.
    fn add_own_response_headers(&self, headers: &mut HeaderMap, note: &CallerMetadata);

    /// The place that a look-up names; `None` if the request is none.
    fn parse_lookup(&self, uri: &Uri) -> Option<CallerLocation>;

    /// The answer to a look-up.
    fn encode_lookup_response(&self, callers: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Whether a request asks for readiness.
    fn is_readiness_request(&self, uri: &Uri) -> bool;

    /// Keys in the store.
    fn store_prefixes(&self) -> StorePrefixes;

    /// Reads the declaration, with keys as in the store or with digests in place of them.
    fn decode_declaration(&self, object: &[u8]) -> Result<Declaration>;

    /// Replaces keys in the declaration's object by digests, for hosts to keep and exchange.
    fn replace_keys_by_digests(&self, object: Bytes) -> Result<Bytes>;

    /// Reads one target's entry.
    fn decode_target(&self, id: &str, object: &[u8]) -> Result<TargetEntry>;

    /// Zones to be emptied, of the names of their objects.
    fn evacuated_zones(&self, names: &[Arc<str>]) -> BTreeSet<ZoneId> {
        names.iter().cloned().collect()
    }

    /// Writes what other hosts read of this one.
    fn encode_host(&self, gossip: SocketAddr) -> Bytes;

    /// Reads another host's gossip address.
    fn decode_host(&self, object: &[u8]) -> Result<SocketAddr>;
}
