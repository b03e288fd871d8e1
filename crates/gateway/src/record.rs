//! The log's line of a request: one when it is over, with what decided its way.

use fulmarpath_policy::{Millis, Revision, Seen};
use serde::{Deserialize, Serialize};

/// What the payload of such a line begins with; JSON follows.
pub const REQUEST_PREFIX: &str = "request: ";

/// What a caller says of its generation's size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// The longest answer.
    pub limit_tokens: u32,
    /// The caller's guess.
    pub hint_tokens: Option<u32>,
}

/// One dispatch of a request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The upstream's start.
    pub instance: String,
    /// When, after the request's arrival.
    pub at_ms: Millis,
    /// `answered`, `failed` (by the upstream itself), `unsent`, `shed` (stated as not run),
    /// `unknown` or `overdue`.
    pub outcome: String,
}

/// A request from its arrival to its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The caller's id for it.
    pub request: String,
    /// The generation's key in lines of its cell's home.
    pub run: String,
    /// What it asks for and for whom, by hash: the same in each try of its caller. `None` where it was
    /// refused before that was known.
    pub content: Option<String>,
    /// The route's name; empty where none was found.
    pub route: String,
    /// What may be repeated.
    pub kind: String,
    /// The configuration that decided.
    pub version: u64,
    /// The state of the store by which upstreams were known as it ended.
    #[serde(default)]
    pub upstreams: Revision,
    /// How it ended.
    pub outcome: String,
    /// The status that the caller got; 0 where it had left.
    pub status: u16,
    /// From the arrival to the end.
    pub took_ms: Millis,
    /// Until an upstream was found that takes it.
    pub placed_ms: Option<Millis>,
    /// What was asked for, where it is a generation.
    pub size: Option<Size>,
    /// What the cell's home saw of the engine.
    pub seen: Option<Seen>,
    /// Until the first event was passed on.
    pub first_event_ms: Option<Millis>,
    /// The longest time between two events that were passed on.
    pub longest_pause_ms: Millis,
    /// Events that were passed on.
    pub events: u32,
    /// Where it was sent.
    pub dispatches: Vec<Dispatch>,
}

impl RequestRecord {
    /// Reads a line's payload; `None` where it is another line's.
    pub fn read(payload: &str) -> Option<Self> {
        serde_json::from_str(payload.strip_prefix(REQUEST_PREFIX)?).ok()
    }

    /// Why the request ended as it did, in one sentence.
    pub fn cause(&self) -> String {
        let (end, upstreams) = (self.end(), self.upstreams);
        format!("{end}; upstreams were known by revision {upstreams}")
    }

    fn end(&self) -> String {
        let last = self.dispatches.last();
        let at = last.map_or("no upstream", |one| one.instance.as_str());
        match self.outcome.as_str() {
            "answered" if self.status < 500 => self.answered(),
            "answered" => format!(
                "the upstream {at} itself failed it with status {}",
                self.status
            ),
            "caller_left" => format!("its caller left after {} ms", self.took_ms),
            "bad_head" => "its head had no id or a field that can't be read".to_owned(),
            "bad_body" => "its body ended early or did not come in time".to_owned(),
            "body_too_long" => "its body is longer than the operator allows".to_owned(),
            "no_route" => format!("version {} has no route for it", self.version),
            "unknown_key" => format!("its key is missing or not in version {}", self.version),
            "no_configuration" => "this host knew no configuration yet".to_owned(),
            "no_upstream" => "no upstream of its service was registered as ready".to_owned(),
            "all_refused" => format!(
                "each of {} upstreams that were asked stated that it had not run it",
                self.dispatches.len()
            ),
            "full" => "every engine of its cell was predicted to be full".to_owned(),
            "evacuated" => {
                "every upstream of its service stood in an evacuated data centre".to_owned()
            }
            "cold" => {
                "no warm upstream of its service took work, and each cold one had got what it bears"
                    .to_owned()
            }
            "held_back" => {
                "each upstream of its service that took work had got the limit that it named, or \
                 had asked this host for rest"
                    .to_owned()
            }
            "too_large" => "its prompt fits into no engine of its service".to_owned(),
            "quarantined" => format!(
                "upstreams ended as they began to run requests of its content {}",
                self.content.as_deref().unwrap_or_default()
            ),
            "stopping" => "this host was stopping and might have cut it".to_owned(),
            "unreachable" => format!("no connection to {at} could be made"),
            "too_late_to_send" => "its time was over before it could be sent".to_owned(),
            "timeout" => format!("{at} did not answer within the time it had"),
            "broken" => format!("{at} broke off, or sent what is no answer to it; it may have run"),
            "stream_broken" => format!(
                "{at} was lost after {} events and no copy of its memory could go on",
                self.events
            ),
            "stream_gap" => format!("{at} went on behind event {}, with a hole", self.events),
            "stream_overdue" => format!("its time was over after {} events", self.events),
            other => format!("it ended as `{other}`, which this version doesn't know"),
        }
    }

    fn answered(&self) -> String {
        let moves = self.dispatches.len().saturating_sub(1);
        match self.first_event_ms {
            Some(first_ms) => format!(
                "it was answered: first event after {first_ms} ms, longest pause {} ms, {moves} \
                 further dispatches",
                self.longest_pause_ms
            ),
            None => format!("it was answered after {} ms", self.took_ms),
        }
    }
}
