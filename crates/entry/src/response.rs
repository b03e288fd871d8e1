//! Responses in the format of OpenAI-compatible services, streamed or complete.

use std::sync::Arc;

use bytes::Bytes;
use fulmarpath_cluster::Clock;
use fulmarpath_http::{Reply, json, stream};
use fulmarpath_upstream::Finish;
use hyper::StatusCode;
use hyper::header::{CACHE_CONTROL, HeaderName, HeaderValue};
use serde_json::{Value, json as value};

use crate::generation::{Generation, TokenBatch};
use crate::identity::event_id;
use crate::outcome::End;
use crate::problem::Problem;
use crate::request::ApiFormat;

/// Response header with the generation's name, with which a caller can resume or cancel it.
const GENERATION: HeaderName = HeaderName::from_static("x-generation-id");

/// How a response is written.
#[derive(Debug, Clone)]
pub(crate) struct ResponseOptions {
    pub(crate) api: ApiFormat,
    pub(crate) service: String,
    pub(crate) stream: bool,
    /// Index of the first token to send.
    pub(crate) from: u32,
    pub(crate) prompt_tokens: u32,
}

/// Counts a caller as a reader while its response is being written.
struct ReaderGuard {
    generation: Arc<Generation>,
    clock: Clock,
}

impl ReaderGuard {
    fn start(generation: Arc<Generation>, clock: Clock) -> Self {
        generation.add_reader();
        Self { generation, clock }
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.generation.drop_reader(self.clock.now_ms());
    }
}

/// Responds with a generation's tokens. The status is chosen once the first token or the end is
/// known.
pub(crate) async fn respond(
    generation: Arc<Generation>,
    options: ResponseOptions,
    clock: Clock,
) -> Reply {
    let reader = ReaderGuard::start(generation.clone(), clock);
    let first = generation.wait_for_tokens(options.from).await;
    if first.texts.is_empty()
        && let Some(end) = first.end
        && let Some(problem) = problem_for(end)
    {
        return problem.reply();
    }
    let mut reply = if options.stream {
        streamed_response(reader, options)
    } else {
        complete_response(reader, options).await
    };
    if let Ok(name) = HeaderValue::from_str(generation.name()) {
        reply.headers_mut().insert(GENERATION, name);
    }
    reply
}

fn problem_for(end: End) -> Option<Problem> {
    match end {
        End::Complete(_) => None,
        End::NotRun(not_run) => Some(Problem::NotRun(not_run)),
        End::OutcomeUnknown | End::Abandoned => Some(Problem::OutcomeUnknown),
    }
}

async fn complete_response(reader: ReaderGuard, options: ResponseOptions) -> Reply {
    let generation = &reader.generation;
    let mut text = String::new();
    let mut next = options.from;
    loop {
        let batch = generation.wait_for_tokens(next).await;
        next += batch.texts.len() as u32;
        batch.texts.iter().for_each(|part| text.push_str(part));
        let Some(end) = batch.end else { continue };
        if let Some(problem) = problem_for(end) {
            return problem.reply();
        }
        let End::Complete(finish) = end else { continue };
        let body = complete_body(generation.name(), &options, &text, finish, next);
        return json(StatusCode::OK, &body);
    }
}

fn streamed_response(reader: ReaderGuard, options: ResponseOptions) -> Reply {
    struct State {
        reader: ReaderGuard,
        options: ResponseOptions,
        next: u32,
        done: bool,
    }
    let state = State {
        next: options.from,
        reader,
        options,
        done: false,
    };
    let chunks = futures::stream::unfold(state, |mut state| async move {
        if state.done {
            return None;
        }
        let batch = state.reader.generation.wait_for_tokens(state.next).await;
        state.done = batch.end.is_some();
        let name = state.reader.generation.name();
        let chunk = sse_events(name, &state.options, state.next, &batch);
        state.next += batch.texts.len() as u32;
        Some((chunk, state))
    });
    let mut reply = stream(StatusCode::OK, "text/event-stream", chunks);
    let headers = reply.headers_mut();
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    reply
}

/// Server-sent events of a batch whose first token has index `first`.
fn sse_events(name: &str, options: &ResponseOptions, first: u32, batch: &TokenBatch) -> Bytes {
    let mut out = String::new();
    for (offset, text) in batch.texts.iter().enumerate() {
        let id = event_id(name, first + offset as u32);
        let data = chunk_body(name, options, Some(text), None);
        out.push_str(&format!("id: {id}\ndata: {data}\n\n"));
    }
    match batch.end {
        None => {}
        Some(End::Complete(finish)) => {
            let data = chunk_body(name, options, None, Some(finish));
            out.push_str(&format!("data: {data}\n\ndata: [DONE]\n\n"));
        }
        Some(end) => {
            let body = problem_for(end).map(|problem| problem.body());
            let body = String::from_utf8(body.unwrap_or_default()).unwrap_or_default();
            out.push_str(&format!("event: error\ndata: {body}\n\n"));
        }
    }
    out.into()
}

fn finish_text(finish: Finish) -> &'static str {
    match finish {
        Finish::Stop => "stop",
        Finish::Length => "length",
    }
}

fn chunk_body(
    name: &str,
    options: &ResponseOptions,
    text: Option<&str>,
    finish: Option<Finish>,
) -> Value {
    let finish_reason = finish.map(finish_text);
    match options.api {
        ApiFormat::Completion => value!({
            "id": name,
            "object": "text_completion",
            "created": created_s(),
            "model": options.service,
            "choices": [{
                "index": 0,
                "text": text.unwrap_or_default(),
                "finish_reason": finish_reason,
            }],
        }),
        ApiFormat::Chat => {
            let delta = match text {
                Some(text) => value!({ "role": "assistant", "content": text }),
                None => value!({}),
            };
            value!({
                "id": name,
                "object": "chat.completion.chunk",
                "created": created_s(),
                "model": options.service,
                "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
            })
        }
    }
}

fn complete_body(
    name: &str,
    options: &ResponseOptions,
    text: &str,
    finish: Finish,
    tokens: u32,
) -> Value {
    let finish_reason = finish_text(finish);
    let usage = value!({
        "prompt_tokens": options.prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": options.prompt_tokens + tokens,
    });
    match options.api {
        ApiFormat::Completion => value!({
            "id": name,
            "object": "text_completion",
            "created": created_s(),
            "model": options.service,
            "choices": [{ "index": 0, "text": text, "finish_reason": finish_reason }],
            "usage": usage,
        }),
        ApiFormat::Chat => value!({
            "id": name,
            "object": "chat.completion",
            "created": created_s(),
            "model": options.service,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish_reason,
            }],
            "usage": usage,
        }),
    }
}

fn created_s() -> u64 {
    Clock::wall_ms() / 1_000
}
