//! A stand-in engine with an HTTP interface and fault injection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fulmarpath_http::{Reply, empty, json, serve, stream};
use fulmarpath_upstream::{
    CacheEvents, EngineState, GenerateRequest, LoadReport, Order, ResumeRequest, StreamItem,
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::answer::{answer_length, prompt_tokens};
use crate::model::{EngineModel, EngineSpec, Job};
use crate::runs::{EngineRecord, Run, State};

const HEADER_LIMIT_BYTES: usize = 16_384;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Delay between the start of a prompt that crashes its engine and the crash, less than one step.
const CRASH_DELAY: Duration = Duration::from_millis(2);

/// Faults that a test can inject; all are off initially.
#[derive(Debug, Default)]
pub struct EngineFaults {
    /// Incremented by [`StandinEngine::silence_open_streams`]. Streams that were opened in an
    /// earlier epoch send nothing more.
    silence_epoch: AtomicU32,
    /// Streams also contain tokens of another generation, some of them also of another attempt.
    pub foreign_tokens: AtomicBool,
    /// Requests get no response and streams send nothing more, as with a hung process.
    pub unresponsive: AtomicBool,
    /// The load report has the state leaving, and new generations are refused.
    leaving: AtomicBool,
    /// A resumed stream starts up to this number of tokens before the requested index.
    pub resume_rewind_tokens: AtomicU32,
    /// Each stream is disconnected after this number of tokens; 0 for never.
    pub break_after_tokens: AtomicU32,
    /// A prompt that contains this text crashes the engine when it starts; empty for none.
    pub crash_on: Mutex<String>,
    /// Cancelled by a crash: connections are refused, and open streams are disconnected.
    crashed: CancellationToken,
    /// Orders with an outdated fencing number are accepted too.
    pub ignores_fencing: AtomicBool,
}

/// A stand-in engine.
#[derive(Debug, Clone)]
pub struct StandinEngine {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Faults to inject.
    pub faults: Arc<EngineFaults>,
    state: Arc<Mutex<State>>,
    next_id: Arc<AtomicU64>,
    work_available: Arc<tokio::sync::Notify>,
}

impl StandinEngine {
    /// Starts an engine on `listener`.
    pub fn start(listener: TcpListener, spec: EngineSpec) -> std::io::Result<Self> {
        let engine = Self {
            address: listener.local_addr()?,
            faults: Arc::default(),
            state: Arc::new(Mutex::new(State {
                model: EngineModel::new(spec),
                runs: HashMap::new(),
                id_by_generation: HashMap::new(),
                record: EngineRecord::default(),
                fencing: 0,
                leaving_since: None,
            })),
            next_id: Arc::default(),
            work_available: Arc::default(),
        };
        let server = engine.clone();
        let server_crashed = engine.faults.crashed.clone();
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(async move {
            let _stop = stop;
            let handler = move |request| server.clone().handle(request);
            let crashed = server_crashed;
            tokio::select! {
                () = serve(listener, HEADER_LIMIT_BYTES, stopped, handler) => {}
                () = crashed.cancelled() => {}
            }
        });
        tokio::spawn(engine.clone().run());
        Ok(engine)
    }

    /// What the engine has received and done so far.
    pub fn record(&self) -> EngineRecord {
        self.state.lock().record.clone()
    }

    /// Makes every open stream send nothing more; new streams work.
    pub fn silence_open_streams(&self) {
        self.faults.silence_epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Puts the engine into the state leaving: its load report says so, and new generations are
    /// refused.
    pub fn leave(&self) {
        self.faults.leaving.store(true, Ordering::Relaxed);
        self.state.lock().leaving_since = Some(Instant::now());
    }

    /// Whether a prompt has crashed it.
    pub fn has_crashed(&self) -> bool {
        self.faults.crashed.is_cancelled()
    }

    /// Crashes the engine after [`CRASH_DELAY`] if the prompt contains the configured text.
    fn crash_if_matched(&self, prompt: &str) {
        let text = self.faults.crash_on.lock().clone();
        if text.is_empty() || !prompt.contains(&text) {
            return;
        }
        let crashed = self.faults.crashed.clone();
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_DELAY).await;
            crashed.cancel();
        });
    }

    /// Number of starts refused because the engine is leaving.
    pub fn refused_starts(&self) -> u32 {
        self.state.lock().record.refused_starts
    }

    /// Drops all generations, as a restart would. The record is kept.
    pub fn drop_generations(&self) {
        let mut state = self.state.lock();
        let ids: Vec<u64> = state.runs.keys().copied().collect();
        for id in ids {
            state.remove_run(id);
        }
        state.id_by_generation.clear();
    }

    /// Whether any generation is running or waiting.
    pub fn is_busy(&self) -> bool {
        let state = self.state.lock();
        state.model.running() + state.model.waiting() > 0
    }

    fn is_unresponsive(&self) -> bool {
        self.faults.unresponsive.load(Ordering::Relaxed)
    }

    async fn run(self) {
        let mut events = Vec::new();
        loop {
            events.clear();
            let step_ms = {
                let mut state = self.state.lock();
                if self.is_unresponsive() {
                    0.0
                } else {
                    let step_ms = state.model.step(&mut events);
                    state.apply_events(&events);
                    step_ms
                }
            };
            if step_ms > 0.0 {
                tokio::time::sleep(Duration::from_secs_f64(step_ms / 1_000.0)).await;
            } else {
                let _ =
                    tokio::time::timeout(HEARTBEAT_INTERVAL, self.work_available.notified()).await;
            }
        }
    }

    async fn handle(self, request: Request<Incoming>) -> Reply {
        if self.is_unresponsive() {
            std::future::pending::<()>().await;
        }
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (method, path.as_str()) {
            (Method::POST, "/generate") => match decode(request).await {
                Some(message) => self.generate(message),
                None => empty(StatusCode::BAD_REQUEST),
            },
            (Method::POST, "/resume") => match decode(request).await {
                Some(message) => self.resume(message),
                None => empty(StatusCode::BAD_REQUEST),
            },
            (Method::POST, "/orders") => match decode(request).await {
                Some(message) => self.order(message),
                None => empty(StatusCode::BAD_REQUEST),
            },
            (Method::POST, path) => match path.strip_prefix("/cancel/") {
                Some(generation) => self.cancel(generation),
                None => empty(StatusCode::NOT_FOUND),
            },
            (Method::GET, "/load") => json(StatusCode::OK, &self.load()),
            (Method::GET, "/cache-events") => json(StatusCode::OK, &CacheEvents::default()),
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    fn load(&self) -> LoadReport {
        let state = self.state.lock();
        let leaving = self.faults.leaving.load(Ordering::Relaxed);
        LoadReport {
            running: state.model.running(),
            waiting: state.model.waiting(),
            used_tokens: state.model.used_tokens(),
            memory_tokens: state.model.spec().memory_tokens,
            preemptions: state.model.preemptions(),
            state: if leaving {
                EngineState::Leaving
            } else {
                EngineState::Live
            },
        }
    }

    fn generate(&self, request: GenerateRequest) -> Reply {
        if self.faults.leaving.load(Ordering::Relaxed) {
            let mut state = self.state.lock();
            let since = state.leaving_since.map(|since| since.elapsed());
            state.record.refused_starts += 1;
            state.record.last_start_after_leaving_ms =
                since.map_or(0, |elapsed| elapsed.as_millis() as u64);
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.crash_if_matched(&request.prompt);
        let first_index = request.already_out.len() as u32;
        let length = answer_length(&request.prompt, request.output_limit_tokens);
        let mut state = self.state.lock();
        let starts = &mut state.record.starts;
        *starts.entry(request.generation.clone()).or_default() += 1;
        state.record.traceparents.extend(request.traceparent);
        let generations = state.record.generations.entry(request.prompt.clone());
        generations.or_default().insert(request.generation.clone());
        if let Some(previous) = state
            .id_by_generation
            .insert(request.generation.clone(), id)
        {
            state.remove_run(previous);
        }
        state.runs.insert(
            id,
            Run {
                generation: request.generation,
                first_index,
                tokens: Vec::new(),
                completion: None,
                attempt: request.attempt,
                changed: watch::Sender::new(0),
                prompt: request.prompt.clone(),
            },
        );
        state.model.submit(Job {
            id,
            prefix: id,
            prefix_tokens: 0,
            prompt_tokens: prompt_tokens(&request.prompt),
            out_tokens: first_index,
            length_tokens: length,
            priority: request.priority,
        });
        drop(state);
        self.work_available.notify_one();
        self.stream(id, request.attempt, first_index)
    }

    fn resume(&self, request: ResumeRequest) -> Reply {
        let mut state = self.state.lock();
        let Some(id) = state.id_by_generation.get(&request.generation).copied() else {
            return empty(StatusCode::NOT_FOUND);
        };
        let Some(run) = state.runs.get_mut(&id) else {
            return empty(StatusCode::NOT_FOUND);
        };
        if request.next_index < run.first_index {
            return empty(StatusCode::NOT_FOUND);
        }
        run.attempt = request.attempt;
        let rewind = self.faults.resume_rewind_tokens.load(Ordering::Relaxed);
        let from = request.next_index.saturating_sub(rewind);
        let from = from.max(run.first_index);
        drop(state);
        self.stream(id, request.attempt, from)
    }

    fn order(&self, order: Order) -> Reply {
        let mut state = self.state.lock();
        let ignores_fencing = self.faults.ignores_fencing.load(Ordering::Relaxed);
        if order.fencing < state.fencing && !ignores_fencing {
            return empty(StatusCode::CONFLICT);
        }
        state.fencing = state.fencing.max(order.fencing);
        state.record.orders.push(order);
        empty(StatusCode::OK)
    }

    fn cancel(&self, generation: &str) -> Reply {
        let mut state = self.state.lock();
        if let Some(id) = state.id_by_generation.remove(generation) {
            state.remove_run(id);
            state.record.cancelled.push(generation.to_owned());
        }
        empty(StatusCode::OK)
    }

    fn stream(&self, id: u64, attempt: u32, from: u32) -> Reply {
        let (sender, receiver) = mpsc::channel::<Bytes>(16);
        tokio::spawn(self.clone().send_items(id, attempt, from, sender));
        let chunks = futures::stream::unfold(receiver, |mut receiver| async {
            receiver.recv().await.map(|chunk| (chunk, receiver))
        });
        stream(StatusCode::OK, "application/x-ndjson", chunks)
    }

    async fn send_items(self, id: u64, attempt: u32, mut next: u32, sender: mpsc::Sender<Bytes>) {
        let silence_epoch = self.faults.silence_epoch.load(Ordering::Relaxed);
        let mut sent_tokens = 0;
        let Some(mut changed) = self.state.lock().subscribe(id) else {
            return;
        };
        loop {
            if self.has_crashed() {
                return;
            }
            let is_silent = self.faults.silence_epoch.load(Ordering::Relaxed) != silence_epoch;
            if is_silent || self.is_unresponsive() {
                // Keeps the connection open and silent until the receiver closes it.
                sender.closed().await;
                return;
            }
            let items = self.state.lock().items(id, attempt, next);
            let Some(mut items) = items else { return };
            if self.faults.foreign_tokens.load(Ordering::Relaxed) {
                items.splice(0..0, foreign_tokens_at(attempt, next));
            }
            for item in items {
                let is_done = matches!(item, StreamItem::Done { .. });
                let is_foreign = is_foreign(&item);
                let mut line = serde_json::to_vec(&item).unwrap_or_default();
                line.push(b'\n');
                if sender.send(line.into()).await.is_err() || is_done {
                    return;
                }
                if !is_foreign {
                    next += 1;
                    sent_tokens += 1;
                }
                let break_after = self.faults.break_after_tokens.load(Ordering::Relaxed);
                if break_after > 0 && sent_tokens >= break_after {
                    return;
                }
            }
            let changed = tokio::select! {
                changed = tokio::time::timeout(HEARTBEAT_INTERVAL, changed.changed()) => changed,
                () = self.faults.crashed.cancelled() => return,
            };
            if changed.is_err() {
                let mut line = serde_json::to_vec(&StreamItem::Heartbeat).unwrap_or_default();
                line.push(b'\n');
                if sender.send(line.into()).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn decode<T: serde::de::DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

const FOREIGN_GENERATION: &str = "another-generation";

/// Tokens of another generation, one of them also of another attempt, at the index that the
/// receiver expects next.
fn foreign_tokens_at(attempt: u32, index: u32) -> [StreamItem; 2] {
    let token = |generation: &str, attempt| StreamItem::Token {
        generation: generation.to_owned(),
        attempt,
        index,
        text: "stranger ".to_owned(),
    };
    [
        token(FOREIGN_GENERATION, attempt),
        token(FOREIGN_GENERATION, attempt + 7),
    ]
}

fn is_foreign(item: &StreamItem) -> bool {
    matches!(item, StreamItem::Token { generation, .. } if generation == FOREIGN_GENERATION)
}
