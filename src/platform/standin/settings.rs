//! Settings of hosts on loopback.

use crate::{
    entry::{Bounds, EntrySettings, Listen},
    event_log::EventLogSettings,
    prelude::*,
    settings::LogSettings,
};

/// Settings of a host on free ports, with the bounds of today's deployments.
pub fn loopback_settings(
    host: &str,
    zone: &str,
    region: &str,
    zones: &[(&str, &str)],
    store: SocketAddr,
) -> EntrySettings {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let zones = zones.iter().map(|(zone, region)| (ZoneId::from(*zone), RegionId::from(*region)));
    EntrySettings {
        bounds: Bounds {
            grace: Duration::from_secs(6),
            lookup_ttl: Duration::from_secs(5),
            max_shift: 0.15,
            retry_ratio: 0.2,
            retry_slack: 60.0,
            revoke: None,
            strict_revocation: None,
        },
        host: host.into(),
        event_log: EventLogSettings::default(),
        listen: Listen {
            callers: free,
            control: free,
            gossip: free,
            lookup: free,
            metrics: Some(free),
            ready: free,
        },
        log: LogSettings::default(),
        region: region.into(),
        seeds: Vec::new(),
        store,
        zone: zone.into(),
        zones: zones.collect(),
    }
}
