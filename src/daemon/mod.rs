//! The shell of one host: sockets, timers, the control actor and the traffic side.

mod control;
mod daemon;
pub mod headers;
mod http;
mod incoming;
mod link;
mod outgoing;
mod probe;
mod tape;
mod traffic;

pub use self::{
    daemon::{Daemon, DaemonParts, Error, Result, StopReport},
    http::{LookupBody, LookupHost},
    incoming::{BadHeader, Incoming},
    link::PeerLink,
    tape::{NoTape, Tape},
};
