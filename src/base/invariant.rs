//! Invariants that are checked in release builds too.
//!
//! A state machine records a violation instead of panicking, because a panic would abort every
//! request of the host. The caller of the state machine calls `take_violations` after each step, on
//! the same thread, and reports each violation as an event of the time line; in simulations the run
//! fails.

use std::{cell::RefCell, sync::Arc};

/// An invariant that did not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    pub detail: Arc<str>,
    pub name: &'static str,
}

thread_local! {
    static VIOLATIONS: RefCell<Vec<Violation>> = const { RefCell::new(Vec::new()) };
}

/// Records a violation of the invariant `name` unless `held`.
pub fn check(held: bool, name: &'static str, detail: impl FnOnce() -> String) {
    if held {
        return;
    }
    let violation = Violation { detail: detail().into(), name };
    VIOLATIONS.with_borrow_mut(|list| list.push(violation));
}

/// Removes and returns the violations recorded on this thread since the last call.
pub fn take_violations() -> Vec<Violation> {
    VIOLATIONS.with_borrow_mut(std::mem::take)
}
