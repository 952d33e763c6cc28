//! Small stand-ins of the users' platform, for tests and for the demonstration on loopback: its
//! store and its targets, as far as a host sees them.

mod day;
mod settings;
mod store;
mod target;

pub use self::{
    day::{DayReport, play},
    settings::loopback_settings,
    store::StoreStandin,
    target::{Conduct, Seen, TargetDraft, TargetStandin},
};
