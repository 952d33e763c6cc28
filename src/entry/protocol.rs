//! Interface to the platform's formats: headers, paths and stored objects.

use std::collections::BTreeSet;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode, Uri};

use super::{CallerKey, Declaration, StorePart, TargetEntry};
use crate::{placement::TargetStatement, prelude::*};

/// Result of decoding a stored object.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// Why a stored object could not be decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub Arc<str>);

/// Metadata of a request, from its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerMetadata {
    /// The caller's id of this attempt.
    pub attempt_id: Option<RequestId>,
    /// The key that identifies the caller's team.
    pub key: CallerKey,
    /// The object that the request is about.
    pub object: Option<Arc<str>>,
    /// Time for which the caller will still wait.
    pub time_left: Option<Duration>,
}

/// Metadata of a target's response, from its status and headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyMetadata {
    /// Id of the attempt that the response belongs to.
    pub attempt_id: Option<RequestId>,
    /// Time for which the target stays cold.
    pub cold_for: Option<Duration>,
    /// Numbers of running and of waiting requests at the target.
    pub load: Option<(u32, u32)>,
    /// The target did not run the request.
    pub not_run: bool,
    /// The response carries the target's signature.
    pub signed: bool,
    /// What the response states of its target.
    pub statement: TargetStatement,
    /// The address belongs to another target.
    pub wrong_target: bool,
}

/// Location of a caller that looks up hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLocation {
    pub region: RegionId,
    pub zone: ZoneId,
}

/// Key prefixes of the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct StorePrefixes {
    /// Key of the declaration.
    pub declaration: &'static str,
    /// Prefix of the declaration, which is a single object.
    pub declared: &'static str,
    pub evacuations: &'static str,
    pub hosts: &'static str,
    /// Prefix of what hosts learned; one object for each region.
    pub learned: &'static str,
    pub targets: &'static str,
}

impl StorePrefixes {
    /// The prefix of the keys of one part.
    pub fn of(&self, part: StorePart) -> &'static str {
        match part {
            StorePart::Declared => self.declared,
            StorePart::Evacuations => self.evacuations,
            StorePart::Targets => self.targets,
        }
    }
}

/// Decodes and encodes the platform's formats.
pub trait Protocol: Send + Sync {
    /// Reads the metadata of a request.
    fn caller_metadata(&self, headers: &HeaderMap) -> CallerMetadata;

    /// Reads the metadata of a target's response.
    fn reply_metadata(&self, status: StatusCode, headers: &HeaderMap) -> ReplyMetadata;

    /// Headers of a target's response that the platform defines but this adapter does not know.
    fn unknown_reply_headers<'a>(&self, headers: &'a HeaderMap) -> Vec<&'a HeaderName>;

    /// Adds the headers of a request to one target, which has the time `left` to answer. Removes
    /// the caller's key, and replaces any team name that the caller sent by `team`.
    fn add_target_headers(
        &self,
        headers: &mut HeaderMap,
        target: &TargetId,
        team: Option<&TeamId>,
        left: Duration,
    );

    /// Sets the time that the caller still waits, in a request to another host.
    fn set_time_left(&self, headers: &mut HeaderMap, left: Duration);

    /// Adds the headers of a response that the host generates itself.
    fn add_own_response_headers(&self, headers: &mut HeaderMap, note: &CallerMetadata);

    /// The caller's location in a look-up; `None` if the request is not a look-up.
    fn parse_lookup(&self, uri: &Uri) -> Option<CallerLocation>;

    /// Encodes the response to a look-up.
    fn encode_lookup_response(&self, callers: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Whether a request is a readiness probe.
    fn is_readiness_request(&self, uri: &Uri) -> bool;

    /// Key prefixes in the store.
    fn store_prefixes(&self) -> StorePrefixes;

    /// Decodes the declaration, which contains either callers' keys or their digests.
    fn decode_declaration(&self, object: &[u8]) -> Result<Declaration>;

    /// Replaces the keys in the object of the declaration by digests. Hosts keep and exchange only
    /// the result.
    fn replace_keys_by_digests(&self, object: Bytes) -> Result<Bytes>;

    /// Decodes the entry of one target.
    fn decode_target(&self, id: &str, object: &[u8]) -> Result<TargetEntry>;

    /// The evacuated zones, from the names of the objects of evacuations.
    fn evacuated_zones(&self, names: &[Arc<str>]) -> BTreeSet<ZoneId> {
        names.iter().cloned().collect()
    }

    /// Encodes the record by which other hosts find this host.
    fn encode_host(&self, gossip: SocketAddr) -> Bytes;

    /// Decodes the gossip address in the record of another host.
    fn decode_host(&self, object: &[u8]) -> Result<SocketAddr>;

    /// The JSON value that a host wrote, from the object that the store returns for it.
    fn written_value(&self, object: &[u8]) -> Result<Bytes>;
}
