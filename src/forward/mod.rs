//! Sends requests to targets and reports, for each failure, whether the request may have run.
//!
//! This module only performs the I/O: it neither selects targets nor retries. An error is
//! `ConnectFailed` only if no byte was written, which proves that the request did not run. After a
//! later error the request may have run, unless the target shed it.

mod attempt;
mod body_stream;
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
