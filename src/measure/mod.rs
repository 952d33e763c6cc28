//! Measurements of the decisions, run by `lavenderplank measure`.

pub mod capacity;
pub mod fleet;
pub mod in_force;
pub mod knowledge;
pub mod ledger;
pub mod membership;
pub mod page;
pub mod placement;
pub mod policies;
pub mod slots;
