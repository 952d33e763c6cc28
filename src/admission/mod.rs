//! Whether a request may run now: exact slots, a bounded queue, a retry budget.

mod queue;
mod retry_budget;
mod slots;
#[cfg(test)]
mod tests;

pub use self::{
    queue::{Full, Queue},
    retry_budget::{Allowance, RetryBudget},
    slots::{OwnedTarget, SlotId, Slots},
};
