//! What is measured against what.

use crate::{
    prelude::*,
    routing::RouterTuning,
    selection::{Policy, SelectorOptions},
    shift::ShiftOptions,
};

/// One way of deciding; all run the same machine under the same load.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize, clap::ValueEnum,
)]
#[serde(rename_all = "kebab-case")]
pub enum Contender {
    /// As the member weighs it, with every safeguard.
    Chosen,
    LeastInFlight,
    /// As chosen, without shift caps.
    NoCaps,
    /// As chosen, without second attempts at slow reads.
    NoHedges,
    /// As chosen, without ramps for cold targets and shifts.
    NoRamps,
    Random,
    ReportedLoad,
    RoundRobin,
    TwoChoices,
}

impl Contender {
    /// Every contender, the chosen policy first.
    pub const ALL: [Contender; 9] = [
        Contender::Chosen,
        Contender::RoundRobin,
        Contender::Random,
        Contender::NoCaps,
        Contender::NoHedges,
        Contender::NoRamps,
        Contender::LeastInFlight,
        Contender::TwoChoices,
        Contender::ReportedLoad,
    ];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Contender::Chosen => "chosen",
            Contender::LeastInFlight => "least in flight",
            Contender::NoCaps => "no caps",
            Contender::NoHedges => "no hedges",
            Contender::NoRamps => "no ramps",
            Contender::Random => "random",
            Contender::ReportedLoad => "reported load",
            Contender::RoundRobin => "round robin",
            Contender::TwoChoices => "two choices",
        }
    }

    pub(super) fn tuning(self) -> RouterTuning {
        let policy = match self {
            Contender::Chosen | Contender::NoCaps | Contender::NoHedges | Contender::NoRamps => {
                None
            }
            Contender::LeastInFlight => Some(Policy::LeastInFlight),
            Contender::Random => Some(Policy::Random),
            Contender::ReportedLoad => Some(Policy::ReportedLoad),
            Contender::RoundRobin => Some(Policy::RoundRobin),
            Contender::TwoChoices => Some(Policy::TwoChoices),
        };
        let ramp = self != Contender::NoRamps;
        let caps = self != Contender::NoCaps;
        RouterTuning {
            hedge: self != Contender::NoHedges,
            policy,
            selection: SelectorOptions { ramp, ..SelectorOptions::default() },
            shift: ShiftOptions { caps, ramp, ..ShiftOptions::default() },
        }
    }
}
