//! Ledger of non-idempotent requests: runs each at most once, without coordination between hosts.
//!
//! A look-up response gives the caller a binding: host, random incarnation and generation. Only
//! the ledger of that incarnation may accept a request with that binding, and it records an entry
//! before the request is sent to a target. A resend finds the entry and never runs a second time:
//!
//! - If the host was replaced, the new process has another incarnation and rejects the binding as
//!   unknown.
//! - If the generation was dropped to bound memory, whether the request ran is unknown; the ledger
//!   never reports it as not run.
//! - If the host stopped as planned, a successor answers from the sealed ledger. It never runs a
//!   new key of an adopted binding: two successors may hold the same sealed ledger (when the first
//!   acknowledgement was lost), and each would run the key once.
//!
//! No clock and no I/O: callers pass in the time. Keys and requests are stored as digests, so all
//! entries have the same size, apart from kept answers.

mod answer_budget;
mod digest;
mod error;
mod generation;
mod history;
mod kept_answer;
#[expect(clippy::module_inception, reason = "the type that the slice is named after")]
mod ledger;
mod limits;
mod outcome;
mod sealed;
#[cfg(test)]
mod tests;

pub use self::{
    digest::{IdempotencyKey, RequestDigest, request_digest},
    error::{Error, Result},
    kept_answer::KeptAnswer,
    ledger::Ledger,
    limits::LedgerLimits,
    outcome::{BeginOutcome, ExecutionOutcome},
    sealed::{SealedLedger, SealedPart},
};
