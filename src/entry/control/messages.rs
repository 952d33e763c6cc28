//! Messages to the control actor.

use crate::{
    entry::{
        EntrySettings, Revisions, StorePart,
        stale_records::HostRecord,
        sync::{self, ReceivedState},
    },
    prelude::*,
    store::Followed,
};

/// News from the store.
pub struct StoreUpdate(pub StorePart, pub Followed);

/// A datagram from another host.
pub struct Datagram(pub Vec<u8>);

/// Time for a heartbeat, which was due at that moment.
pub struct Tick {
    pub due: Moment,
}

/// A planned stop begins.
pub struct Leave;

/// Settings that were read again.
pub struct Reload(pub EntrySettings);

/// Another host asks for what is newer than it knows.
pub struct StateQuery(pub Revisions);

/// Answer of the host at `addr` to a query for what is newer than `since`.
pub struct PeerQueryResult {
    pub addr: SocketAddr,
    pub since: Revisions,
    pub result: sync::Result<ReceivedState>,
}

/// The hosts' records were read, or could not be.
pub struct HostRecordsRead(pub Option<Vec<HostRecord>>);

/// The own record was written, or could not be.
pub struct HostRecordWritten(pub bool);
