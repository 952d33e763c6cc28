//! Request and response messages that are not defined by another module.

use crate::{
    drain::DrainId,
    ledger::SealedPart,
    manifest::{DrainScope, Part, PartId, SignedManifest},
    prelude::*,
};

/// Request without parameters.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EmptyRequest {}

/// Asks for the status of a host.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusRequest {
    /// Omits the list of live hosts. A client that asks all hosts needs the list from only one of
    /// them: from 1,700 hosts it would get 1,700 copies. An older host sends the list anyway.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub without_hosts: bool,
}

/// The signed manifest in force at a host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ManifestReply {
    /// `None` if the host has none yet. The receiver verifies the signature itself.
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
    /// `None` if the host does not have the part.
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

/// Confirms that the successor has stored a part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverAck {
    /// Whether the successor now has all parts and has taken over the incarnation's ledger.
    pub complete: bool,
    /// `SealedPart::index` of the confirmed part.
    pub index: u32,
}

/// Asks which target would be chosen for a request now, and why.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainRequest {
    /// Address of the client that would send the request.
    #[serde(default)]
    pub caller: Option<std::net::IpAddr>,
    pub service: ServiceId,
}

/// An operator's command to start a drain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainOrder {
    /// Name of the operator.
    pub by: Arc<str>,
    /// Chosen by the client, so that a resent command starts one drain only.
    pub id: DrainId,
    pub scope: DrainScope,
}

/// An operator's command to undo drains.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UndrainOrder {
    /// Name of the operator.
    pub by: Arc<str>,
    /// The drain to undo; without it, every drain of the scope.
    #[serde(default)]
    pub id: Option<DrainId>,
    pub scope: DrainScope,
}
