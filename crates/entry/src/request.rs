//! Callers' generation requests, in the format of OpenAI-compatible clients.

use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::problem::Problem;

/// Bytes of text counted as one token, as an estimate without a tokenizer.
const BYTES_PER_TOKEN: usize = 4;
/// Leading bytes of a prompt that identify its prefix, whose KV cache prompts can share.
const PREFIX_BYTES: usize = 1_024;

/// The API format of a request and its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ApiFormat {
    Completion,
    Chat,
}

/// A caller's generation request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallerRequest {
    pub(crate) api: ApiFormat,
    pub(crate) service: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: Option<u32>,
    pub(crate) stream: bool,
    /// Hash of the complete body; detects an idempotency key used for a different request.
    pub(crate) hash: u64,
}

impl CallerRequest {
    pub(crate) fn prompt_tokens(&self) -> u32 {
        self.prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32
    }

    pub(crate) fn prefix(&self) -> u64 {
        let bytes = self.prompt.as_bytes();
        xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
    }
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    prompt: Prompt,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    List(Vec<String>),
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

/// Parses the body of a request.
pub(crate) fn parse_request(api: ApiFormat, body: &[u8]) -> Result<CallerRequest, Problem> {
    const MALFORMED: Problem = Problem::Malformed {
        what: "the body as a completion request",
    };
    let hash = xxh3_64(body);
    match api {
        ApiFormat::Completion => {
            let body: CompletionBody = serde_json::from_slice(body).map_err(|_| MALFORMED)?;
            let prompt = match body.prompt {
                Prompt::One(text) => text,
                Prompt::List(mut texts) if texts.len() == 1 => texts.remove(0),
                Prompt::List(_) => {
                    let what = "a list of prompts; send one prompt per request";
                    return Err(Problem::Malformed { what });
                }
            };
            Ok(CallerRequest {
                api,
                service: body.model,
                prompt,
                max_tokens: body.max_tokens,
                stream: body.stream,
                hash,
            })
        }
        ApiFormat::Chat => {
            let body: ChatBody = serde_json::from_slice(body).map_err(|_| MALFORMED)?;
            Ok(CallerRequest {
                api,
                service: body.model,
                prompt: transcript(body.messages),
                max_tokens: body.max_completion_tokens.or(body.max_tokens),
                stream: body.stream,
                hash,
            })
        }
    }
}

fn transcript(messages: Vec<Message>) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push_str(": ");
        match message.content {
            Content::Text(content) => text.push_str(&content),
            Content::Parts(parts) => parts.iter().for_each(|part| text.push_str(&part.text)),
        }
        text.push('\n');
    }
    text
}
