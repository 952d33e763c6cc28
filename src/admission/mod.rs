//! Whether a request may run now: exact slots, a bounded queue, a retry budget.

mod queue;
mod retry_budget;
mod slots;
#[cfg(test)]
mod tests;

pub use self::{
    queue::{Queue, QueueFull},
    retry_budget::{RetryAllowance, RetryBudget},
    slots::{OwnedTarget, SlotId, Slots},
};
