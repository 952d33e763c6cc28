//! Entry hosts on a platform whose callers know nothing of owners or bindings.
//!
//! Every host takes any request and sends it to a target itself. What has to be agreed between
//! hosts is agreed by hashing what all of them know; what has to last lies in the platform's store.
//! Decisions (`shares`, `place`, `condition`, `cold`, `poison`, `beliefs`, `peers`) neither read
//! clocks nor do I/O; the rest of the slice carries them out.

mod answer;
mod beliefs;
mod caller_io;
mod cold;
mod condition;
mod control;
mod declared;
mod desk;
mod dialect;
mod exchange;
mod flight;
mod host;
mod lookup;
mod part;
mod peers;
mod pipeline;
mod place;
mod poison;
mod serve;
mod settings;
mod shares;
mod sync;
mod target;
#[cfg(test)]
mod tests;
mod upstream;
mod view;
mod watchers;

pub use self::{
    beliefs::{Beliefs, Revisions, Stamp},
    cold::ColdRates,
    condition::{Condition, Ended},
    control::EntryControl,
    declared::{Declared, DeclaredVersion, Repeat, Route, ServiceRules},
    desk::{Desk, Report},
    dialect::{CallerNote, Dialect, LookupPlace, ReplyNote, StoreKeys, Unreadable},
    host::{EntryHost, EntryParts, OpenError},
    part::Part,
    peers::{Beat, Peer, Peers},
    poison::Poison,
    settings::{Bounds, EntrySettings, Listen},
    shares::{RegionLoad, Shares},
    target::{KnownTarget, TargetEntry},
    upstream::Pool,
    view::{LiveHost, View, ViewCell},
};
