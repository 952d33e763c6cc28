//! Recorded runs of the decisions, and their replay.
//!
//! A trace is a file of JSON lines. The first line is the header; then come, in order of time,
//! `start` lines (one for each machine, with its seed and initial state), `step` lines (an input
//! and the actions it led to), `outcome` lines (what must be true of the whole run), and one `end`
//! line that counts the steps, so that a file that was cut off is noticed.

mod outcome;
mod reader;
mod record;
mod replay;
pub mod scenario;
mod steer_machine;
mod steer_recorder;
#[cfg(test)]
mod tests;
mod writer;

pub use self::{
    outcome::{Outcome, Told, Untrue, untrue},
    reader::{MAX_LINE, TraceError, read},
    record::{End, FORMAT, Header, Record, Start, Step, Trace, VERSION},
    replay::{Machine, Mismatch, PANICKED, Replayed, replay},
    steer_machine::{Input, Output, Setup, SteerMachine, SteerTrace},
    steer_recorder::{SteerRecorder, SteerTrack},
    writer::Writer,
};
