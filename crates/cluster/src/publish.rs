//! Changes of the configuration, each made by one conditional update of the root.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_settings::Declarations;
use fulmarpath_store::{Object, ObjectApi, PlatformError, Version};
use uuid::Uuid;

use crate::clock::Clock;
use crate::configuration::{
    ActiveConfiguration, ChangeKind, PartValues, Parts, ROOT_KEY, Root, join, part_key, split,
};

/// A change requested by an operator.
#[derive(Debug, Clone)]
pub enum Change {
    /// Replace the declarations, if the root still has revision `onto`.
    Apply {
        /// New declarations.
        declarations: Box<Declarations>,
        /// Revision that the change is based on; `None` for any.
        onto: Option<u64>,
    },
    /// Switch to another preset.
    UsePreset {
        /// Name of the preset.
        preset: String,
    },
    /// Restore the parts and preset of an earlier revision.
    Rollback {
        /// Revision to restore.
        to: u64,
    },
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// Another operator's change came first.
    #[error("could not change revision {seen}: revision {found} is in force by now")]
    Conflict {
        /// Revision that the change was based on.
        seen: u64,
        /// Revision that is active.
        found: u64,
    },
    /// The active declarations lack the preset.
    #[error("could not find preset `{preset}` in the declarations in force")]
    NoSuchPreset {
        /// Name of the preset.
        preset: String,
    },
    /// The new declarations lack the active preset.
    #[error("could not remove preset `{preset}`: it is in force")]
    PresetInForce {
        /// Name of the preset.
        preset: String,
    },
    /// No configuration was ever applied.
    #[error("could not find any configuration; apply one first")]
    Nothing,
    /// The history no longer has that revision.
    #[error("could not find revision {revision} in the history")]
    NoSuchRevision {
        /// Requested revision.
        revision: u64,
    },
    /// A part is larger than the platform accepts.
    #[error("could not store a part of {size_bytes} bytes: the platform takes at most 1,000,000")]
    TooLarge {
        /// Size of the part.
        size_bytes: usize,
    },
    /// An object of the stored configuration is missing or invalid.
    #[error("could not read the stored configuration: an object of it is missing or invalid")]
    Unreadable,
    /// The change was certainly not made.
    #[error("could not reach the platform: nothing was changed")]
    NotDone,
    /// The change may have been made.
    #[error("could not learn whether change {change} was accepted; look for it in the history")]
    Unsure {
        /// Id of the change.
        change: String,
    },
}

const ATTEMPTS: u32 = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Writes configuration changes to the platform.
pub struct Publisher {
    api: Arc<dyn ObjectApi>,
}

struct Draft {
    root: Root,
    values: HashMap<String, Vec<u8>>,
}

impl Publisher {
    /// Creates a publisher that writes to an object API.
    pub fn new(api: Arc<dyn ObjectApi>) -> Self {
        Self { api }
    }

    /// Makes a change; it is accepted once the update of the root takes effect.
    ///
    /// An update whose answer is lost is looked up by its id in the root's history. The update is
    /// conditional on the version that was read, so a retry can't apply it twice.
    ///
    /// # Errors
    /// [`PublishError`]; only [`PublishError::Unsure`] leaves open whether it was made.
    pub async fn publish(&self, change: &Change) -> Result<ActiveConfiguration, PublishError> {
        let id = Uuid::now_v7().to_string();
        let mut first_root = None;
        let mut unsure = false;
        for _ in 0..ATTEMPTS {
            let read = self.read_root().await;
            let Ok(read) = read else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            let (version, root) = read?;
            if root.revision_of(&id).is_some() {
                return self.load(root).await;
            }
            // A change that another operator made since the first attempt is a conflict; for a switch
            // of the preset, only if that change switched the preset as well.
            let seen = first_root.get_or_insert_with(|| root.clone());
            if matches!(change, Change::UsePreset { .. }) && seen.preset != root.preset {
                return Err(conflict(seen, &root));
            }
            if matches!(change, Change::Apply { .. } | Change::Rollback { .. })
                && seen.revision != root.revision
            {
                return Err(conflict(seen, &root));
            }
            let draft = self.draft(change, &id, &root).await?;
            match self.write(draft, version).await {
                Ok(configuration) => return Ok(configuration),
                Err(PlatformError::Conflict { .. }) => {}
                Err(PlatformError::NotExecuted(_)) => tokio::time::sleep(RETRY_PAUSE).await,
                Err(PlatformError::OutcomeUnknown(_)) => unsure = true,
            }
        }
        if unsure {
            return Err(PublishError::Unsure { change: id });
        }
        Err(PublishError::NotDone)
    }

    /// Reads the current root and its version; a default root without a version where no
    /// configuration was ever applied.
    ///
    /// # Errors
    /// The outer error is a failed call to the platform, the inner one an unreadable root.
    async fn read_root(
        &self,
    ) -> Result<Result<(Option<Version>, Root), PublishError>, PlatformError> {
        let object = self.api.read(ROOT_KEY).await?;
        Ok(decode_root(object))
    }

    async fn draft(&self, change: &Change, id: &str, root: &Root) -> Result<Draft, PublishError> {
        let (kind, preset, PartValues { parts, values }) = match change {
            Change::Apply { declarations, onto } => {
                if let Some(onto) = *onto
                    && onto != root.revision
                {
                    let seen = onto;
                    let found = root.revision;
                    return Err(PublishError::Conflict { seen, found });
                }
                let preset = check_apply(root, declarations)?;
                (ChangeKind::Apply, preset, split(declarations))
            }
            Change::UsePreset { preset } => {
                let part_values = self.parts_of(&root.parts, root.revision).await?;
                let declared = join(&part_values.parts, &part_values.values);
                let declared = declared.ok_or(PublishError::Unreadable)?;
                if declared.preset(preset).is_none() {
                    let preset = preset.clone();
                    return Err(PublishError::NoSuchPreset { preset });
                }
                (ChangeKind::UsePreset, preset.clone(), part_values)
            }
            Change::Rollback { to } => {
                let entry = root.history.iter().find(|entry| entry.revision == *to);
                let entry = entry.ok_or(PublishError::NoSuchRevision { revision: *to })?;
                let part_values = self.parts_of(&entry.parts, *to).await?;
                let kind = ChangeKind::Rollback { to: *to };
                (kind, entry.preset.clone(), part_values)
            }
        };
        let root = root.next(id.to_owned(), kind, preset, parts, Clock::wall_ms());
        Ok(Draft { root, values })
    }

    async fn parts_of(&self, parts: &Parts, revision: u64) -> Result<PartValues, PublishError> {
        if revision == 0 {
            return Err(PublishError::Nothing);
        }
        let mut values = HashMap::new();
        for hash in parts.hashes() {
            let object = self.api.read(&part_key(hash)).await;
            let object = object.map_err(|_| PublishError::NotDone)?;
            let object = object.ok_or(PublishError::Unreadable)?;
            values.insert(hash.clone(), object.value.to_vec());
        }
        let parts = parts.clone();
        Ok(PartValues { parts, values })
    }

    async fn write(
        &self,
        draft: Draft,
        version: Option<Version>,
    ) -> Result<ActiveConfiguration, PlatformError> {
        for (hash, value) in &draft.values {
            let value = Bytes::from(value.clone());
            match self.api.create(&part_key(hash), value).await {
                // A part is named by the hash of its content, so an existing one is identical.
                Ok(_) | Err(PlatformError::Conflict { .. }) => {}
                // The root isn't written without its parts, so nothing has changed.
                Err(PlatformError::NotExecuted(error) | PlatformError::OutcomeUnknown(error)) => {
                    return Err(PlatformError::NotExecuted(error));
                }
            }
        }
        let value = Bytes::from(serde_json::to_vec(&draft.root).unwrap_or_default());
        match version {
            Some(version) => self.api.replace(ROOT_KEY, value, version).await?,
            None => self.api.create(ROOT_KEY, value).await?,
        };
        let configuration = ActiveConfiguration::new(draft.root, draft.values);
        Ok(configuration.expect("a draft's parts belong to its root"))
    }

    async fn load(&self, root: Root) -> Result<ActiveConfiguration, PublishError> {
        let part_values = self.parts_of(&root.parts, root.revision).await?;
        ActiveConfiguration::new(root, part_values.values).ok_or(PublishError::Unreadable)
    }
}

fn decode_root(object: Option<Object>) -> Result<(Option<Version>, Root), PublishError> {
    let Some(object) = object else {
        return Ok((None, Root::default()));
    };
    let root = serde_json::from_slice(&object.value).map_err(|_| PublishError::Unreadable)?;
    Ok((Some(object.version), root))
}

fn conflict(seen: &Root, found: &Root) -> PublishError {
    PublishError::Conflict {
        seen: seen.revision,
        found: found.revision,
    }
}

/// Checks that declarations can be applied, and returns the preset that is active after that: the
/// previous one, or the first declared if no configuration was ever applied.
fn check_apply(root: &Root, declarations: &Declarations) -> Result<String, PublishError> {
    let too_large = split(declarations)
        .values
        .values()
        .map(Vec::len)
        .find(|size_bytes| *size_bytes > VALUE_LIMIT_BYTES);
    if let Some(size_bytes) = too_large {
        return Err(PublishError::TooLarge { size_bytes });
    }
    if root.revision == 0 {
        let first = declarations.presets.first();
        let first = first.ok_or(PublishError::NoSuchPreset {
            preset: String::new(),
        })?;
        return Ok(first.name.clone());
    }
    if declarations.preset(&root.preset).is_none() {
        let preset = root.preset.clone();
        return Err(PublishError::PresetInForce { preset });
    }
    Ok(root.preset.clone())
}
