//! The shell of one host: sockets, timers, the control actor and the traffic side.

mod control;
pub mod headers;
mod host;
mod http;
mod incoming;
mod link;
mod order;
mod outgoing;
mod probe;
mod start;
mod stream;
mod tape;
mod traffic;

pub use self::{
    host::{Daemon, DaemonParts, Error, Result, StopReport},
    http::{LookupBody, LookupHost},
    incoming::{BadHeader, Incoming},
    link::PeerLink,
    tape::{NoTape, Tape},
};
