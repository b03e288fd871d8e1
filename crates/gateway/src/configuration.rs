//! The operator's configuration: routes, services, limits and organisations.

use std::collections::HashMap;

use fulmarpath_policy::Millis;
use serde::{Deserialize, Serialize};

/// Whether requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// A generation: runs at most once unless its stream may be resumed, and responds with a stream
    /// of events.
    Streaming,
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// The requests to one host whose paths share a prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its unique name.
    pub name: String,
    /// The host name that callers use, without a port.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// The upper bound on the time that a caller waits.
    pub timeout_ms: Millis,
    /// The time within which a response (of a stream: its first event) is on time.
    pub target_ms: Millis,
    /// The longest pause between events that is still on time.
    pub gap_target_ms: Option<Millis>,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// The services that serve it, by weight.
    pub shares: Vec<Share>,
    /// Whether one of its streams may be run again, and resume on another engine after the last
    /// event that its caller has.
    pub can_resume: bool,
    /// Maximum number of upstreams that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

/// Capabilities of a model service's engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Maximum number of generations in a batch.
    pub slots: u32,
    /// KV cache capacity for prompts and outputs, in tokens.
    pub memory_tokens: u32,
    /// KV cache size of one token, in bytes.
    pub token_bytes: u32,
    /// Bandwidth between engines, in Mbit/s.
    pub link_mbps: f32,
    /// Whether a generation's KV cache can be migrated to another engine.
    pub can_move: bool,
    /// Whether an engine can keep a running copy of a generation's KV cache on another one.
    pub can_back_up: bool,
    /// Tokens per event.
    pub event_tokens: u32,
    /// How long an unused copy is kept.
    pub copy_ttl_ms: Millis,
}

/// A service and the limits of its upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its unique name.
    pub name: String,
    /// Maximum number of connections that one upstream accepts from all hosts together.
    pub max_connections: u32,
    /// How long an upstream is cold after its start; 0 if it never is.
    pub cold_ms: Millis,
    /// Requests per second that a cold upstream can serve.
    pub cold_per_second: f32,
    /// Present if the service's upstreams are model engines.
    pub engine: Option<EngineTraits>,
}

/// Limits on the size and time of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time for reading a request head.
    pub header_ms: Millis,
    /// Maximum time that a connection may stay idle.
    pub idle_ms: Millis,
}

/// An organisation and its API keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its unique name.
    pub name: String,
    /// The API keys of its callers.
    pub api_keys: Vec<String>,
    /// Its priority, which overrides the route's.
    pub priority: Option<u8>,
}

/// One version of the operator's configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Increases with each change, in irregular steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// All organisations; if there are none, no API key is required.
    pub organisations: Vec<Organisation>,
}

/// A configuration with indexes for look-ups.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// The configuration as the operator wrote it.
    pub configuration: Configuration,
    by_host: HashMap<String, HashMap<String, usize>>,
    by_key: HashMap<String, usize>,
    by_service: HashMap<String, usize>,
}

impl ActiveConfiguration {
    /// Builds the indexes of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
        }
        let mut by_key = HashMap::new();
        for (index, organisation) in configuration.organisations.iter().enumerate() {
            for key in &organisation.api_keys {
                by_key.insert(key.clone(), index);
            }
        }
        let services = configuration.services.iter().enumerate();
        let by_service = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self {
            configuration,
            by_host,
            by_key,
            by_service,
        }
    }

    /// The route with the longest prefix of `path` at `host`, which may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        let prefixes = self.by_host.get(name)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(index) = prefixes.get(&path[..=slash]) {
                return Some(&self.configuration.routes[*index]);
            }
            end = slash;
        }
        None
    }

    /// The organisation to which an API key belongs.
    pub fn organisation(&self, api_key: &str) -> Option<&Organisation> {
        let index = self.by_key.get(api_key)?;
        Some(&self.configuration.organisations[*index])
    }

    /// The service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.by_service.get(name)?;
        Some(&self.configuration.services[*index])
    }

    /// Whether requests of `route` must carry an API key.
    pub fn requires_key(&self, route: &Route) -> bool {
        !route.is_public && !self.configuration.organisations.is_empty()
    }
}

impl Route {
    /// The service for a request; `draw` (0 to 1) selects by weight.
    pub fn pick_service(&self, draw: f32) -> Option<&str> {
        let weights = self.shares.iter().map(|share| u64::from(share.weight));
        let total: u64 = weights.sum();
        let mut left = (f64::from(draw) * total as f64) as u64;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        self.shares.last().map(|share| share.service.as_str())
    }
}
