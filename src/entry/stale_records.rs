//! Finds stale host records in the store.
//!
//! New hosts find the others by these records. Entries in the store do not expire, and hosts are
//! replaced several times a day by hosts with new names. Without a clean-up, the number of records
//! would grow without bound, and with it the number of addresses that every host probes.

use std::collections::BTreeSet;

use crate::{prelude::*, store::Version};

/// How long a host must be silent before its record is removed. Longer than any network partition;
/// a live host whose record was removed writes it again.
const STALE_AFTER: Duration = Duration::from_secs(600);

/// A host's record in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRecord {
    pub gossip: SocketAddr,
    pub key: Arc<str>,
    pub version: Version,
}

/// Tracks since when the hosts in the store's listing have been silent.
#[derive(Debug, Default)]
pub struct StaleRecordTracker {
    silent_since: BTreeMap<Arc<str>, Moment>,
}

impl StaleRecordTracker {
    /// Updates the tracked hosts from a listing and returns the records to remove. Returns none if
    /// no other host is heard: then this host is more likely to be partitioned itself.
    pub fn find_stale(
        &mut self,
        listed: &[HostRecord],
        heard: &BTreeSet<SocketAddr>,
        own: SocketAddr,
        now: Moment,
    ) -> Vec<HostRecord> {
        let is_silent =
            |record: &&HostRecord| record.gossip != own && !heard.contains(&record.gossip);
        let silent: Vec<&HostRecord> = listed.iter().filter(is_silent).collect();
        let keys: BTreeSet<&Arc<str>> = silent.iter().map(|record| &record.key).collect();
        self.silent_since.retain(|key, _| keys.contains(key));
        let mut stale = Vec::new();
        for record in silent {
            let since = *self.silent_since.entry(record.key.clone()).or_insert(now);
            if !heard.is_empty() && STALE_AFTER <= now.saturating_sub(since) {
                stale.push(record.clone());
            }
        }
        stale
    }
}
