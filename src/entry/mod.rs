//! Entry hosts on a platform whose callers know nothing of owners or bindings.
//!
//! Every host takes any request and sends it to a target itself. What has to be agreed between
//! hosts is agreed by hashing what all of them know; what has to last lies in the platform's store.
//! Decisions (`crash_suspects`, `known_state`, and the slices `fleet` and `placement`) neither read clocks
//! nor do I/O; the rest of the slice carries them out.

mod access;
mod attempt;
mod body_memory;
mod caller_io;
mod control;
mod crash_suspects;
mod declaration;
mod host;
mod known_state;
mod listeners;
mod lookup;
mod peer_queries;
mod pipelining;
mod place;
mod protocol;
mod request_handler;
mod request_log;
mod response;
mod service_state;
mod settings;
mod settings_file;
mod stale_records;
mod store_part;
mod strain;
mod sync;
mod target;
mod team;
#[cfg(test)]
mod tests;
mod traffic_state;
mod upstream;
mod view;
mod watcher_election;

pub use self::{
    access::Access,
    control::EntryControl,
    crash_suspects::CrashSuspects,
    declaration::{Declaration, DeclarationVersion, Idempotency, Route, ServiceRules},
    host::{EntryHost, EntryParts, OpenError},
    known_state::{KnownState, Revisions, Stamp, UsableTargets},
    place::{Placement, PlacementRequest, Search},
    protocol::{
        CallerLocation, CallerMetadata, DecodeError, Protocol, ReplyMetadata, StorePrefixes,
    },
    settings::{Bounds, EntrySettings, Listen},
    settings_file::{SettingsChange, SettingsFile, reload_event},
    store_part::StorePart,
    target::{KnownTarget, TargetEntry},
    team::{CallerKey, KeyDigest, Team, TeamError, TeamLimit, Teams},
    traffic_state::{BoundsCell, TrafficState},
    upstream::ConnectionPool,
    view::{LiveHost, View, ViewCell},
};
