//! The declarations of operators: organisations, services, models and presets.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// An organisation whose callers use the services, with its API keys and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// The unique name.
    pub name: String,
    /// SHA-256, in hex, of each of its API keys.
    pub key_sha256: Vec<String>,
    /// Weight of its share of capacity, relative to the other organisations.
    pub weight: f32,
    /// Limit of requests per second over all hosts.
    pub requests_per_s: f32,
    /// Limit of concurrent requests over all hosts.
    pub concurrent_requests: u32,
}

/// The kind of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Generations by the engines of a model.
    Generation {
        /// The model's name.
        model: String,
        /// Longest response, in tokens.
        output_limit_tokens: u32,
        /// Longest prompt, in tokens.
        prompt_limit_tokens: u32,
    },
    /// A plain HTTP service.
    Plain {
        /// HTTP methods whose calls may be repeated when the outcome is unknown.
        repeatable_methods: Vec<String>,
    },
}

/// A service that organisations call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The unique name; callers send it as `model`.
    pub name: String,
    /// The kind, with its limits.
    pub kind: ServiceKind,
}

/// A model and the properties of its engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The unique name.
    pub name: String,
    /// The version to load.
    pub version: String,
    /// KV cache size of an engine, in tokens, until the engine reports its own.
    pub memory_tokens: u32,
    /// Prefill time per prompt token.
    pub prompt_ms_per_token: f32,
    /// Whether its engines refuse orders with a stale fencing number.
    pub checks_fencing: bool,
}

/// An operating mode that operators can activate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Preset {
    /// The unique name.
    pub name: String,
    /// How long a request may wait to start before it is refused.
    pub refuse_after_ms: u64,
    /// Cost weight of stall time in engine selection.
    pub stall_weight: f32,
    /// Cost weight of preemptions in engine selection.
    pub preemptions_weight: f32,
    /// Cost weight of the tail latency between tokens in engine selection.
    pub between_tokens_weight: f32,
    /// Fraction of an engine's memory up to which requests above their organisation's share may
    /// start.
    pub lend_share: f32,
    /// Services that accept no new requests.
    pub closed_services: Vec<String>,
    /// Data centres whose upstreams get no new requests.
    pub closed_data_centres: Vec<String>,
}

/// All declarations. The choice of the active preset isn't part of them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Declarations {
    /// All organisations.
    pub organisations: Vec<Organisation>,
    /// All services.
    pub services: Vec<Service>,
    /// All models.
    pub models: Vec<Model>,
    /// All presets.
    pub presets: Vec<Preset>,
}

impl Declarations {
    /// The organisation that a caller's key belongs to.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Organisation> {
        let hash = key_hash(key);
        self.organisations
            .iter()
            .find(|organisation| organisation.key_sha256.contains(&hash))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// A model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// A preset by name.
    pub fn preset(&self, name: &str) -> Option<&Preset> {
        self.presets.iter().find(|preset| preset.name == name)
    }
}

/// SHA-256 of an API key, in hex, as it is declared.
pub fn key_hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
