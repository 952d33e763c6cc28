//! What the slots of targets were used for, counted from the logs of all hosts.
//!
//! A host's log shows what the host believed; only the logs of all hosts together show how many
//! requests ran at a target. `Logs` brings their lines into the order of time, `steps` joins the
//! events of each request, `count` replays them, and `Report` sums up by service and window.

mod count;
mod host_clock;
mod line;
mod logs;
mod names;
mod plot;
mod report;
mod steps;
mod targets;
#[cfg(test)]
mod tests;
mod text;
mod window;

pub use self::{
    count::Placed,
    logs::{LogSummary, Logs},
    plot::{PlotError, draw},
    report::{AnswerTimes, Figures, Report, ServiceFigures, WindowFigures},
    steps::JoinSummary,
    window::{Counts, WINDOW},
};
