//! Entry hosts: reverse proxies that forward callers' requests to targets.
//!
//! Every host accepts any request and forwards it to a target itself; callers need not know which
//! host is responsible for what. Where hosts have to agree on a choice, each computes it by hashing
//! data that all of them have; durable data is kept in the platform's store. The decision logic
//! (`crash_suspects`, `known_state`, and the modules `fleet` and `placement`) neither reads clocks
//! nor does I/O; the other submodules carry the decisions out.

mod access;
mod attempt;
mod body_memory;
mod call;
mod call_progress;
mod caller_io;
mod capacity_gauges;
mod carried_ids;
mod connector;
mod control;
mod crash_checks;
mod crash_suspects;
mod declaration;
mod demand;
mod guards;
mod head_bound;
mod host;
mod joined_heads;
mod known_state;
mod learned_state;
mod left_targets;
mod listeners;
mod load_report;
mod lookup;
mod merge;
mod missing_targets;
mod parts;
mod peer_queries;
mod pipelining;
mod place;
mod protocol;
mod reach_probe;
mod refused_body;
mod relay;
mod relay_attempt;
mod relay_host;
mod request_framing;
mod request_handler;
mod request_log;
mod reservations;
mod response;
mod response_body;
mod served_relay;
mod service_state;
mod settings;
mod settings_file;
mod slot_owner;
mod slot_request;
mod slot_use;
mod stale_records;
mod store_objects;
mod store_part;
mod strain;
mod streaming_body;
mod sync;
mod target;
mod target_reach;
mod target_statements;
mod team;
mod team_limits;
#[cfg(test)]
mod tests;
mod traffic_state;
mod unknown_headers;
mod upstream;
mod usable_tags;
mod view;
mod watcher_election;

pub use self::{
    access::Access,
    connector::{Connector, Stream, TcpConnector},
    control::EntryControl,
    crash_suspects::CrashSuspects,
    declaration::{Declaration, DeclarationVersion, Idempotency, Route, ServiceRules},
    host::{EntryHost, EntryParts, OpenError},
    known_state::{KnownState, Revisions, Stamp, UsableTargets},
    learned_state::MeasuredCell,
    parts::{Deployment, PartReason, PartSettings, PartState, PartSwitch, Parts},
    place::{Placement, PlacementRequest, Search},
    protocol::{
        CallerLocation, CallerMetadata, DecodeError, Protocol, ReplyMetadata, StorePrefixes,
    },
    reservations::AskCounts,
    settings::{Bounds, EntrySettings, Listen},
    settings_file::{SettingsChange, SettingsFile, reload_event},
    store_part::StorePart,
    sync::Query as StateQuery,
    target::{KnownTarget, TargetEntry},
    team::{CallerKey, KeyDigest, Team, TeamError, TeamLimit, Teams},
    traffic_state::{BoundsCell, TrafficParts, TrafficState},
    upstream::ConnectionPool,
    view::{LiveHost, View, ViewCell},
};
