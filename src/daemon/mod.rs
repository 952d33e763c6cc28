//! The I/O layer of one host: sockets, timers, the control actor and the request handling. The
//! decisions themselves are made by `routing`, `membership`, `drain` and `tenure`.

mod attempt;
mod control;
mod decision_recorder;
pub mod headers;
mod host;
mod http;
mod incoming;
mod link;
mod outgoing;
mod probe;
mod start;
mod stream;
mod traffic;

pub use self::{
    decision_recorder::{DecisionRecorder, NoRecorder},
    host::{Daemon, DaemonConfig, Error, Result, StopReport},
    http::{LookupBody, LookupHost},
    incoming::{BadHeader, IncomingRequest},
    link::PeerLink,
};
