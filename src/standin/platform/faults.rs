//! What goes wrong on demand.

use crate::prelude::*;

/// Whether calls are answered at all.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// Calls wait until their caller gives up.
    Hang,
    #[default]
    None,
    /// Calls are refused at once.
    Refuse,
}

/// Faults of one door; the default is none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time before each call is looked at, in milliseconds.
    pub delay_ms: u64,
    /// Time before a write under `hosts/` shows, in milliseconds: the host list lags.
    pub hosts_lag_ms: u64,
    /// So many of the next writes take effect, and their answers are lost.
    pub lose_answers: u32,
    pub outage: Outage,
    /// Most reads a second; 0 for any number.
    pub reads_per_second: u32,
    /// Watches stay open and never tell anything.
    pub silent_watch: bool,
    /// Most writes a second; 0 for any number.
    pub writes_per_second: u32,
}
