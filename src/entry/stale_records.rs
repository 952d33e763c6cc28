//! The hosts' records in the store: how new hosts find the others.
//!
//! Nothing in the store expires, and hosts are replaced for good several times a day, under new
//! names: without a clean-up the records would grow for ever, and with them the addresses that
//! every host probes.

use std::collections::BTreeSet;

use crate::{prelude::*, store::Version};

/// Time for which a host may be unheard before its record is removed: longer than any cut, and a
/// removed host that lives writes its record again.
const STALE_AFTER: Duration = Duration::from_secs(600);

/// One host's record.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRecord {
    pub gossip: SocketAddr,
    pub key: Arc<str>,
    pub version: Version,
}

/// Since when listed hosts have not been heard.
#[derive(Debug, Default)]
pub struct StaleRecordTracker {
    unheard_since: BTreeMap<Arc<str>, Moment>,
}

impl StaleRecordTracker {
    /// Takes a listing in, and tells which records are of hosts that are gone. A host that hears
    /// nobody removes none: it is more likely to be cut off itself.
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
        self.unheard_since.retain(|key, _| keys.contains(key));
        let mut stale = Vec::new();
        for record in silent {
            let since = *self.unheard_since.entry(record.key.clone()).or_insert(now);
            if !heard.is_empty() && STALE_AFTER <= now.saturating_sub(since) {
                stale.push(record.clone());
            }
        }
        stale
    }
}
