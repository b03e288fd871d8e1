//! The content of request and response heads, independent of the field names on the wire.

use std::net::SocketAddr;

use fulmarpath_policy::{ContentKey, Millis, ReportedLoad, RequestContents, Signals};
use hyper::{HeaderMap, StatusCode};

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifies the part.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a request states about the generation that it asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GenerationHead {
    /// The model.
    pub model: String,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Maximum length of the output.
    pub output_limit_tokens: u32,
    /// The caller's estimate of the output length, accurate at the median but often far off.
    pub length_hint_tokens: Option<u32>,
    /// The prompt's parts in order; the last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl GenerationHead {
    /// The parts of its prompt that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// What in the request may crash upstreams.
    pub(crate) fn contents(&self, whole: ContentKey) -> RequestContents {
        let ids = self.shared_parts().iter().map(|part| part.id);
        RequestContents::new(whole, &self.model, ids)
    }
}

/// The content of the head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Identifies this attempt of the caller.
    pub id: String,
    /// Remaining time until the caller's deadline.
    pub time_left_ms: Option<Millis>,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// Present if a generation is requested.
    pub generation: Option<GenerationHead>,
    /// The last event that the caller has received of a stream that broke off.
    pub last_event: Option<u64>,
    /// The upstream for which a gateway has sent the request.
    pub target_instance: Option<String>,
}

/// A request head cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// It has no id.
    #[error("could not find the request's id")]
    NoId,
    /// A field cannot be parsed.
    #[error("could not read {field}")]
    Malformed {
        /// What the field contains.
        field: &'static str,
    },
}

/// The copy from which a generation that began on another engine resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Continuation {
    /// The engine that has the copy, or that stopped the generation.
    pub source: SocketAddr,
    /// Identifies the copy there.
    pub copy_id: String,
}

/// What is sent to an upstream in addition to the caller's own request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outbound {
    /// Remaining time until the caller's deadline.
    pub time_left_ms: Millis,
    /// The name of the addressed upstream; another upstream at its address refuses the request.
    pub instance: String,
    /// The caller's organisation.
    pub organisation: Option<String>,
    /// The engine that keeps a running copy of the generation's KV cache.
    pub backup: Option<SocketAddr>,
    /// Set if the generation resumes from a copy of its KV cache.
    pub continuation: Option<Continuation>,
    /// The event after which a stream that began elsewhere resumes.
    pub last_event: Option<u64>,
}

/// The content of the head of an upstream's response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// The upstream states that it has not run the request and never will.
    pub is_not_run: bool,
    /// The response comes from the upstream itself, with a signature over its bytes.
    pub is_signed: bool,
    /// The reported load of the upstream.
    pub load: Option<ReportedLoad>,
    /// The upstream closes the connection and may be about to leave.
    pub is_closing: bool,
    /// Backpressure signals of the upstream.
    pub signals: Signals,
}

/// Reads and writes the fields of request and response heads.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// [`HeadError`]
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHead, HeadError>;
    /// Removes the fields that a caller may not set from its request, and adds the gateway's own.
    fn write_outbound(&self, headers: &mut HeaderMap, outbound: &Outbound);
    /// Reads the head of an upstream's response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;
    /// Adds the request's id to a response of the gateway itself.
    fn write_own_response(&self, headers: &mut HeaderMap, id: &str);
    /// The number of an event, if it has one.
    fn event_number(&self, event: &[u8]) -> Option<u64>;
}
