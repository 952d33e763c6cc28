//! Small stand-ins of the users' platform, for tests and for the demonstration on loopback: its
//! store and its targets, as far as a host sees them.

mod day;
mod store;
mod target;

pub use self::{
    day::{DayReport, play},
    store::StoreStandin,
    target::{Conduct, Seen, TargetDraft, TargetStandin},
};
