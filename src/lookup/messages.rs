//! The question and the answer of a look-up.

use std::net::IpAddr;

use crate::prelude::*;

/// A caller's question.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookupRequest {
    pub client: IpAddr,
    pub service: ServiceId,
}

/// The answer: hosts in the order in which the caller should try them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LookupResponse {
    /// For requests that must not be repeated: the binding of the first host.
    pub binding: Binding,
    pub hosts: Vec<RankedHost>,
    /// The caller's home region; `None` when no client block holds its address.
    pub home: Option<RegionId>,
    /// How long the caller may keep this answer.
    pub max_age: Duration,
    /// The manifest that the answer follows.
    pub sequence: Sequence,
}

/// One host of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RankedHost {
    pub address: SocketAddr,
    pub binding: Binding,
    pub host: HostId,
    pub region: RegionId,
    pub zone: ZoneId,
}
