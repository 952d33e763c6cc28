//! Invariants that are checked in release builds too.
//!
//! A decision records a broken invariant instead of panicking: a panic would cut off every request
//! of the host. Whoever drives the decision calls `take` after each step, on the same thread, and
//! turns what it finds into an event of the time line and a failed run.

use std::{cell::RefCell, sync::Arc};

/// One invariant that did not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    pub detail: Arc<str>,
    pub name: &'static str,
}

thread_local! {
    static VIOLATIONS: RefCell<Vec<Violation>> = const { RefCell::new(Vec::new()) };
}

/// Records `name` as broken unless `held`.
pub fn check(held: bool, name: &'static str, detail: impl FnOnce() -> String) {
    if held {
        return;
    }
    let broken = Violation { detail: detail().into(), name };
    VIOLATIONS.with_borrow_mut(|list| list.push(broken));
}

/// Takes what this thread has recorded since the last call.
pub fn take_violations() -> Vec<Violation> {
    VIOLATIONS.with_borrow_mut(std::mem::take)
}
