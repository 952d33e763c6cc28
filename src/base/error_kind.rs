//! The closed set of error kinds and the response to callers for each of them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Ran;

/// Whether and how the caller may send the request again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resend {
    /// The unchanged request must not be sent again.
    Never,
    /// With the same binding and key, so that the owning host can return what its ledger has.
    Same,
    /// As a new request, after a new look-up, with the new binding and a new key. Used only where
    /// the old binding and key can never run, because an earlier copy may still be in transit and
    /// would run in addition to the new request.
    Fresh,
}

impl Resend {
    /// Returns the value of the `lavender-resend` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Resend::Never => "never",
            Resend::Same => "same",
            Resend::Fresh => "fresh",
        }
    }
}

/// What the response to the caller contains for one error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// Whether a target ran the request.
    pub ran: Ran,
    /// Whether the caller may send the request again.
    pub resend: Resend,
    /// Minimum delay before a resend; random jitter is added to it.
    pub retry_after: Option<Duration>,
    /// HTTP status.
    pub status: u16,
}

/// Every way in which a request can end without a response from the target.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    strum::IntoStaticStr,
    thiserror::Error,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ErrorKind {
    #[error("the target's answer was not whole or not for this request; ask for its state")]
    AnswerBroken,
    #[error("the request ran, but its answer was too large to keep; ask the service for its state")]
    AnswerNotKept,
    #[error("this host can't check the key now; come back after Retry-After")]
    ApiKeyUnchecked,
    #[error("no team has this key; send the key of a team")]
    ApiKeyUnknown,
    #[error("the request is malformed; correct the header or path that the detail names")]
    BadRequest,
    #[error("the host of this binding takes no new requests; look up another one")]
    BindingClosed,
    #[error("this request may not be repeated: send `lavender-binding` from a look-up")]
    BindingMissing,
    #[error("the request body is larger than this service allows; send a smaller one")]
    BodyTooLarge,
    #[error("a key or a binding without the other one; send both, as with the first copy")]
    BookingIncomplete,
    #[error("this copy was not read whole; correct the header or path that the detail names")]
    BookingMalformed,
    #[error("this host serves another member and cannot ask the ledger of this booking")]
    BookingMisdirected,
    #[error("this copy was too large to be read; whether an earlier one ran is not known here")]
    BookingTooLarge,
    #[error("traffic of this region is at its shift cap; come back after Retry-After")]
    CapReached,
    #[error("no connection to a target could be made; send it again")]
    ConnectFailed,
    #[error("the deadline passed before the request was sent to a target; send it again")]
    DeadlinePassed,
    #[error("the connection to the target was lost after the request was sent")]
    DispatchLost,
    #[error("the target did not answer in time")]
    DispatchTimeout,
    #[error("the ledger generation of this binding is gone; check before booking again")]
    GenerationDropped,
    #[error("the host holds all the request bodies that it may; come back after Retry-After")]
    HostBusy,
    #[error("the host is stopping; look up another one")]
    HostLeaving,
    #[error("the same idempotency key came with another body; use a new key")]
    KeyConflict,
    #[error("this request may not be repeated: send an `idempotency-key`")]
    KeyMissing,
    #[error("a request with this idempotency key was refused and was not run; use a new key")]
    KeyRefused,
    #[error("the ledger is full; come back after Retry-After")]
    LedgerFull,
    #[error("the request was forwarded too often; look up the hosts again")]
    LoopDetected,
    #[error("this host has no manifest yet; look up another one")]
    NoManifest,
    #[error("all slots are taken; come back after Retry-After")]
    NoSlots,
    #[error("no target can serve this now; come back after Retry-After")]
    NoTarget,
    #[error("this host serves another member")]
    OtherMember,
    #[error("the host of this binding is gone; check before booking again")]
    OwnerGone,
    #[error("the host of this binding was not reached; send it again with the same binding")]
    OwnerUnreachable,
    #[error("this request crashed targets and is refused for a time")]
    Quarantined,
    #[error("the team is at its request limit; come back after Retry-After")]
    QuotaExceeded,
    #[error("no such service in the member's manifest")]
    ServiceUnknown,
    #[error("the target shed the request; come back after Retry-After")]
    Shed,
    #[error("the answer broke off while it was being sent")]
    StreamCut,
}

impl ErrorKind {
    /// All kinds, in alphabetical order.
    pub const ALL: [ErrorKind; 36] = [
        ErrorKind::AnswerBroken,
        ErrorKind::AnswerNotKept,
        ErrorKind::ApiKeyUnchecked,
        ErrorKind::ApiKeyUnknown,
        ErrorKind::BadRequest,
        ErrorKind::BindingClosed,
        ErrorKind::BindingMissing,
        ErrorKind::BodyTooLarge,
        ErrorKind::BookingIncomplete,
        ErrorKind::BookingMalformed,
        ErrorKind::BookingMisdirected,
        ErrorKind::BookingTooLarge,
        ErrorKind::CapReached,
        ErrorKind::ConnectFailed,
        ErrorKind::DeadlinePassed,
        ErrorKind::DispatchLost,
        ErrorKind::DispatchTimeout,
        ErrorKind::GenerationDropped,
        ErrorKind::HostBusy,
        ErrorKind::HostLeaving,
        ErrorKind::KeyConflict,
        ErrorKind::KeyMissing,
        ErrorKind::KeyRefused,
        ErrorKind::LedgerFull,
        ErrorKind::LoopDetected,
        ErrorKind::NoManifest,
        ErrorKind::NoSlots,
        ErrorKind::NoTarget,
        ErrorKind::OtherMember,
        ErrorKind::OwnerGone,
        ErrorKind::OwnerUnreachable,
        ErrorKind::Quarantined,
        ErrorKind::QuotaExceeded,
        ErrorKind::ServiceUnknown,
        ErrorKind::Shed,
        ErrorKind::StreamCut,
    ];

    /// Returns what the response to the caller contains for this kind.
    pub fn response(self) -> ErrorResponse {
        use ErrorKind::*;
        use Ran::{No, Unknown, Yes};
        use Resend::{Fresh, Never, Same};
        match self {
            AnswerBroken => response(502, Unknown, Same, None),
            AnswerNotKept => response(409, Yes, Never, None),
            ApiKeyUnchecked => response(503, No, Same, Some(1)),
            ApiKeyUnknown => response(401, No, Never, None),
            BadRequest => response(400, No, Never, None),
            BindingClosed => response(503, No, Fresh, None),
            BindingMissing => response(428, No, Fresh, None),
            BodyTooLarge => response(413, No, Never, None),
            BookingIncomplete => response(428, Unknown, Same, None),
            BookingMalformed => response(400, Unknown, Same, None),
            BookingMisdirected => response(403, Unknown, Never, None),
            BookingTooLarge => response(413, Unknown, Never, None),
            CapReached => response(503, No, Same, Some(2)),
            ConnectFailed => response(502, No, Same, Some(1)),
            DeadlinePassed => response(504, No, Same, Some(1)),
            DispatchLost => response(502, Unknown, Same, None),
            DispatchTimeout => response(504, Unknown, Same, None),
            GenerationDropped => response(410, Unknown, Never, None),
            HostBusy => response(503, No, Same, Some(1)),
            HostLeaving => response(503, No, Same, None),
            KeyConflict => response(422, No, Never, None),
            KeyMissing => response(428, No, Fresh, None),
            KeyRefused => response(503, No, Fresh, Some(1)),
            LedgerFull => response(503, No, Fresh, Some(2)),
            LoopDetected => response(508, No, Same, Some(1)),
            NoManifest => response(503, No, Same, Some(1)),
            NoSlots => response(503, No, Same, Some(1)),
            NoTarget => response(503, No, Same, Some(1)),
            OtherMember => response(403, No, Never, None),
            OwnerGone => response(502, Unknown, Never, None),
            OwnerUnreachable => response(503, Unknown, Same, Some(1)),
            Quarantined => response(403, No, Never, Some(60)),
            QuotaExceeded => response(429, No, Same, Some(1)),
            ServiceUnknown => response(404, No, Never, None),
            Shed => response(503, No, Same, Some(1)),
            StreamCut => response(502, Unknown, Same, None),
        }
    }

    /// Returns the kind to answer with when this host refuses a copy of a booking before its ledger
    /// was consulted.
    ///
    /// An earlier copy may have run on another host or under an older manifest. If the response
    /// said that the request did not run, the caller would book again under a new key, and the
    /// booking would run twice. So the response of the returned kind never has `Ran::No`; only the
    /// ledger that the binding names can report that.
    pub fn before_ledger(self) -> ErrorKind {
        use ErrorKind::*;
        match self {
            BadRequest => BookingMalformed,
            BindingMissing | KeyMissing => BookingIncomplete,
            BodyTooLarge => BookingTooLarge,
            OtherMember => BookingMisdirected,
            other if other.response().ran == Ran::No => OwnerUnreachable,
            other => other,
        }
    }
}

fn response(status: u16, ran: Ran, resend: Resend, retry_secs: Option<u64>) -> ErrorResponse {
    ErrorResponse { ran, resend, retry_after: retry_secs.map(Duration::from_secs), status }
}
