//! Long randomised runs of all decisions together, with every failure that they are made for.
//!
//! Hosts run the real machines (`routing`, `membership`, `tenure`, the manifest store) against small
//! fakes of targets, callers and the platform, in virtual time and from one seed: the same seed
//! gives the same run. A checker that sees everything holds what callers are told against what the
//! targets ran. This is a run of the decisions at their interfaces, not a simulation of a cluster:
//! there are no sockets, and a message is either delivered, late, or lost.

mod agenda;
mod callers;
mod checker;
mod control;
mod fault;
mod fixture;
mod host;
mod message;
mod requests;
mod run;
mod shrink;
mod stop;
mod target;
#[cfg(test)]
mod tests;
mod world;

pub use self::{
    checker::{Breach, Promise},
    fault::{Fault, FaultKind},
    run::{Report, SoakOptions, soak},
};
