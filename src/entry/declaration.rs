//! The operators' declared intent: which route sends which requests to which services.

use super::Teams;
use crate::prelude::*;

/// Version of a declaration; in force it only rises.
pub type DeclarationVersion = u64;

/// One whole declaration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declaration {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Routes by host name, each list longest prefix first.
    pub routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    /// Time that a caller's idle connection may be kept.
    pub idle_timeout: Duration,
    pub services: BTreeMap<ServiceId, ServiceRules>,
    /// Teams whose callers may send requests. If there are none, no key is required.
    pub teams: Teams,
    pub version: DeclarationVersion,
}

/// Requests of one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Host name and prefix: unlike the prefix alone, no other route has it.
    pub key: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Regions that may serve these requests; empty for all.
    pub allowed_regions: Vec<RegionId>,
    pub idempotency: Idempotency,
    /// Services and their weights.
    pub split: Vec<(ServiceId, f64)>,
    /// Requests about one object are faster at a target that handled it before.
    pub sticky: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    Idempotent,
    NonIdempotent,
}

/// What is declared of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRules {
    /// Requests a second that a cold target takes, from all hosts together.
    pub cold_rate: f64,
    /// Time for which a target stays cold after its start; `None` where nothing is declared.
    pub cold_start: Option<Duration>,
    /// Most connections that one target takes, from all hosts together.
    pub max_connections: u32,
}

impl Declaration {
    /// The route of a request: of its host's routes the one with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self.routes.get(name).or_else(|| self.routes.get(host))?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
