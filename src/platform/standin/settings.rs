//! Settings of test hosts on loopback.

use arc_swap::ArcSwap;

use crate::{
    entry::{Bounds, EntrySettings, Listen, PartSettings, TcpConnector, TrafficParts, ViewCell},
    event_log::{EventLogSettings, NoEvents},
    platform::PlatformProtocol,
    prelude::*,
    settings::LogSettings,
};

/// Returns the parts of a host's traffic state that logs nothing.
pub fn loopback_traffic(
    settings: EntrySettings,
    clock: Arc<dyn Clock>,
    view: ViewCell,
) -> TrafficParts {
    TrafficParts {
        bounds: Arc::new(ArcSwap::from_pointee(settings.bounds.clone())),
        clock,
        connector: Arc::new(TcpConnector),
        events: Arc::new(NoEvents),
        protocol: Arc::new(PlatformProtocol),
        settings: Arc::new(settings),
        view,
    }
}

/// Returns the settings of a host on free ports, with the bounds of production deployments.
pub fn loopback_settings(
    host: &str,
    zone: &str,
    region: &str,
    zones: &[(&str, &str)],
    store: SocketAddr,
) -> EntrySettings {
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
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
        cpu_share: None,
        host: host.into(),
        event_log: EventLogSettings::default(),
        listen: Listen {
            callers: free_port,
            control: free_port,
            gossip: free_port,
            lookup: free_port,
            metrics: Some(free_port),
            ready: free_port,
            relay: Some(free_port),
        },
        log: LogSettings::default(),
        parts: PartSettings::default(),
        region: region.into(),
        seeds: Vec::new(),
        store,
        zone: zone.into(),
        zones: zones.collect(),
    }
}
