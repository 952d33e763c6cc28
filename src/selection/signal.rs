//! What the selector learns about targets.

use crate::prelude::*;

/// How a dispatched request ended, as far as the target's condition goes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HealthSignal {
    /// It was given up before it ended, through no fault of the target.
    Cancelled,
    /// No whole answer: connection lost, timeout, broken answer.
    Failed,
    /// The target refused it for want of capacity.
    Shed,
    /// A whole answer.
    Succeeded,
}

/// What a target's load endpoint said.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: u32,
    /// The target retires: no new work.
    pub draining: bool,
    /// Slots that it has in all; 0 when it does not say.
    pub slots: u32,
}
