//! Admission control: slots of owned targets, bounded queues and retry budgets.

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
