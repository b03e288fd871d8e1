//! State of a stand-in engine: its runs and the record of what it received and did.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use fulmarpath_upstream::{Finish, Order, StreamItem};
use tokio::sync::watch;

use crate::answer::answer_token;
use crate::model::{EngineEvent, EngineModel};

/// What the engine received and did.
#[derive(Debug, Default, Clone)]
pub struct EngineRecord {
    /// Number of starts by generation.
    pub starts: HashMap<String, u32>,
    /// Generations that were started, by prompt.
    pub generations: HashMap<String, HashSet<String>>,
    /// Trace contexts of the starts.
    pub traceparents: Vec<String>,
    /// Time from when the engine began to leave to the last start request.
    pub last_start_after_leaving_ms: u64,
    /// Number of generated tokens by generation.
    pub computed_tokens: HashMap<String, u32>,
    /// Generations that were cancelled.
    pub cancelled: Vec<String>,
    /// Number of starts refused because the engine is leaving.
    pub refused_starts: u32,
    /// Orders that were executed.
    pub orders: Vec<Order>,
}

#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) generation: String,
    pub(crate) prompt: String,
    pub(crate) first_index: u32,
    pub(crate) tokens: Vec<String>,
    pub(crate) completion: Option<(u32, Finish)>,
    pub(crate) attempt: u32,
    pub(crate) changed: watch::Sender<u64>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) model: EngineModel,
    pub(crate) runs: HashMap<u64, Run>,
    pub(crate) id_by_generation: HashMap<String, u64>,
    pub(crate) record: EngineRecord,
    pub(crate) fencing: u64,
    pub(crate) leaving_since: Option<Instant>,
}

impl State {
    pub(crate) fn apply_events(&mut self, events: &[EngineEvent]) {
        for event in events {
            match *event {
                EngineEvent::Token { id, index } => self.append_token(id, index),
                EngineEvent::Done { id } => {
                    let Some(run) = self.runs.get_mut(&id) else {
                        continue;
                    };
                    let total = run.first_index + run.tokens.len() as u32;
                    run.completion = Some((total, Finish::Stop));
                    run.changed.send_modify(|count| *count += 1);
                }
                EngineEvent::Preempted { .. } => {}
            }
        }
    }

    fn append_token(&mut self, id: u64, index: u32) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let next_index = run.first_index + run.tokens.len() as u32;
        assert_eq!(index, next_index, "the stand-in engine skipped a token");
        run.tokens.push(answer_token(&run.prompt, index));
        run.changed.send_modify(|count| *count += 1);
        let generation = run.generation.clone();
        *self.record.computed_tokens.entry(generation).or_default() += 1;
    }

    pub(crate) fn remove_run(&mut self, id: u64) {
        self.model.cancel(id);
        self.runs.remove(&id);
    }

    pub(crate) fn subscribe(&self, id: u64) -> Option<watch::Receiver<u64>> {
        self.runs.get(&id).map(|run| run.changed.subscribe())
    }

    /// The items that a stream has to send from index `next` on; `None` if the run is gone or a
    /// newer attempt reads it.
    pub(crate) fn items(&self, id: u64, attempt: u32, next: u32) -> Option<Vec<StreamItem>> {
        let run = self.runs.get(&id)?;
        if run.attempt != attempt {
            return None;
        }
        let generation = &run.generation;
        let start = (next - run.first_index) as usize;
        let tokens = run.tokens.iter().enumerate().skip(start);
        let mut items: Vec<StreamItem> = tokens
            .map(|(index, text)| StreamItem::Token {
                generation: generation.clone(),
                attempt,
                index: run.first_index + index as u32,
                text: text.clone(),
            })
            .collect();
        if let Some((total_tokens, finish)) = run.completion {
            items.push(StreamItem::Done {
                generation: generation.clone(),
                attempt,
                total_tokens,
                finish,
            });
        }
        Some(items)
    }
}
