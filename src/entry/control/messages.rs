//! Messages to the control actor.

use crate::{
    entry::{
        EntrySettings, StorePart,
        stale_records::HostRecord,
        sync::{self, Query, ReceivedState},
    },
    prelude::*,
    store::FollowEvent,
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
pub struct HostRecordsRead(pub Option<Vec<HostRecord>>);

/// Whether this host's record was written to the store.
pub struct HostRecordWritten(pub bool);
