//! Settings of one entry host, in YAML.

use std::path::Path;

use super::PartSettings;
use crate::{
    base::duration_text,
    event_log::EventLogSettings,
    prelude::*,
    settings::LogSettings,
    yaml::{self, MAX_FILE_BYTES, Result},
};

/// Settings of one entry host. Unknown fields are ignored, so that one file may serve hosts of
/// different versions.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EntrySettings {
    pub bounds: Bounds,
    /// Processor time that the host may use, in cores; 1 by default. Hosts with more do more for
    /// their zone.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Bounds of the structured log.
    #[serde(default)]
    pub event_log: EventLogSettings,
    pub host: HostId,
    pub listen: Listen,
    #[serde(default)]
    pub log: LogSettings,
    /// Optional parts of the decisions; `auto` for those that are not named.
    #[serde(default)]
    pub parts: PartSettings,
    pub region: RegionId,
    /// Addresses of a few hosts' control listeners, to start from; may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Availability zone of this host.
    pub zone: ZoneId,
    /// Region of each availability zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
}

/// Addresses on which this host listens.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// State queries of other hosts.
    pub control: SocketAddr,
    /// Datagrams of other hosts.
    pub gossip: SocketAddr,
    /// Look-ups.
    pub lookup: SocketAddr,
    /// Metrics as text; not served if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Readiness probes.
    pub ready: SocketAddr,
    /// Requests of other hosts that reach no target; not served if absent.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
}

/// Limits that the deployment sets for its hosts.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Bounds {
    /// Time between the stop signal and the forced end of the process.
    #[serde(with = "duration_text::field")]
    pub grace: Duration,
    /// Maximum share of a region's requests that may move to other regions from one window of two
    /// seconds to the next.
    pub max_shift: f64,
    /// Maximum time for which callers keep the response to a look-up.
    #[serde(with = "duration_text::field")]
    pub lookup_ttl: Duration,
    /// Time within which a revoked key stops working; 5 s by default.
    #[serde(default, with = "duration_text::optional")]
    pub revoke: Option<Duration>,
    /// Retries allowed as a share of requests, over all hosts.
    pub retry_ratio: f64,
    /// Retries allowed beyond that share in each window, over all hosts.
    pub retry_slack: f64,
    /// Whether a host refuses requests that need a key once its declaration has not been confirmed
    /// for longer than `revoke`.
    #[serde(default)]
    pub strict_revocation: Option<bool>,
}

/// Default of `revoke`.
const DEFAULT_REVOKE: Duration = Duration::from_secs(5);

impl Bounds {
    /// Maximum age of the declaration at which known keys are accepted; `None` for no maximum.
    pub fn max_key_age(&self) -> Option<Duration> {
        let is_strict = self.strict_revocation.unwrap_or_default();
        is_strict.then(|| self.revoke.unwrap_or(DEFAULT_REVOKE))
    }
}

impl EntrySettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = yaml::read_file(path, MAX_FILE_BYTES)?;
        yaml::decode(&text, &path.display().to_string())
    }

    /// Names of the fields that differ from `other` but take effect only at the next start, because
    /// they determine sockets, threads or the host's identity.
    pub fn fixed_changes(&self, other: &Self) -> Vec<&'static str> {
        let fields = [
            ("cpu_share", self.cpu_share != other.cpu_share),
            ("event_log", self.event_log != other.event_log),
            ("host", self.host != other.host),
            ("listen", self.listen != other.listen),
            ("log", self.log != other.log),
            ("parts", self.parts != other.parts),
            ("region", self.region != other.region),
            ("store", self.store != other.store),
            ("zone", self.zone != other.zone),
        ];
        fields.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }

    /// Processor time that the host may use, in hundredths of a core.
    pub fn capacity(&self) -> u16 {
        (self.cpu_share.unwrap_or(1.0) * 100.0).clamp(1.0, f64::from(u16::MAX)) as u16
    }

    /// Whether the settings name this region.
    pub fn has_region(&self, region: &RegionId) -> bool {
        *region == self.region || self.zones.values().any(|known| known == region)
    }

    /// Region of a zone; a zone that the settings do not name counts as a region of its own.
    pub fn region_of(&self, zone: &ZoneId) -> RegionId {
        self.zones.get(zone).cloned().unwrap_or_else(|| zone.clone())
    }
}
