//! Admission control: slots of owned targets, bounded queues, return times and retry budgets.

mod queue;
mod retry_budget;
mod return_ticks;
mod returns;
mod slots;
#[cfg(test)]
mod tests;
mod waiting;
mod waiting_order;

pub use self::{
    queue::{Queue, QueueFull},
    retry_budget::{RetryAllowance, RetryBudget},
    returns::ReturnSchedule,
    slots::{OwnedTarget, SlotId, Slots},
    waiting::{Refused, Waiting, WaitingQueue},
};
