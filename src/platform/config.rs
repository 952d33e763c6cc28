//! Decodes the operators' configuration from its object in the store.

use crate::{
    base::duration_text,
    entry::{
        Declaration, DecodeError, Idempotency, KeyDigest, Route, ServiceRules, Team, TeamError,
        TeamLimit, Teams,
    },
    prelude::*,
};

/// Object of the store; `spec` holds the configuration.
#[derive(Deserialize)]
struct Object {
    spec: Config,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Config {
    #[serde(default)]
    clusters: Vec<Cluster>,
    limits: Limits,
    #[serde(default)]
    listeners: Vec<Listener>,
    /// Decoded field by field, so that errors name the field without exposing a key.
    #[serde(default)]
    tenants: Vec<serde_json::Value>,
    /// Eight hexadecimal digits.
    version: String,
}

/// Limits on requests of callers.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    #[serde(with = "duration_text::field")]
    idle_timeout: Duration,
    max_body_bytes: usize,
}

/// Rules of one host name.
#[derive(Deserialize)]
struct Listener {
    hostname: Arc<str>,
    #[serde(default)]
    rules: Vec<Rule>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rule {
    action: Action,
    /// Whether requests are idempotent: `safe` and `download` are, others such as `unsafe` are not.
    kind: String,
    #[serde(rename = "match")]
    matches: Match,
    #[serde(default)]
    priority: u32,
    /// Whether requests are accepted without a key.
    #[serde(default)]
    public: bool,
    #[serde(default)]
    session_affinity: bool,
    /// Latency objective: responses within this time have their full value.
    #[serde(with = "duration_text::field")]
    target_latency: Duration,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Match {
    path_prefix: Arc<str>,
}

/// How a request is routed.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Action {
    #[serde(default)]
    allowed_regions: Vec<RegionId>,
    #[serde(default = "default_max_attempts")]
    max_attempts: u32,
    service: Option<ServiceId>,
    #[serde(with = "duration_text::field")]
    timeout: Duration,
    /// Weighted services, used if `service` is absent.
    #[serde(default)]
    traffic_split: Vec<WeightedService>,
}

#[derive(Deserialize)]
struct WeightedService {
    service: ServiceId,
    weight: f64,
}

/// A service.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Cluster {
    /// Requests per second that a cold target may receive.
    #[serde(default = "default_cold_rate")]
    cold_per_s: f64,
    /// Time for which a target stays cold after it starts.
    #[serde(default, with = "duration_text::optional")]
    cold_start: Option<Duration>,
    #[serde(default)]
    max_connections: u32,
    name: ServiceId,
}

fn default_max_attempts() -> u32 {
    1
}

/// Used if the configuration has no rate; slow enough for any target.
fn default_cold_rate() -> f64 {
    1.0
}

/// Decodes the configuration.
pub fn decode(object: &[u8]) -> Result<Declaration, DecodeError> {
    let object: Object =
        serde_json::from_slice(object).map_err(|error| DecodeError(error.to_string().into()))?;
    let config = object.spec;
    let version = u64::from_str_radix(&config.version, 16).map_err(|_| {
        DecodeError(format!("`{}` is not a hexadecimal version", config.version).into())
    })?;
    let mut routes_by_host: BTreeMap<Arc<str>, Vec<Arc<Route>>> = BTreeMap::new();
    for listener in config.listeners {
        let hostname = listener.hostname.clone();
        let routes = routes_by_host.entry(listener.hostname).or_default();
        routes.extend(listener.rules.into_iter().map(|rule| Arc::new(route(&hostname, rule))));
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
    let rules = |cluster: Cluster| {
        let rules = ServiceRules {
            cold_rate: cluster.cold_per_s,
            cold_start: cluster.cold_start,
            max_connections: cluster.max_connections,
        };
        (cluster.name, rules)
    };
    Ok(Declaration {
        max_body_bytes: config.limits.max_body_bytes,
        routes: routes_by_host,
        idle_timeout: config.limits.idle_timeout,
        services: config.clusters.into_iter().map(rules).collect(),
        teams: teams(config.tenants)?,
        version,
    })
}

fn teams(tenants: Vec<serde_json::Value>) -> Result<Teams, DecodeError> {
    let teams = tenants.iter().map(team).collect::<Result<_, _>>()?;
    Teams::new(teams).map_err(decode_error)
}

fn team(tenant: &serde_json::Value) -> Result<(Team, Vec<KeyDigest>), DecodeError> {
    let name: Option<TeamId> = field(tenant, "name", "?")?;
    let name = name.ok_or_else(|| DecodeError("a team has no `name`".into()))?;
    let api_keys: Vec<String> = field(tenant, "apiKeys", &name)?.unwrap_or_default();
    // Objects received from other hosts hold digests in place of keys.
    let key_digests: Vec<String> = field(tenant, "keyDigests", &name)?.unwrap_or_default();
    let burst = field(tenant, "burst", &name)?.unwrap_or_default();
    let rate = field(tenant, "ratePerS", &name)?.unwrap_or_default();
    let regions = field(tenant, "allowedRegions", &name)?.unwrap_or_default();
    let priority = field(tenant, "priority", &name)?;
    if let Some(at) = api_keys.iter().position(String::is_empty) {
        return Err(decode_error(TeamError::EmptyKey { at: at + 1, team: name }));
    }
    let digest = |text: &String| {
        KeyDigest::parse(text)
            .ok_or_else(|| DecodeError(format!("team `{name}`: invalid key digest").into()))
    };
    let mut keys: Vec<KeyDigest> = key_digests.iter().map(digest).collect::<Result<_, _>>()?;
    keys.extend(api_keys.iter().map(|key| KeyDigest::of(key.as_bytes())));
    let limit = TeamLimit::new(&name, rate, burst).map_err(decode_error)?;
    Ok((Team { limit, name, priority, allowed_regions: regions }, keys))
}

fn field<T>(tenant: &serde_json::Value, field: &str, team: &str) -> Result<Option<T>, DecodeError>
where
    T: serde::de::DeserializeOwned,
{
    let Some(value) = tenant.get(field) else { return Ok(None) };
    T::deserialize(value)
        .map(Some)
        .map_err(|_| DecodeError(format!("team `{team}`: `{field}` has the wrong type").into()))
}

fn decode_error(error: TeamError) -> DecodeError {
    DecodeError(error.to_string().into())
}

fn route(hostname: &str, rule: Rule) -> Route {
    let action = rule.action;
    let split = match action.service {
        Some(service) => vec![(service, 1.0)],
        None => action.traffic_split.into_iter().map(|part| (part.service, part.weight)).collect(),
    };
    let idempotent = matches!(rule.kind.as_str(), "safe" | "download");
    Route {
        max_attempts: action.max_attempts,
        key: format!("{hostname}{}", rule.matches.path_prefix).into(),
        objective: rule.target_latency,
        prefix: rule.matches.path_prefix,
        priority: rule.priority,
        public: rule.public,
        allowed_regions: action.allowed_regions,
        idempotency: if idempotent { Idempotency::Idempotent } else { Idempotency::NonIdempotent },
        split,
        sticky: rule.session_affinity,
        timeout: action.timeout,
    }
}
