//! The operators' declaration: routes, services and teams.

use super::Teams;
use crate::prelude::*;

/// Version of a declaration. A host only replaces its declaration by one with a higher version.
pub type DeclarationVersion = u64;

/// A complete declaration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declaration {
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Routes by host name, each list sorted by descending length of the prefix.
    pub routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    /// Time for which a caller may keep an idle connection.
    pub idle_timeout: Duration,
    pub services: BTreeMap<ServiceId, ServiceRules>,
    /// Teams whose callers may send requests. If there are none, no key is required.
    pub teams: Teams,
    pub version: DeclarationVersion,
}

/// How requests with one path prefix are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Host name and prefix, which together identify the route.
    pub key: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Latency objective; a response after this time counts as late.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Regions that may serve these requests; empty for all.
    pub allowed_regions: Vec<RegionId>,
    pub idempotency: Idempotency,
    /// Services and their weights.
    pub split: Vec<(ServiceId, f64)>,
    /// Whether requests for an object prefer targets that handled the object before, which are
    /// faster.
    pub sticky: bool,
    /// Maximum time for which a caller is kept waiting.
    pub timeout: Duration,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    Idempotent,
    NonIdempotent,
}

/// Declared properties of a service's targets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRules {
    /// Requests per second that a cold target accepts, from all hosts together.
    pub cold_rate: f64,
    /// Time for which a target stays cold after its start; `None` if not declared.
    pub cold_start: Option<Duration>,
    /// Maximum number of connections to one target, from all hosts together.
    pub max_connections: u32,
}

impl Declaration {
    /// Whether a service is declared or a route sends requests to it.
    pub fn has_service(&self, service: &ServiceId) -> bool {
        let is_in = |route: &Arc<Route>| route.split.iter().any(|(name, _)| name == service);
        self.services.contains_key(service) || self.routes.values().flatten().any(is_in)
    }

    /// Finds the route of a request: the route of its host name with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self.routes.get(name).or_else(|| self.routes.get(host))?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
