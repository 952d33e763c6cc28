//! Recording of the decisions for replay.

use crate::{
    ledger::SealedLedger,
    prelude::*,
    routing::{Action, Event},
    trace::SteerTrack,
};

/// Takes down what the decisions were told and what they ordered.
pub trait Tape: Send + Sync {
    /// Whether anything is taken down; if not, events need not be cloned.
    fn is_on(&self) -> bool;

    /// Takes down that a sealed ledger was taken over, or why not.
    fn adopted(&self, now: Moment, sealed: &SealedLedger, result: &crate::ledger::Result<()>);

    /// Takes down one event and what it led to.
    fn event(&self, now: Moment, event: &Event, actions: &[Action]);

    /// Takes down that the own ledger was sealed.
    fn sealed(&self, now: Moment, sealed: &SealedLedger);
}

/// Takes nothing down.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoTape;

impl Tape for NoTape {
    fn is_on(&self) -> bool {
        false
    }

    fn adopted(&self, _now: Moment, _sealed: &SealedLedger, _result: &crate::ledger::Result<()>) {}

    fn event(&self, _now: Moment, _event: &Event, _actions: &[Action]) {}

    fn sealed(&self, _now: Moment, _sealed: &SealedLedger) {}
}

impl Tape for SteerTrack {
    fn is_on(&self) -> bool {
        true
    }

    fn adopted(&self, now: Moment, sealed: &SealedLedger, result: &crate::ledger::Result<()>) {
        SteerTrack::adopted(self, now, sealed, result);
    }

    fn event(&self, now: Moment, event: &Event, actions: &[Action]) {
        SteerTrack::event(self, now, event, actions);
    }

    fn sealed(&self, now: Moment, sealed: &SealedLedger) {
        SteerTrack::sealed(self, now, sealed);
    }
}
