//! An external caller, for trials, tests and benchmarks.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarpath_http::{Call, HttpError, Lines, send};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};

const CALL_TIMEOUT: Duration = Duration::from_millis(12_000);
/// Time without data after which a caller abandons a streamed response.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A completion request of a caller.
#[derive(Debug, Clone, Default)]
pub struct CallerRequest {
    /// Caller key of the organisation.
    pub key: &'static str,
    /// The prompt.
    pub prompt: String,
    /// Idempotency key; a submission with a key runs at most once.
    pub idempotency_key: Option<String>,
    /// Resumes the stream after this event.
    pub last_event_id: Option<String>,
    /// Trace context of the caller.
    pub traceparent: Option<String>,
}

/// What a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResponse {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// The tokens in order of arrival.
    pub tokens: Vec<String>,
    /// The event ids in order of arrival.
    pub event_ids: Vec<String>,
    /// Whether the stream reached its end.
    pub is_complete: bool,
    /// The problem type without the URN prefix.
    pub problem: Option<String>,
    /// Whether no connection was made, so that the host never received the request.
    pub is_unsent: bool,
}

impl CallerResponse {
    fn empty() -> Self {
        Self {
            status: 0,
            tokens: Vec::new(),
            event_ids: Vec::new(),
            is_complete: false,
            problem: None,
            is_unsent: false,
        }
    }

    /// The concatenated tokens.
    pub fn text(&self) -> String {
        self.tokens.concat()
    }
}

/// Sends one request with the given headers.
///
/// # Errors
/// [`HttpError`] if there was no response.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Result<Call, HttpError> {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into()));
    let request = request.map_err(|_| HttpError::Unreachable { address })?;
    send(address, request, CALL_TIMEOUT).await
}

/// Starts a streamed completion of the service `reports`.
///
/// # Errors
/// [`HttpError`] if there was no response.
pub async fn open(address: SocketAddr, request: &CallerRequest) -> Result<Call, HttpError> {
    let bearer = format!("Bearer {}", request.key);
    let mut headers = vec![("authorization", bearer.as_str())];
    if let Some(key) = &request.idempotency_key {
        headers.push(("idempotency-key", key));
    }
    if let Some(id) = &request.last_event_id {
        headers.push(("last-event-id", id));
    }
    if let Some(trace) = &request.traceparent {
        headers.push(("traceparent", trace));
    }
    let body = json!({ "model": "reports", "prompt": request.prompt, "stream": true });
    let path = "/v1/completions";
    call(address, Method::POST, path, &headers, body.to_string()).await
}

/// Reads a streamed response to its end, but at most `limit` tokens.
pub async fn read(opened: Result<Call, HttpError>, limit: usize) -> CallerResponse {
    let mut response = CallerResponse::empty();
    let call = match opened {
        Ok(call) => call,
        Err(error) => {
            response.is_unsent = error.is_unsent();
            return response;
        }
    };
    response.status = call.status().as_u16();
    if call.status() != StatusCode::OK {
        let problem = call.json(CALL_TIMEOUT).await;
        response.problem = problem.ok().as_ref().and_then(problem_type);
        return response;
    }
    let mut lines = Lines::new(call);
    let mut is_error = false;
    while response.tokens.len() < limit {
        let Ok(Some(line)) = lines.next(SILENCE_TIMEOUT).await else {
            return response;
        };
        let line = String::from_utf8_lossy(&line).into_owned();
        if let Some(id) = line.strip_prefix("id: ") {
            response.event_ids.push(id.to_owned());
        }
        is_error |= line == "event: error";
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            response.is_complete = true;
            return response;
        }
        let data: Value = serde_json::from_str(data).unwrap_or_default();
        if is_error {
            response.problem = problem_type(&data);
            return response;
        }
        let text = data["choices"][0]["text"].as_str().unwrap_or_default();
        if !text.is_empty() {
            response.tokens.push(text.to_owned());
        }
    }
    response
}

fn problem_type(problem: &Value) -> Option<String> {
    let urn = problem["type"].as_str()?;
    let name = urn.trim_start_matches("urn:fulmarpath:problem:");
    Some(name.to_owned())
}

/// Sends a request and reads the complete response.
pub async fn complete(address: SocketAddr, request: &CallerRequest) -> CallerResponse {
    read(open(address, request).await, usize::MAX).await
}

/// The complete text that a stand-in engine generates for a prompt.
pub fn expected(prompt: &str) -> String {
    let length = fulmarpath_standin::answer_length(prompt, OUTPUT_LIMIT_TOKENS);
    (0..length)
        .map(|index| fulmarpath_standin::answer_token(prompt, index))
        .collect()
}

/// Output limit of the service `reports` in [`super::declarations`].
pub(super) const OUTPUT_LIMIT_TOKENS: u32 = 8_000;
