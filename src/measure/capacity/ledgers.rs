//! The ledger of requests that may run at most once.

use std::hint::black_box;

use super::{
    figure::{Figure, Load, Resource, RoleCost, Scale},
    gauge::{cost_ns, thread_time},
};
use crate::{
    ledger::{
        BeginOutcome, ExecutionOutcome, IdempotencyKey, KeptAnswer, Ledger, LedgerLimits,
        request_digest,
    },
    prelude::*,
};

const SIZES: [usize; 4] = [25_000, 50_000, 100_000, 200_000];

/// Bytes of a booking's answer, made up.
pub const ANSWER: usize = 200;

pub fn measure(scale: Scale) -> RoleCost {
    let limits = LedgerLimits::default();
    let sizes = SIZES.map(|size| scale.size(size));
    let mut ledgers = Vec::new();
    let entry =
        Figure::sweep("entry begun and ended", "ns", "entries", sizes, limits.entries, |size| {
            let start = thread_time();
            ledgers.push(filled(size, None));
            (thread_time() - start).as_nanos() as f64 / size as f64
        });
    let mut filled = ledgers.into_iter();
    let resend = Figure::sweep("resend answered", "ns", "entries", sizes, limits.entries, |size| {
        filled.next().map_or(0.0, |ledger| resend_cost(ledger, size))
    });
    RoleCost {
        figures: vec![entry, resend],
        loads: Vec::new(),
        mechanism: "the binding names the one ledger; generations are dropped whole",
        messages: "none of its own; a hand-over at a planned stop",
        role: "ledger",
        state: "key and body digests, how each request ended, answers within a byte limit",
    }
}

/// Most memory of the own ledger.
pub fn bounded(entries: &Figure, answers: &Figure) -> Load {
    let limits = LedgerLimits::default();
    let full = (entries.value + limits.answer_bytes as f64).max(answers.value);
    let (count, megabytes) = (limits.entries, limits.answer_bytes >> 20);
    let how = format!("bounded: {count} entries and {megabytes} MB of answers, at any traffic");
    Load::measured(Resource::Memory, full, how)
}

/// Most memory of ledgers taken over.
pub fn adopted(entries: &Figure) -> Load {
    let limits = LedgerLimits::default();
    let most = entries.value * limits.adopted_entries as f64 / limits.entries as f64;
    let how = format!("ledgers taken over: bounded by {} entries", limits.adopted_entries);
    Load::worked_out(Resource::Memory, most, how)
}

fn key(index: usize) -> IdempotencyKey {
    format!("01890a5d-ac96-774b-bcce-{index:012x}").into()
}

/// A ledger of that many entries, with answers of that many bytes or without.
pub fn filled(size: usize, answer: Option<usize>) -> Ledger {
    let limits = LedgerLimits::default();
    let mut ledger = Ledger::new("host-0000".into(), 7, limits);
    let binding = ledger.binding();
    let digest = request_digest("POST", "/seats", b"{}");
    let request: RequestId = "request".into();
    for index in 0..size {
        let key = key(index);
        let begun = ledger.begin(&binding, &key, digest, &request, Moment::ZERO);
        if begun != BeginOutcome::Accepted {
            break;
        }
        let end = answer.map_or(ExecutionOutcome::Unknown, |len| {
            ExecutionOutcome::Answered(Arc::new(KeptAnswer {
                body: vec![b'x'; len].into(),
                headers: Vec::new(),
                status: 200,
            }))
        });
        ledger.end(&binding, &key, end, Moment::ZERO);
    }
    ledger
}

fn resend_cost(mut ledger: Ledger, size: usize) -> f64 {
    let binding = ledger.binding();
    let digest = request_digest("POST", "/seats", b"{}");
    let request: RequestId = "request".into();
    let mut index = 0;
    cost_ns(|| {
        index = (index + 7_919) % size;
        black_box(ledger.begin(&binding, &key(index), digest, &request, Moment::ZERO));
    })
}
