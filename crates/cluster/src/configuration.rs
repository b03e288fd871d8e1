//! The configuration: immutable parts named by their hash, and one root whose revision only grows.

use std::collections::HashMap;

use fulmarpath_settings::{Declarations, Model, Organisation, Preset, Service};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The key of the root object.
pub(crate) const ROOT_KEY: &str = "fulmarpath/root";
/// Limit on the entries of the root's history.
const HISTORY_ENTRIES: usize = 50;

/// The hashes of the four parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parts {
    /// Hash of the organisations.
    pub organisations: String,
    /// Hash of the services.
    pub services: String,
    /// Hash of the models.
    pub models: String,
    /// Hash of the presets.
    pub presets: String,
}

impl Parts {
    pub(crate) fn hashes(&self) -> [&String; 4] {
        [
            &self.organisations,
            &self.services,
            &self.models,
            &self.presets,
        ]
    }
}

/// The kind of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// New declarations were applied.
    Apply,
    /// Another preset was selected.
    UsePreset,
    /// The parts and preset of an earlier revision were restored as a new revision.
    Rollback {
        /// Restored revision.
        to: u64,
    },
}

/// One revision in the root's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that the change created.
    pub revision: u64,
    /// Id of the change, by which its writer finds it if the answer to the update was lost.
    pub change: String,
    /// Kind of the change.
    pub kind: ChangeKind,
    /// Preset active from this revision on.
    pub preset: String,
    /// Parts active from this revision on.
    pub parts: Parts,
    /// Wall time of the change in Unix milliseconds.
    pub at_ms: u64,
}

/// The root of the configuration. It is a single object, so exactly one preset and one set of parts
/// is active.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Revision; grows by one with each change.
    pub revision: u64,
    /// Name of the active preset.
    pub preset: String,
    /// Hashes of the active parts.
    pub parts: Parts,
    /// The latest changes, newest last.
    pub history: Vec<HistoryEntry>,
}

impl Root {
    /// The root that follows this one.
    pub(crate) fn next(
        &self,
        change: String,
        kind: ChangeKind,
        preset: String,
        parts: Parts,
        at_ms: u64,
    ) -> Self {
        let revision = self.revision + 1;
        let mut history = self.history.clone();
        history.push(HistoryEntry {
            revision,
            change,
            kind,
            preset: preset.clone(),
            parts: parts.clone(),
            at_ms,
        });
        let surplus = history.len().saturating_sub(HISTORY_ENTRIES);
        history.drain(..surplus);
        Self {
            revision,
            preset,
            parts,
            history,
        }
    }

    /// The revision that a change created; `None` if the history doesn't contain the change.
    pub(crate) fn revision_of(&self, change: &str) -> Option<u64> {
        let entry = self.history.iter().find(|entry| entry.change == change)?;
        Some(entry.revision)
    }
}

/// The four parts in their encoded form, by hash.
#[derive(Debug, Clone)]
pub(crate) struct PartValues {
    pub(crate) parts: Parts,
    pub(crate) values: HashMap<String, Vec<u8>>,
}

/// Splits declarations into encoded parts.
pub(crate) fn split(declarations: &Declarations) -> PartValues {
    let mut values = HashMap::new();
    let mut add = |value: Vec<u8>| {
        let hash = part_hash(&value);
        values.insert(hash.clone(), value);
        hash
    };
    let parts = Parts {
        organisations: add(encode(&declarations.organisations)),
        services: add(encode(&declarations.services)),
        models: add(encode(&declarations.models)),
        presets: add(encode(&declarations.presets)),
    };
    PartValues { parts, values }
}

/// Decodes parts to declarations; `None` where a part is missing or can't be decoded.
pub(crate) fn join(parts: &Parts, values: &HashMap<String, Vec<u8>>) -> Option<Declarations> {
    let [organisations, services, models, presets] = parts
        .hashes()
        .map(|hash| values.get(hash).map(Vec::as_slice));
    Some(Declarations {
        organisations: serde_json::from_slice(organisations?).ok()?,
        services: serde_json::from_slice(services?).ok()?,
        models: serde_json::from_slice(models?).ok()?,
        presets: serde_json::from_slice(presets?).ok()?,
    })
}

/// The hash of a part, which is its name.
pub(crate) fn part_hash(value: &[u8]) -> String {
    let digest = Sha256::digest(value);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The object key of a part.
pub(crate) fn part_key(hash: &str) -> String {
    format!("fulmarpath/parts/{hash}")
}

fn encode<T: Serialize>(items: &T) -> Vec<u8> {
    serde_json::to_vec(items).unwrap_or_default()
}

/// A configuration, indexed for lookups.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// Root of the configuration.
    pub root: Root,
    /// All declarations.
    pub declarations: Declarations,
    by_key_hash: HashMap<String, usize>,
    by_service: HashMap<String, usize>,
    preset_index: usize,
    total_weight: f32,
    pub(crate) part_values: HashMap<String, Vec<u8>>,
}

impl ActiveConfiguration {
    /// Indexes a configuration; `None` where the parts don't belong to the root.
    pub(crate) fn new(root: Root, part_values: HashMap<String, Vec<u8>>) -> Option<Self> {
        let declarations = join(&root.parts, &part_values)?;
        let presets = &declarations.presets;
        let preset_index = presets
            .iter()
            .position(|preset| preset.name == root.preset)?;
        let mut by_key_hash = HashMap::new();
        for (index, organisation) in declarations.organisations.iter().enumerate() {
            for hash in &organisation.key_sha256 {
                by_key_hash.insert(hash.clone(), index);
            }
        }
        let services = declarations.services.iter().enumerate();
        let by_service = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        let total_weight = declarations
            .organisations
            .iter()
            .map(|organisation| organisation.weight)
            .sum();
        Some(Self {
            root,
            by_key_hash,
            by_service,
            preset_index,
            total_weight,
            declarations,
            part_values,
        })
    }

    /// The active preset.
    pub fn preset(&self) -> &Preset {
        &self.declarations.presets[self.preset_index]
    }

    /// The organisation that an API key belongs to.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Organisation> {
        let hash = fulmarpath_settings::key_hash(key);
        let index = *self.by_key_hash.get(&hash)?;
        self.declarations.organisations.get(index)
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = *self.by_service.get(name)?;
        self.declarations.services.get(index)
    }

    /// A model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.declarations.model(name)
    }

    /// An organisation's guaranteed share of each engine's memory.
    pub fn share(&self, organisation: &Organisation) -> f32 {
        organisation.weight / self.total_weight.max(f32::MIN_POSITIVE)
    }
}
