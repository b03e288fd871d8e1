//! What in a request may crash upstreams: its content as a whole, or a part of its prompt.

use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::cell::RunKey;
use crate::key::{ContentKey, Millis, ModelKey, UpstreamKey};

/// A run that began to be answered so long before a crash clears its contents of it: a content that
/// crashes upstreams does so each time.
pub(super) const SOUND_BEFORE_MS: Millis = 1_000;

/// A part of a prompt that other requests may share.
///
/// A part may crash the engines of one model and be harmless to those of another, so it is counted
/// both with its model and without.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SharedPart {
    /// The part in prompts for any model.
    pub any_model: ContentKey,
    /// The part in prompts for one model.
    pub in_model: ContentKey,
}

impl SharedPart {
    /// The part with this id in a prompt for this model.
    pub fn new(id: u64, model: ModelKey) -> Self {
        Self {
            any_model: part_key(id, None),
            in_model: part_key(id, Some(model)),
        }
    }

    fn keys(self) -> [ContentKey; 2] {
        [self.any_model, self.in_model]
    }
}

fn part_key(id: u64, model: Option<ModelKey>) -> ContentKey {
    let mut hasher = Xxh3::new();
    ("part", id, model).hash(&mut hasher);
    ContentKey(hasher.finish())
}

/// What in one request may crash upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestContents {
    /// Its content as a whole.
    pub whole: ContentKey,
    /// The model that it asks for.
    pub model: ModelKey,
    /// The shared parts of its prompt, each once.
    pub parts: Vec<SharedPart>,
}

impl RequestContents {
    /// The contents of a request without a prompt in parts.
    pub fn of_whole(whole: ContentKey) -> Self {
        Self::new(whole, "", [])
    }

    /// The contents of a request for a generation. `part_ids` are the shared parts of its prompt.
    pub fn new(whole: ContentKey, model: &str, part_ids: impl IntoIterator<Item = u64>) -> Self {
        let model = ModelKey::of(model);
        let mut parts: Vec<SharedPart> = Vec::new();
        for part in part_ids.into_iter().map(|id| SharedPart::new(id, model)) {
            if !parts.contains(&part) {
                parts.push(part);
            }
        }
        Self {
            whole,
            model,
            parts,
        }
    }

    /// All contents under which its run counts.
    pub fn keys(&self) -> impl Iterator<Item = ContentKey> {
        let parts = self.parts.iter().flat_map(|part| part.keys());
        std::iter::once(self.whole).chain(parts)
    }

    pub(super) fn contains(&self, content: ContentKey) -> bool {
        self.keys().any(|key| key == content)
    }
}

/// A part of a prompt of which a run is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPart {
    /// The part.
    pub part: SharedPart,
    /// Time since a run with this part, for any model, last began to be answered on the reporting
    /// host; `None` if none is remembered.
    pub sound_any_model_ms_ago: Option<Millis>,
    /// The same for the run's own model.
    pub sound_in_model_ms_ago: Option<Millis>,
}

impl SuspectPart {
    /// Whether the part was answered so recently that it did not crash the upstream.
    pub fn is_cleared(&self) -> bool {
        let is_recent =
            |ms_ago: Option<Millis>| ms_ago.is_some_and(|ms_ago| ms_ago < SOUND_BEFORE_MS);
        is_recent(self.sound_any_model_ms_ago) && is_recent(self.sound_in_model_ms_ago)
    }
}

/// A run that had just begun on an upstream when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Tells it from other runs on the same upstream.
    pub run: RunKey,
    /// The incarnation of the upstream that crashed.
    pub upstream: UpstreamKey,
    /// The model that it asked for.
    pub model: ModelKey,
    /// Time since the request was sent to the upstream.
    pub sent_ms_ago: Millis,
    /// The request's content; `None` if the same content was answered recently.
    pub whole: Option<ContentKey>,
    /// The parts of its prompt, without those that are known to be sound.
    pub parts: Vec<SuspectPart>,
}

impl CrashedRun {
    /// Whether nothing in it is suspected.
    pub fn is_cleared(&self) -> bool {
        self.whole.is_none() && self.parts.is_empty()
    }
}

/// A content that did not crash the upstream that answered it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundContent {
    /// The content.
    pub content: ContentKey,
    /// Time since the upstream began to answer.
    pub began_ms_ago: Millis,
}
