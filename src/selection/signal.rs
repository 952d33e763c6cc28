//! Inputs to the health of a target.

use crate::prelude::*;

/// How a dispatched request ended, as far as it affects the target's health.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HealthSignal {
    /// Cancelled before it ended, through no fault of the target.
    Cancelled,
    /// No complete answer: connection lost, timeout or broken answer.
    Failed,
    /// Refused by the target for lack of capacity.
    Shed,
    /// Answered completely.
    Succeeded,
}

/// Response of a target's load endpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: u32,
    /// The target is shutting down and takes no new requests.
    pub draining: bool,
    /// Total number of slots; 0 if the target does not report it.
    pub slots: u32,
}
