//! Sends requests to targets and says exactly what is known when one fails.
//!
//! The shell around the dispatch decision: no choice of target and no second attempt is made here.
//! A failure is `Connect` only when no byte was written, which is proof that the request did not
//! run; every failure after that leaves it open.

mod attempt;
mod connect_tracking;
mod connection_limits;
mod error;
mod head;
mod http_upstream;
mod limits;
mod response;
mod resume;
mod upstream;

pub use self::{
    attempt::Attempt,
    error::{ForwardError, Result},
    http_upstream::HttpUpstream,
    limits::ForwardLimits,
    response::{TargetBody, TargetResponse},
    resume::{FallbackTargets, FileVersion, ResumableBody, requests_whole_file},
    upstream::Upstream,
};
