//! Results of the attempts of one request, and when a caller that is refused is to come back.

use super::{attempt::AttemptOutcome, response::CallerResponse};
use crate::prelude::*;

/// Bounds of the retry-after time sent to a refused caller. Callers with the shortest deadlines
/// still honour the upper bound.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(80);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(700);

/// Longest retry-after time if targets said when they take requests again. Most callers have left
/// by then; one that comes back earlier would be refused again.
const RETRY_AFTER_MAX_PAUSED: Duration = Duration::from_secs(5);

/// Retry-after time when it is unknown when a slot will be free.
pub(super) const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(250);

/// Results of the attempts so far.
#[derive(Default)]
pub(super) struct CallProgress {
    /// A target may have run the request.
    pub maybe_ran: bool,
    /// A target's error response, passed on if no other attempt succeeds.
    pub target_error: Option<CallerResponse>,
    /// Time until a slot is expected to be free.
    pub free_in: Option<Duration>,
    /// `free_in` is when the first target takes requests again, by what the targets said.
    pub is_paused: bool,
    /// There will be room after `free_in`, by what the owner of the targets said.
    pub is_promised: bool,
    /// Number of attempts that reached a target, or may have.
    pub sent: u32,
    /// The target whose response is passed on.
    pub target: Option<TargetId>,
    pub unreachable_targets: u32,
    pub error: Option<ErrorKind>,
    /// Another host refused the request for a reason that holds for all hosts.
    pub is_refused: bool,
    /// When the caller is to come back, by what another host said.
    pub relay_retry_after: Option<Duration>,
}

impl CallProgress {
    /// When the caller is to come back. Callers are spread out; none is told a time before the
    /// first target takes requests again.
    pub fn retry_after(&self) -> Duration {
        if let Some(retry_after) = self.relay_retry_after {
            return retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX_PAUSED);
        }
        let spread = rand::random::<f64>() / 2.0;
        let free_in = self.free_in.unwrap_or(RETRY_AFTER_DEFAULT);
        if self.is_promised {
            return free_in;
        }
        if self.is_paused {
            return free_in.mul_f64(1.0 + spread).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX_PAUSED);
        }
        free_in.mul_f64(0.75 + spread).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Whether no target was tried yet.
    pub fn is_first_attempt(&self) -> bool {
        self.sent == 0 && self.unreachable_targets == 0
    }

    /// Records the end of an attempt. Returns its response if that goes to the caller.
    pub fn record(
        &mut self,
        target: Option<&TargetId>,
        outcome: AttemptOutcome,
    ) -> Option<CallerResponse> {
        match outcome {
            AttemptOutcome::Response(response) => return Some(response),
            AttemptOutcome::TargetError(response) => {
                self.maybe_ran = true;
                self.target_error = Some(response);
                self.target = target.cloned();
            }
            AttemptOutcome::NotRun(ErrorKind::ConnectFailed) => {
                self.sent -= 1;
                self.unreachable_targets += 1;
                self.error = Some(ErrorKind::ConnectFailed);
            }
            AttemptOutcome::NotRun(kind) => self.error = Some(kind),
            AttemptOutcome::Withheld => {
                self.sent -= 1;
                self.error = Some(ErrorKind::NoSlots);
            }
            AttemptOutcome::Lost(kind) => {
                self.maybe_ran = true;
                self.error = Some(kind);
            }
        }
        None
    }
}
