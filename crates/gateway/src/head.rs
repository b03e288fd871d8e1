//! What the heads of requests and answers say, whatever their fields are called on the wire.

use std::net::SocketAddr;

use fulmarpath_policy::{Millis, Signals, StatedLoad};
use hyper::{HeaderMap, StatusCode};

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Names the part.
    pub id: u64,
    /// How long it is.
    pub tokens: u32,
}

/// What a request says of the generation that it asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GenerationHead {
    /// The model.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The longest answer.
    pub output_limit_tokens: u32,
    /// The caller's own guess at the length of the answer, right at the median but often far off.
    pub length_hint_tokens: Option<u32>,
    /// The prompt's parts in order; the last is the request's or its session's own.
    pub parts: Vec<PromptPart>,
}

/// What the head of a caller's request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Names this attempt of the caller.
    pub id: String,
    /// How long the caller will wait.
    pub time_left_ms: Option<Millis>,
    /// The caller's key.
    pub api_key: Option<String>,
    /// Present where a generation is asked for.
    pub generation: Option<GenerationHead>,
    /// The last event that the caller has, of a stream that broke off.
    pub last_event: Option<u64>,
}

/// A request's head can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// It bears no id.
    #[error("could not find the request's id")]
    NoId,
    /// A field can't be read.
    #[error("could not read {field}")]
    Malformed {
        /// What the field holds.
        field: &'static str,
    },
}

/// Where a generation goes on that began on another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Continuation {
    /// The engine that has the copy, or that stopped the generation.
    pub source: SocketAddr,
    /// Names the copy there.
    pub copy_id: String,
}

/// What is told to an upstream beside the caller's own request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outbound {
    /// How long the caller will still wait.
    pub time_left_ms: Millis,
    /// The upstream's start that is meant; any other refuses.
    pub instance: String,
    /// The caller's organisation.
    pub organisation: Option<String>,
    /// The engine where a running copy of the generation's memory is kept.
    pub backup: Option<SocketAddr>,
    /// Set where the generation goes on from a copy of its memory.
    pub continuation: Option<Continuation>,
    /// The event behind which a stream that began elsewhere goes on.
    pub last_event: Option<u64>,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// The request that it answers.
    pub id: Option<String>,
    /// The upstream states that it has not run the request and never will.
    pub is_not_run: bool,
    /// The upstream has answered by itself, with a signature over its bytes.
    pub is_signed: bool,
    /// The upstream's load.
    pub load: Option<StatedLoad>,
    /// The upstream may be about to leave.
    pub is_closing: bool,
    /// What the upstream asks of its callers.
    pub signals: Signals,
}

/// Reads and writes the fields of heads.
pub trait Dialect: Send + Sync {
    /// Reads a caller's request.
    ///
    /// # Errors
    /// [`HeadError`]
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHead, HeadError>;
    /// Takes from a caller's request what isn't the caller's to say, and adds what is ours.
    fn write_outbound(&self, headers: &mut HeaderMap, outbound: &Outbound);
    /// Reads an upstream's answer.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;
    /// Names in an answer of our own the request that it answers.
    fn write_own_response(&self, headers: &mut HeaderMap, id: &str);
    /// The number of an event, where it bears one.
    fn event_number(&self, event: &[u8]) -> Option<u64>;
}
