//! Request and response of a look-up.

use std::net::IpAddr;

use crate::prelude::*;

/// Asks for the hosts of a service, ranked for a client address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookupRequest {
    pub client: IpAddr,
    pub service: ServiceId,
}

/// Hosts in the order in which the caller should try them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LookupResponse {
    /// The binding of the first host, for non-idempotent requests.
    pub binding: Binding,
    pub hosts: Vec<RankedHost>,
    /// The caller's home region; `None` if no client block contains its address.
    pub home: Option<RegionId>,
    /// How long the caller may cache this response.
    pub max_age: Duration,
    /// Sequence of the manifest that the response is based on.
    pub sequence: Sequence,
}

/// One host of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RankedHost {
    pub address: SocketAddr,
    pub binding: Binding,
    pub host: HostId,
    pub region: RegionId,
    pub zone: ZoneId,
}
