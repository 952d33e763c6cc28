//! Recording of the decisions for replay.

use crate::{
    prelude::*,
    steer::{Action, Event},
};

/// Takes down what the decisions were told and what they ordered.
pub trait Tape: Send + Sync {
    /// Whether anything is taken down; if not, events need not be cloned.
    fn is_on(&self) -> bool;

    /// Takes down one step.
    fn record(&self, now: Moment, event: &Event, actions: &[Action]);
}

/// Takes nothing down.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoTape;

impl Tape for NoTape {
    fn is_on(&self) -> bool {
        false
    }

    fn record(&self, _now: Moment, _event: &Event, _actions: &[Action]) {}
}
