//! Resumption of an interrupted file at another target.
//!
//! The rest of the file is requested by one more attempt, which needs a retry from the budget, a
//! slot and, if shifted, room under the shift cap, and which obeys the deadline, the quarantine,
//! the drains and the limit on attempts. The slot of the interrupted attempt is released before the
//! next target is chosen.

use rand::Rng;

use super::{
    CallId, Router,
    call::{Call, Destination},
};
use crate::prelude::*;

impl Router {
    /// Requests the rest from another target, or ends the call with a truncated body.
    pub(super) fn attempt_interrupted(
        &mut self,
        call: CallId,
        destination: &Destination,
        error: ErrorKind,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        self.call_mut(call).interrupted = true;
        self.attempt_failed(call, destination, error, now, rng);
    }
}

impl Call {
    /// The error that a call ends with. If its caller has received the beginning of a file, the
    /// request did run, even if the attempts at the rest did not, and the timeline must not show
    /// `not run`.
    pub(super) fn final_error(&self, error: ErrorKind) -> ErrorKind {
        let untrue = self.interrupted && error.response().ran == Ran::No;
        if untrue { ErrorKind::StreamCut } else { error }
    }
}
