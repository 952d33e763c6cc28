//! An interrupted file goes on from another target, or ends.
//!
//! The rest is one more attempt: it takes a retry out of the budget and a slot, asks the shift cap,
//! and keeps to the time limit, the quarantine, the drains and the number of attempts. The slot of
//! the attempt that broke off is free again before the next one is chosen.

use rand::Rng;

use super::{
    CallId, Router,
    call::{Call, Place},
};
use crate::prelude::*;

impl Router {
    /// Another attempt for the rest, or the end of a body that stays short.
    pub(super) fn interrupted(
        &mut self,
        call: CallId,
        place: &Place,
        error: ErrorKind,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        self.state(call).interrupted = true;
        self.failed(call, place, error, now, rng);
    }
}

impl Call {
    /// What a call ends with. One whose caller has the beginning of a file did run, whatever became
    /// of the attempts at the rest: `not run` on the time line would be untrue.
    pub(super) fn final_error(&self, error: ErrorKind) -> ErrorKind {
        let untrue = self.interrupted && error.row().ran == Ran::No;
        if untrue { ErrorKind::StreamCut } else { error }
    }
}
