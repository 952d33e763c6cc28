//! Input events of the router.

use std::net::IpAddr;

use super::{AttemptId, CallId};
use crate::{
    ledger::{IdempotencyKey, KeptAnswer, RequestDigest},
    prelude::*,
    quarantine::{Fingerprint, QuarantineMark, fingerprint_hex},
    selection::LoadReport,
    view::View,
};

/// How a request reached this host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Via {
    /// Directly from the caller.
    Caller,
    /// From a host that hedges a slow attempt. Served from spare slots only, and refused if it
    /// would have to wait.
    HedgeHop,
    /// From a host that does not own the binding's ledger.
    LedgerHop,
    /// From a host that asks for a slot on one of this host's targets.
    SlotHop,
}

impl Via {
    /// Whether another host of the member asks for a slot on one of this host's targets.
    pub fn requests_slot(self) -> bool {
        matches!(self, Via::HedgeHop | Via::SlotHop)
    }
}

/// A request that reached this host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Arrival {
    /// The ledger generation that may run the request, as the caller got it from a look-up.
    pub binding: Option<Binding>,
    /// Length of the body, in bytes.
    pub body_len: u64,
    /// Number of the request at this host; unlike `request`, never given by the caller.
    pub call: CallId,
    /// Address of the client that a header names, otherwise that of the connection's peer.
    pub client: IpAddr,
    /// On this host's clock.
    pub deadline: Moment,
    /// Hash of method, path and body; the ledger compares it between requests with the same key.
    pub digest: RequestDigest,
    /// Hash of member, service, method, path and body, which identifies the request in the
    /// quarantine.
    #[serde(with = "fingerprint_hex")]
    pub fingerprint: Fingerprint,
    /// The caller's idempotency key, which names the request's entry in the ledger.
    pub key: Option<IdempotencyKey>,
    /// The member that the request names, or that of this host.
    pub member: MemberId,
    /// Id that the caller gave, or a new one.
    pub request: RequestId,
    pub service: ServiceId,
    /// How the request reached this host.
    pub via: Via,
}

impl Arrival {
    /// Whether the request names a ledger entry, which knows the outcome of earlier copies. That
    /// takes both the binding and the key. A slot hop comes from the host that holds the entry and
    /// asks for this one attempt only.
    pub fn names_ledger_entry(&self) -> bool {
        self.via != Via::SlotHop && self.binding.is_some() && self.key.is_some()
    }

    /// Whether an earlier copy of the same booking may have run. With only one of binding and key,
    /// a booking is refused and no entry can be found, but a copy that had both may have run.
    pub fn may_have_run(&self) -> bool {
        self.via != Via::SlotHop && (self.binding.is_some() || self.key.is_some())
    }
}

/// How an attempt ended, as seen by this host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The target's answer is complete; `kept` holds it if the request must run at most once.
    Answered { kept: Option<Arc<KeptAnswer>>, latency: Duration, status: u16 },
    /// There is no complete answer.
    Failed {
        error: ErrorKind,
        latency: Duration,
        /// The head of the answer was already passed to the caller, so no other attempt may follow:
        /// the body cannot be resumed, unlike that of `Interrupted`.
        passed: bool,
    },
    /// The body of a whole file with a strong ETag broke off after its beginning was passed to the
    /// caller. Another target that has the same version may serve the rest.
    Interrupted { error: ErrorKind, latency: Duration },
    /// Another host refused it. `error.response().ran` says whether the request ran there.
    Refused { error: ErrorKind, latency: Duration },
}

/// One input of the router.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    Arrived(Arrival),
    /// The head of an attempt's answer has arrived and is about to be passed to the caller. The
    /// I/O layer calls `is_running` afterwards, since another attempt may have been first.
    Begun {
        attempt: AttemptId,
    },
    /// The caller has disconnected.
    Cancelled {
        call: CallId,
    },
    /// An attempt has ended.
    Ended {
        attempt: AttemptId,
        outcome: Outcome,
    },
    /// A planned stop of this host has begun.
    Leave,
    /// Peers sent quarantine marks of requests that crash targets.
    Marked {
        marks: Vec<QuarantineMark>,
    },
    /// A target reported its load.
    Reported {
        report: LoadReport,
        target: TargetId,
    },
    /// The periodic timer, which rotates the ledger, expires and serves queued requests, and hedges
    /// slow reads.
    Tick,
    /// The control thread has published a new view.
    Viewed {
        view: Arc<View>,
    },
}
