//! Safeguards that measurements and tests turn off one by one.

use crate::prelude::*;

/// Which safeguards of the shift caps are on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShiftOptions {
    /// Shifts stay under the cap.
    pub caps: bool,
    /// A ramp that backed off waits, longer each time.
    pub pause: bool,
    /// Shifts start small and grow.
    pub ramp: bool,
}

impl Default for ShiftOptions {
    fn default() -> Self {
        Self { caps: true, pause: true, ramp: true }
    }
}
