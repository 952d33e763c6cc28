//! Messages that no other slice owns.

use crate::{
    drain::DrainId,
    ledger::SealedPart,
    manifest::{DrainScope, Part, PartId, SignedManifest},
    prelude::*,
};

/// An empty message.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EmptyRequest {}

/// Asks what a host knows and does.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusRequest {
    /// Leaves out the live hosts that it knows. Who asks all hosts needs that list from one of them:
    /// from 1,700 it would be 1,700 times the fleet. An older host sends it all the same.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub without_hosts: bool,
}

/// The signed manifest in force at a host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ManifestReply {
    /// `None` if the host has none yet. The receiver checks the signature for itself.
    #[serde(default)]
    pub signed: Option<SignedManifest>,
}

/// Asks for one part of a manifest's client blocks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartRequest {
    pub id: PartId,
}

/// One part of a manifest's client blocks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReply {
    /// `None` if the host does not hold it.
    #[serde(default)]
    pub part: Option<Part>,
}

/// One part of a stopping host's sealed ledger.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverChunk {
    /// Host that is stopping.
    pub from: HostId,
    pub incarnation: Incarnation,
    pub part: SealedPart,
}

/// The successor holds this part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverAck {
    /// Whether the successor now holds all parts and answers for the incarnation.
    pub complete: bool,
    /// `SealedPart::index` of the part.
    pub index: u32,
}

/// Where would this go now, and why.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainRequest {
    /// Address of the caller.
    #[serde(default)]
    pub caller: Option<std::net::IpAddr>,
    pub service: ServiceId,
}

/// An operator's order to drain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainOrder {
    /// Who orders it.
    pub by: Arc<str>,
    /// Chosen by the client, so that an order sent twice is one drain.
    pub id: DrainId,
    pub scope: DrainScope,
}

/// An operator's order to take a drain back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UndrainOrder {
    pub by: Arc<str>,
    /// The drain to take back; without it, whatever drains the scope.
    #[serde(default)]
    pub id: Option<DrainId>,
    pub scope: DrainScope,
}
