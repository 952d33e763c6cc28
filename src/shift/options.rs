//! Safeguards that measurements and tests can disable one by one.

use crate::prelude::*;

/// Which safeguards of the shift limiter are enabled.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShiftOptions {
    /// Enforces the caps.
    pub caps: bool,
    /// Pauses the ramp after it has backed off, longer each time.
    pub pause: bool,
    /// Increases shifts gradually.
    pub ramp: bool,
}

impl Default for ShiftOptions {
    fn default() -> Self {
        Self { caps: true, pause: true, ramp: true }
    }
}
