//! Runs a request that may not be repeated at most once, without asking anybody else.
//!
//! A look-up gives the caller a binding: host, random incarnation, generation. Only the ledger of
//! that incarnation may let a request of that binding run, and it writes the entry before the
//! request is sent. A resend finds the entry, and so never runs a second time:
//!
//! - the host was replaced: another incarnation, so the resend is a stranger there;
//! - the generation was dropped to bound memory: what it held is unknown, never "not run";
//! - the host stopped as planned: the sealed ledger answers at a successor, which never lets a
//!   new key of an adopted binding run. Two successors may hold the same sealed ledger (the first
//!   acknowledgement was lost), and would each let the key run once.
//!
//! Pure: no clock, no I/O. Keys and bodies are held as digests, so that an entry has a fixed size.

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
