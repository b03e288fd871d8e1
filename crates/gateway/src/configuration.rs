//! The operator's configuration: what may be asked for, by whom, and who answers.

use std::collections::HashMap;

use fulmarpath_policy::Millis;
use serde::{Deserialize, Serialize};

/// What a route's requests may be repeated for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// A generation: runs once at most and answers with a series of events.
    Streaming,
}

/// A service's part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// Requests of one host whose paths begin alike.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its unique name.
    pub name: String,
    /// The callers' name for the host, without a port.
    pub host: String,
    /// What the path begins with; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a caller is kept waiting.
    pub timeout_ms: Millis,
    /// The time within which an answer (of a stream: its first event) is on time.
    pub target_ms: Millis,
    /// The longest pause between events that is on time.
    pub gap_target_ms: Option<Millis>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// The services that answer, by weight.
    pub shares: Vec<Share>,
    /// Whether a stream of its may be run again, and go on elsewhere behind the last event that its
    /// caller has.
    pub can_resume: bool,
    /// Upstreams that may run one request of a caller.
    pub max_attempts: u32,
    /// Whether a key isn't asked for.
    pub is_public: bool,
}

/// What a model service's engines can do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Generations in a batch.
    pub slots: u32,
    /// Memory for prompts and answers.
    pub memory_tokens: u32,
    /// Memory of one token.
    pub token_bytes: u32,
    /// The bandwidth between engines.
    pub link_mbps: f32,
    /// Whether a generation's memory can move to another engine.
    pub can_move: bool,
    /// Whether an engine can keep a running copy of a generation's memory on another one.
    pub can_back_up: bool,
    /// Tokens in one event.
    pub event_tokens: u32,
    /// How long a copy is kept that nothing uses.
    pub copy_ttl_ms: Millis,
}

/// A service and what its upstreams take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its unique name.
    pub name: String,
    /// Connections that one upstream takes from all hosts together.
    pub max_connections: u32,
    /// How long an upstream is cold after its start; 0 where it is never.
    pub cold_ms: Millis,
    /// Requests a second that a cold upstream bears.
    pub cold_per_second: f32,
    /// Present where the service's upstreams are model engines.
    pub engine: Option<EngineTraits>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The longest head of a request.
    pub header_bytes: usize,
    /// The longest body.
    pub body_bytes: usize,
    /// The longest time for a request's head.
    pub header_ms: Millis,
    /// The longest time that a connection stays without a request.
    pub idle_ms: Millis,
}

/// An organisation and its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its unique name.
    pub name: String,
    /// The keys that its callers may bear.
    pub api_keys: Vec<String>,
    /// Its rank, which goes before a route's.
    pub priority: Option<u8>,
}

/// One version of the operator's configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// Every route.
    pub routes: Vec<Route>,
    /// Every service.
    pub services: Vec<Service>,
    /// Callers' limits.
    pub limits: CallerLimits,
    /// Every organisation; where there is none, no key is asked for.
    pub organisations: Vec<Organisation>,
}

/// A configuration, ready for look-ups.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// As the operator wrote it.
    pub configuration: Configuration,
    by_host: HashMap<String, HashMap<String, usize>>,
    by_key: HashMap<String, usize>,
    by_service: HashMap<String, usize>,
}

impl ActiveConfiguration {
    /// Prepares look-ups.
    pub fn new(configuration: Configuration) -> Self {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (place, route) in configuration.routes.iter().enumerate() {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.path_prefix.clone(), place);
        }
        let mut by_key = HashMap::new();
        for (place, organisation) in configuration.organisations.iter().enumerate() {
            for key in &organisation.api_keys {
                by_key.insert(key.clone(), place);
            }
        }
        let services = configuration.services.iter().enumerate();
        let by_service = services
            .map(|(place, service)| (service.name.clone(), place))
            .collect();
        Self {
            configuration,
            by_host,
            by_key,
            by_service,
        }
    }

    /// The route with the longest prefix of `path` at `host`, which may bear a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        let prefixes = self.by_host.get(name)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(place) = prefixes.get(&path[..=slash]) {
                return Some(&self.configuration.routes[*place]);
            }
            end = slash;
        }
        None
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, api_key: &str) -> Option<&Organisation> {
        let place = self.by_key.get(api_key)?;
        Some(&self.configuration.organisations[*place])
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let place = self.by_service.get(name)?;
        Some(&self.configuration.services[*place])
    }

    /// Whether requests of `route` must bear a key.
    pub fn requires_key(&self, route: &Route) -> bool {
        !route.is_public && !self.configuration.organisations.is_empty()
    }
}

impl Route {
    /// The service for a request; `draw` (0 to 1) decides by weight.
    pub fn pick_service(&self, draw: f32) -> Option<&str> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = (draw * total as f32) as u32;
        for share in &self.shares {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        self.shares.last().map(|share| share.service.as_str())
    }
}
