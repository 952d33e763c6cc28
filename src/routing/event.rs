//! What the decisions are told.

use std::net::IpAddr;

use super::{AttemptId, CallId};
use crate::{
    ledger::{BodyDigest, KeptAnswer, Key},
    prelude::*,
    quarantine::{Fingerprint, Mark, hex_text},
    selection::LoadReport,
    view::View,
};

/// How a request reached this host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Via {
    /// From the caller itself.
    Caller,
    /// From a host that wants a second attempt beside a slow one: served out of spare slots only,
    /// at once or not at all.
    HedgeHop,
    /// From a host that was not the owner of the binding.
    LedgerHop,
    /// From a host that wants one of this host's targets to serve it.
    SlotHop,
}

impl Via {
    /// Whether a host of the member sent it here for one of this host's targets.
    pub fn requests_slot(self) -> bool {
        matches!(self, Via::HedgeHop | Via::SlotHop)
    }
}

/// A request that reached this host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Arrival {
    pub binding: Option<Binding>,
    pub body_len: u64,
    pub call: CallId,
    pub client: IpAddr,
    /// By this host's clock.
    pub deadline: Moment,
    pub digest: BodyDigest,
    #[serde(with = "hex_text")]
    pub fingerprint: Fingerprint,
    pub key: Option<Key>,
    pub member: MemberId,
    pub request: RequestId,
    pub service: ServiceId,
    pub via: Via,
}

impl Arrival {
    /// Whether it names an entry of a ledger, which can say what became of earlier copies. A slot
    /// hop comes from the holder of that entry and asks for this one attempt.
    pub fn names_ledger_entry(&self) -> bool {
        self.via != Via::SlotHop && self.binding.is_some() && self.key.is_some()
    }

    /// Whether an earlier copy of the same booking may have run.
    pub fn may_have_run(&self) -> bool {
        self.via != Via::SlotHop && (self.binding.is_some() || self.key.is_some())
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// With the target's whole answer; `kept` holds it where the request must run at most once.
    Answered { kept: Option<Arc<KeptAnswer>>, latency: Duration, status: u16 },
    /// Without one.
    Failed {
        error: ErrorKind,
        latency: Duration,
        /// The head of the answer has gone to the caller: no other attempt may follow.
        passed: bool,
    },
    /// Without the end of a streamed body whose beginning has gone to the caller. Another target may
    /// go on with the rest.
    Interrupted { error: ErrorKind, latency: Duration },
    /// Another host refused it; its word on whether the request ran is the error's row.
    Refused { error: ErrorKind, latency: Duration },
}

/// One input of the decisions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    Arrived(Arrival),
    /// The head of an attempt's answer is there and is about to go to the caller. The shell asks
    /// `is_running` afterwards: another attempt may have begun first.
    Begun {
        attempt: AttemptId,
    },
    /// The caller is gone.
    Cancelled {
        call: CallId,
    },
    Ended {
        attempt: AttemptId,
        outcome: Outcome,
    },
    /// A planned stop has begun.
    Leave,
    /// Peers told of requests that crash targets.
    Marked {
        marks: Vec<Mark>,
    },
    /// A target's own word on its load.
    Reported {
        report: LoadReport,
        target: TargetId,
    },
    Tick,
    Viewed {
        view: Arc<View>,
    },
}
