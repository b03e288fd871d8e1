//! Answers in the form of OpenAI-compatible services, streamed or whole.

use std::sync::Arc;

use bytes::Bytes;
use fulmarpath_cluster::Clock;
use fulmarpath_http::{Reply, json, stream};
use fulmarpath_upstream::Finish;
use hyper::StatusCode;
use hyper::header::{CACHE_CONTROL, HeaderName, HeaderValue};
use serde_json::{Value, json as value};

use crate::generation::{Generation, Piece};
use crate::identity::event_id;
use crate::outcome::End;
use crate::problem::Problem;
use crate::request::Form;

/// The header that names the generation, for a caller that wants to resume or cancel it.
const GENERATION: HeaderName = HeaderName::from_static("x-generation-id");

/// How an answer is written.
#[derive(Debug, Clone)]
pub(crate) struct Writing {
    pub(crate) form: Form,
    pub(crate) service: String,
    pub(crate) stream: bool,
    /// The first token wanted.
    pub(crate) from: u32,
    pub(crate) prompt_tokens: u32,
}

/// Counts a caller as a reader for as long as its answer is being written.
struct Reading {
    generation: Arc<Generation>,
    clock: Clock,
}

impl Reading {
    fn start(generation: Arc<Generation>, clock: Clock) -> Self {
        generation.add_reader();
        Self { generation, clock }
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.generation.drop_reader(self.clock.now_ms());
    }
}

/// Answers with a generation's tokens: the status is chosen when the first is there.
pub(crate) async fn answer(generation: Arc<Generation>, writing: Writing, clock: Clock) -> Reply {
    let reading = Reading::start(generation.clone(), clock);
    let first = generation.wait(writing.from).await;
    if first.texts.is_empty()
        && let Some(end) = first.end
        && let Some(problem) = problem(end)
    {
        return problem.reply();
    }
    let mut reply = if writing.stream {
        streamed(reading, writing)
    } else {
        whole(reading, writing).await
    };
    if let Ok(name) = HeaderValue::from_str(generation.name()) {
        reply.headers_mut().insert(GENERATION, name);
    }
    reply
}

fn problem(end: End) -> Option<Problem> {
    match end {
        End::Complete(_) => None,
        End::NotRun(not_run) => Some(Problem::NotRun(not_run)),
        End::OutcomeUnknown | End::Abandoned => Some(Problem::OutcomeUnknown),
    }
}

async fn whole(reading: Reading, writing: Writing) -> Reply {
    let generation = &reading.generation;
    let mut text = String::new();
    let mut next = writing.from;
    loop {
        let piece = generation.wait(next).await;
        next += piece.texts.len() as u32;
        piece.texts.iter().for_each(|part| text.push_str(part));
        let Some(end) = piece.end else { continue };
        if let Some(problem) = problem(end) {
            return problem.reply();
        }
        let End::Complete(finish) = end else { continue };
        let body = whole_body(generation.name(), &writing, &text, finish, next);
        return json(StatusCode::OK, &body);
    }
}

fn streamed(reading: Reading, writing: Writing) -> Reply {
    struct State {
        reading: Reading,
        writing: Writing,
        next: u32,
        done: bool,
    }
    let state = State {
        next: writing.from,
        reading,
        writing,
        done: false,
    };
    let chunks = futures::stream::unfold(state, |mut state| async move {
        if state.done {
            return None;
        }
        let piece = state.reading.generation.wait(state.next).await;
        state.done = piece.end.is_some();
        let name = state.reading.generation.name();
        let chunk = events(name, &state.writing, state.next, &piece);
        state.next += piece.texts.len() as u32;
        Some((chunk, state))
    });
    let mut reply = stream(StatusCode::OK, "text/event-stream", chunks);
    let headers = reply.headers_mut();
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    reply
}

/// The server-sent events of a piece that starts with token `first`.
fn events(name: &str, writing: &Writing, first: u32, piece: &Piece) -> Bytes {
    let mut out = String::new();
    for (offset, text) in piece.texts.iter().enumerate() {
        let id = event_id(name, first + offset as u32);
        let data = chunk_body(name, writing, Some(text), None);
        out.push_str(&format!("id: {id}\ndata: {data}\n\n"));
    }
    match piece.end {
        None => {}
        Some(End::Complete(finish)) => {
            let data = chunk_body(name, writing, None, Some(finish));
            out.push_str(&format!("data: {data}\n\ndata: [DONE]\n\n"));
        }
        Some(end) => {
            let body = problem(end).map(|problem| problem.body());
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

fn chunk_body(name: &str, writing: &Writing, text: Option<&str>, finish: Option<Finish>) -> Value {
    let finish_reason = finish.map(finish_text);
    match writing.form {
        Form::Completion => value!({
            "id": name,
            "object": "text_completion",
            "created": created_s(),
            "model": writing.service,
            "choices": [{
                "index": 0,
                "text": text.unwrap_or_default(),
                "finish_reason": finish_reason,
            }],
        }),
        Form::Chat => {
            let delta = match text {
                Some(text) => value!({ "role": "assistant", "content": text }),
                None => value!({}),
            };
            value!({
                "id": name,
                "object": "chat.completion.chunk",
                "created": created_s(),
                "model": writing.service,
                "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
            })
        }
    }
}

fn whole_body(name: &str, writing: &Writing, text: &str, finish: Finish, tokens: u32) -> Value {
    let finish_reason = finish_text(finish);
    let usage = value!({
        "prompt_tokens": writing.prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": writing.prompt_tokens + tokens,
    });
    match writing.form {
        Form::Completion => value!({
            "id": name,
            "object": "text_completion",
            "created": created_s(),
            "model": writing.service,
            "choices": [{ "index": 0, "text": text, "finish_reason": finish_reason }],
            "usage": usage,
        }),
        Form::Chat => value!({
            "id": name,
            "object": "chat.completion",
            "created": created_s(),
            "model": writing.service,
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
