//! Recording of the decisions for replay.

use crate::{
    ledger::SealedLedger,
    prelude::*,
    routing::{Action, Event},
    trace::SteerTrack,
};

/// Takes down what the decisions were told and what they ordered.
pub trait DecisionRecorder: Send + Sync {
    /// Whether anything is taken down; if not, events need not be cloned.
    fn is_enabled(&self) -> bool;

    /// Takes down that a sealed ledger was taken over, or why not.
    fn record_adopted(
        &self,
        now: Moment,
        sealed: &SealedLedger,
        result: &crate::ledger::Result<()>,
    );

    /// Takes down one event and what it led to.
    fn record_event(&self, now: Moment, event: &Event, actions: &[Action]);

    /// Takes down that the own ledger was sealed.
    fn record_sealed(&self, now: Moment, sealed: &SealedLedger);
}

/// Takes nothing down.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoRecorder;

impl DecisionRecorder for NoRecorder {
    fn is_enabled(&self) -> bool {
        false
    }

    fn record_adopted(
        &self,
        _now: Moment,
        _sealed: &SealedLedger,
        _result: &crate::ledger::Result<()>,
    ) {
    }

    fn record_event(&self, _now: Moment, _event: &Event, _actions: &[Action]) {}

    fn record_sealed(&self, _now: Moment, _sealed: &SealedLedger) {}
}

impl DecisionRecorder for SteerTrack {
    fn is_enabled(&self) -> bool {
        true
    }

    fn record_adopted(
        &self,
        now: Moment,
        sealed: &SealedLedger,
        result: &crate::ledger::Result<()>,
    ) {
        SteerTrack::adopted(self, now, sealed, result);
    }

    fn record_event(&self, now: Moment, event: &Event, actions: &[Action]) {
        SteerTrack::event(self, now, event, actions);
    }

    fn record_sealed(&self, now: Moment, sealed: &SealedLedger) {
        SteerTrack::sealed(self, now, sealed);
    }
}
