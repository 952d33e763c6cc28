//! Messages to the control actor.

use bytes::Bytes;

use crate::{
    entry::{
        EntrySettings, StorePart,
        stale_records::HostRecord,
        sync::{self, Query, ReceivedState},
    },
    placement::LearnedState,
    prelude::*,
    store::{self, FollowEvent, Version},
};

/// An update of one part from the store.
pub struct StoreUpdate(pub StorePart, pub FollowEvent);

/// A datagram received from another host.
pub struct Datagram(pub Vec<u8>);

/// Triggers the periodic work, which was due at this time.
pub struct Tick {
    pub due: Moment,
}

/// A graceful shutdown of this host begins.
pub struct Leave;

/// Settings that were reloaded.
pub struct Reload(pub EntrySettings);

/// A query of another host.
pub struct StateQuery(pub Query);

/// Result of a query to the host at `addr`.
pub struct PeerQueryResult {
    pub addr: SocketAddr,
    pub query: Query,
    pub result: sync::Result<ReceivedState>,
}

/// Records of all hosts in the store; `None` if they could not be read.
pub struct HostRecordsRead(pub Option<ListedHosts>);

/// Records of hosts in the store.
pub struct ListedHosts {
    /// Whether these are all records.
    pub is_complete: bool,
    pub records: Vec<HostRecord>,
}

/// Whether this host's record was written to the store.
pub struct HostRecordWritten(pub bool);

/// The region's learned values in the store, not decoded, and their version; `None` if there are
/// none.
pub struct LearnedStateRead(pub store::Result<Option<(Bytes, Version)>>);

/// Result of a write of the region's learned values, with the new version.
pub struct LearnedStateWritten {
    pub bytes: usize,
    pub result: store::Result<Version>,
    pub state: LearnedState,
}
