//! What operators declare.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A member of the consortium.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// SHA-256, in hex, of each key it may use.
    pub key_sha256: Vec<String>,
    /// Its share against the others.
    pub weight: f32,
    /// Requests a second over all hosts.
    pub requests_per_s: f32,
    /// Requests at once over all hosts.
    pub concurrent_requests: u32,
}

/// What stands behind a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Generations of a model.
    Generation {
        /// The model.
        model: String,
        /// The longest answer.
        output_limit_tokens: u32,
        /// The longest prompt.
        prompt_limit_tokens: u32,
    },
    /// A plain service.
    Plain {
        /// Methods whose calls may be sent again after a lost answer.
        repeatable_methods: Vec<String>,
    },
}

/// Something that organisations call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name; callers give it as `model`.
    pub name: String,
    /// What stands behind it.
    pub kind: ServiceKind,
}

/// A model and what its engines are like.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// The version to load.
    pub version: String,
    /// Memory of one engine, until the engine reports its own.
    pub memory_tokens: u32,
    /// Time an engine spends on a prompt's token.
    pub prompt_ms_per_token: f32,
    /// Whether its engines refuse an old fencing number.
    pub checks_fencing: bool,
}

/// A way of running that operators choose.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Preset {
    /// Its name.
    pub name: String,
    /// How long a request may wait to start.
    pub refuse_after_ms: u64,
    /// Worth of stall time.
    pub stall_weight: f32,
    /// Worth of preemptions.
    pub preemptions_weight: f32,
    /// Worth of the tail between tokens.
    pub between_tokens_weight: f32,
    /// The share of memory up to which work above an organisation's share may start.
    pub lend_share: f32,
    /// Services that take no new requests.
    pub closed_services: Vec<String>,
    /// Data centres whose upstreams take no new work.
    pub closed_data_centres: Vec<String>,
}

/// Everything that operators declare, but for the preset in force.
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
            .find(|one| one.key_sha256.contains(&hash))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|one| one.name == name)
    }

    /// A model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|one| one.name == name)
    }

    /// A preset by name.
    pub fn preset(&self, name: &str) -> Option<&Preset> {
        self.presets.iter().find(|one| one.name == name)
    }
}

/// The declared form of a key.
pub fn key_hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
