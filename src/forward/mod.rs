//! Sends requests to targets and says exactly what is known when one fails.
//!
//! The shell around the dispatch decision: no choice of target and no second attempt is made here.
//! A failure is `Connect` only when no byte was written, which is proof that the request did not
//! run; every failure after that leaves it open.

mod attempt;
mod connect_note;
mod failure;
mod gates;
mod head;
mod http_upstream;
mod limits;
mod reply;
mod resume;
mod upstream;

pub use self::{
    attempt::Attempt,
    failure::{Failure, Result},
    http_upstream::HttpUpstream,
    limits::ForwardLimits,
    reply::{Reply, ReplyBody},
    resume::{Alternatives, Edition, ResumedBody, asks_for_whole},
    upstream::Upstream,
};
