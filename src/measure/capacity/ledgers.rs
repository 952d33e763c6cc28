//! The ledger of requests that may run at most once.

use std::hint::black_box;

use super::{
    figure::{Figure, Load, Resource, RoleCost, Scale},
    gauge::{bytes_of, cost_ns, thread_time},
};
use crate::{
    ledger::{Begin, End, KeptAnswer, Key, Ledger, LedgerLimits, body_digest},
    prelude::*,
};

const SIZES: [usize; 4] = [25_000, 50_000, 100_000, 200_000];

/// Bytes of a booking's answer, made up.
const ANSWER: usize = 200;

pub fn measure(scale: Scale) -> RoleCost {
    let limits = LedgerLimits::default();
    let sizes = SIZES.map(|size| scale.size(size));
    let mut kept = Vec::new();
    let mut fill_costs = Vec::new();
    let memory =
        Figure::sweep("entries without answers", "bytes", "entries", sizes, limits.entries, {
            |size| {
                let start = thread_time();
                let (bytes, ledger) = bytes_of(|| filled(size, limits, None));
                fill_costs.push((thread_time() - start).as_nanos() as f64 / size as f64);
                kept.push(ledger);
                bytes
            }
        });
    let answers =
        Figure::sweep("entries with answers", "bytes", "entries", sizes, limits.entries, {
            |size| {
                let (bytes, ledger) = bytes_of(|| filled(size, limits, Some(ANSWER)));
                kept.push(ledger);
                bytes
            }
        });
    let mut costs = fill_costs.into_iter();
    let entry = Figure::sweep("entry begun and ended", "ns", "entries", sizes, limits.entries, {
        |_| costs.next().unwrap_or_default()
    });
    let mut ledgers = kept.iter();
    let resend = Figure::sweep("resend answered", "ns", "entries", sizes, limits.entries, |size| {
        ledgers.next().map_or(0.0, |ledger| resend_cost(ledger.clone(), size))
    });
    let full = (memory.value + limits.answer_bytes as f64).max(answers.value);
    let loads = vec![
        Load::measured(
            Resource::Memory,
            full,
            format!(
                "bounded: {} entries and {} MB of answers, whatever the traffic",
                limits.entries,
                limits.answer_bytes >> 20,
            ),
        ),
        Load::worked_out(
            Resource::Memory,
            memory.value * limits.adopted_entries as f64 / limits.entries as f64,
            format!("ledgers taken over: at most {} entries", limits.adopted_entries),
        ),
    ];
    RoleCost {
        figures: vec![memory, answers, entry, resend],
        loads,
        mechanism: "the binding names the one ledger; generations are dropped whole",
        messages: "none of its own; a hand-over at a planned stop",
        role: "ledger",
        state: "key and body digests, how each request ended, answers within a byte limit",
    }
}

fn key(index: usize) -> Key {
    format!("01890a5d-ac96-774b-bcce-{index:012x}").into()
}

fn filled(size: usize, limits: LedgerLimits, answer: Option<usize>) -> Ledger {
    let mut ledger = Ledger::new("host-0000".into(), 7, limits);
    let binding = ledger.binding();
    let digest = body_digest("POST", "/seats", b"{}");
    let request: RequestId = "request".into();
    for index in 0..size {
        let key = key(index);
        let begun = ledger.begin(&binding, &key, digest, &request, Moment::ZERO);
        if begun != Begin::Fresh {
            break;
        }
        let end = answer.map_or(End::Unknown, |len| {
            End::Answered(Arc::new(KeptAnswer {
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
    let digest = body_digest("POST", "/seats", b"{}");
    let request: RequestId = "request".into();
    let mut index = 0;
    cost_ns(|| {
        index = (index + 7_919) % size;
        black_box(ledger.begin(&binding, &key(index), digest, &request, Moment::ZERO));
    })
}
