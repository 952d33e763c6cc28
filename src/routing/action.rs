//! Actions that the router asks the I/O layer to carry out.

use super::{AttemptId, CallId, Via};
use crate::{ledger::KeptAnswer, prelude::*, timeline::EventKind};

/// The final answer to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "answer")]
pub enum Answer {
    Error {
        error: ErrorKind,
        retry_after: Option<Duration>,
    },
    /// The stored answer of an earlier request with the same binding and key.
    Kept {
        kept: Arc<KeptAnswer>,
    },
    /// The answer of the attempt that has just ended, passed on to the caller.
    Pass,
}

/// One action for the I/O layer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum Action {
    Answer {
        answer: Answer,
        call: CallId,
    },
    Cancel {
        attempt: AttemptId,
    },
    Dispatch {
        address: SocketAddr,
        attempt: AttemptId,
        call: CallId,
        target: TargetId,
        timeout: Duration,
    },
    Forward {
        address: SocketAddr,
        attempt: AttemptId,
        call: CallId,
        host: HostId,
        timeout: Duration,
        via: Via,
    },
    /// Add an event to the timeline.
    Note {
        kind: EventKind,
        request: Option<RequestId>,
    },
}
