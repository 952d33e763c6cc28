//! Records the router's inputs and decisions for replay.

use crate::{
    ledger::SealedLedger,
    prelude::*,
    routing::{Action, Event},
    trace::SteerTrack,
};

/// Records the inputs of the router and the actions that it returned.
pub trait DecisionRecorder: Send + Sync {
    /// Whether anything is recorded; if not, events need not be cloned.
    fn is_enabled(&self) -> bool;

    /// Records that a sealed ledger was adopted, or why not.
    fn record_adopted(
        &self,
        now: Moment,
        sealed: &SealedLedger,
        result: &crate::ledger::Result<()>,
    );

    /// Records one event and the actions that followed.
    fn record_event(&self, now: Moment, event: &Event, actions: &[Action]);

    /// Records that this host's ledger was sealed.
    fn record_sealed(&self, now: Moment, sealed: &SealedLedger);
}

/// Records nothing.
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
