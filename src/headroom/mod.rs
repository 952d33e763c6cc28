//! Whether the targets can take the load: now, after the loss of a zone or region, and after a
//! step that an operator plans.
//!
//! Pure calculation for operators; no host uses it. `metrics` and `logs` make a `Snapshot` of the
//! text that an entry host serves as metrics, or of the lines that hosts log. `loss` removes zones
//! and regions from it, `step` what an operator would remove, and `simulation` plays the move of
//! the requests between regions with the shares of `crate::placement`. What a source does not tell
//! is stated in `Snapshot::unknown`, and what the calculation leaves out in `ASSUMPTIONS`.
//!
//! Load pattern: demand that rises and falls by half within half a minute, at different times in
//! each region, and regions with a tenth of the slots that their own callers need.

mod exposition;
mod log_snapshot;
mod logs;
mod loss;
mod metrics;
mod plot;
mod render;
mod report;
mod simulation;
mod snapshot;
mod step;
#[cfg(test)]
mod tests;
mod transition;
mod trend;

pub use self::{
    logs::LogReader,
    loss::{Loss, Lost, ServiceLoad},
    metrics::{MetricsError, read_metrics},
    plot::{PlotError, plot},
    render::{render_headroom, render_rehearsal},
    report::{ASSUMPTIONS, HeadroomReport, RegionRow, RehearsalReport},
    snapshot::{Demand, ServiceCapacity, Snapshot, ZoneSlots},
    step::{Step, StepError},
    transition::{Move, ShiftBound, Transition},
    trend::{MIN_TREND_SAMPLES, TREND_SAMPLES, forecast},
};
