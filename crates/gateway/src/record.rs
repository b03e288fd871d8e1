//! The log line of a request, written once when it ends, with the data that explain its outcome.

use fulmarpath_policy::{EngineSnapshot, Millis, Revision};
use serde::{Deserialize, Serialize};

/// Prefix of the line's payload; JSON follows.
pub const REQUEST_PREFIX: &str = "request: ";

/// The size of a generation as stated by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Prompt length.
    pub prompt_tokens: u32,
    /// Maximum output length.
    pub limit_tokens: u32,
    /// The caller's estimate of the output length.
    pub hint_tokens: Option<u32>,
}

/// Why a request found no room at its cell's home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shortage {
    /// An engine had room for it that was kept for more urgent requests.
    ProtectedRoom,
    /// The home refused it at once, because it could not start in time.
    RefusedEarly,
}

/// One dispatch of a request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The upstream's name.
    pub instance: String,
    /// Time since the request's arrival.
    pub at_ms: Millis,
    /// `sent` (no outcome yet), `answered`, `failed` (by the upstream itself), `broken` (its body
    /// was not received in full or is not signed), `unsent`, `shed` (stated as not run), `unknown`
    /// or `overdue`.
    pub outcome: String,
    /// How the body of the response is framed: `length`, `chunked` or `close` (it ends with its
    /// connection). `None` if no response arrived.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub framing: Option<String>,
    /// How the upstream ended a stream: `complete`, `in_event` (in the middle of an event),
    /// `engine_ended` (its process ended and closed the connection) or `interrupted` (the
    /// connection failed, or the framing is incomplete). `None` if the upstream did not end it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_end: Option<String>,
}

/// The record of a request from its arrival to its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The caller's id for the request.
    pub request: String,
    /// The generation's key, as in the log lines of its cell's home.
    pub run: String,
    /// Hash of the content and the organisation: equal for all retries by a caller. `None` if the
    /// request was refused before it was computed.
    pub content: Option<String>,
    /// The content that upstreams crashed with, if the request was refused for it: that of the
    /// request or of a part of its prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quarantined_by: Option<String>,
    /// The route's name; empty if no route matched.
    pub route: String,
    /// The route's kind.
    pub kind: String,
    /// The version of the configuration that applied.
    pub version: u64,
    /// The revision of the list of upstreams when the request ended.
    #[serde(default)]
    pub upstreams: Revision,
    /// The outcome.
    pub outcome: String,
    /// The status sent to the caller; 0 if the caller had left.
    pub status: u16,
    /// Time from arrival to end.
    pub took_ms: Millis,
    /// Time from arrival until an upstream was selected.
    pub placed_ms: Option<Millis>,
    /// The requested size, for a generation.
    pub size: Option<Size>,
    /// Ids of the parts of its prompt that other requests may share, the first ones if there are
    /// many.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<String>,
    /// The cell whose home placed it last, if it was not the one in which it arrived.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub taken_by: Option<String>,
    /// The state of the engine as known to the cell's home.
    pub seen: Option<EngineSnapshot>,
    /// Why it found no room, if it didn't at once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shortages: Vec<Shortage>,
    /// Time from arrival until the first event was sent to the caller.
    pub first_event_ms: Option<Millis>,
    /// The longest time between two events that were sent to the caller.
    pub longest_pause_ms: Millis,
    /// Events that were sent to the caller.
    pub events: u32,
    /// The dispatches of the request.
    pub dispatches: Vec<Dispatch>,
}

impl RequestRecord {
    /// Parses the payload of a log line; `None` if it is a different kind of line.
    pub fn read(payload: &str) -> Option<Self> {
        serde_json::from_str(payload.strip_prefix(REQUEST_PREFIX)?).ok()
    }

    /// Explains the outcome of the request in one sentence.
    pub fn cause(&self) -> String {
        let (outcome, upstreams) = (self.describe_outcome(), self.upstreams);
        let taken_by = self.taken_by.as_ref().map_or_else(String::new, |cell| {
            format!("; its cell handed it on to cell {cell}")
        });
        format!("{outcome}{taken_by}; upstreams were known by revision {upstreams}")
    }

    fn describe_outcome(&self) -> String {
        let last = self.dispatches.last();
        let at = last.map_or("no upstream", |dispatch| dispatch.instance.as_str());
        match self.outcome.as_str() {
            "answered" if self.status < 500 => self.describe_answered(),
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
            "full" => self.describe_full(),
            "evacuated" => {
                "every upstream of its service was in an evacuated data centre".to_owned()
            }
            "cold" => {
                "no warm upstream of its service accepted work, and no cold one could take more \
                 requests"
                    .to_owned()
            }
            "held_back" => {
                "each upstream of its service that accepted work had reached the limit that it \
                 named, or had asked this host to back off"
                    .to_owned()
            }
            "too_large" => "its prompt fits into no engine of its service".to_owned(),
            "quarantined" => self.describe_quarantine(),
            "stopping" => "this host was stopping and might not have finished it".to_owned(),
            "stopped" => format!("this host stopped before {at} answered; it may have run"),
            "unreachable" => format!("no connection to {at} could be made"),
            "too_late_to_send" => "its deadline passed before it could be sent".to_owned(),
            "timeout" => format!("{at} did not answer before the deadline"),
            "broken" => format!("{at} broke off or sent an invalid response; it may have run"),
            "stream_broken" => format!(
                "{at} {} after {} events and no copy of its KV cache could be resumed",
                self.describe_stream_end(),
                self.events
            ),
            "stream_gap" => format!(
                "{at} resumed the stream after {} events, with a gap",
                self.events
            ),
            "stream_overdue" => format!("its deadline passed after {} events", self.events),
            other => format!("it ended as `{other}`, which this version doesn't know"),
        }
    }

    fn describe_full(&self) -> String {
        let early = match self.shortages.contains(&Shortage::RefusedEarly) {
            true => ", and it was refused at once because it could not start in time",
            false => "",
        };
        let protected = match self.shortages.contains(&Shortage::ProtectedRoom) {
            true => "; some had room that was kept for more urgent requests",
            false => "",
        };
        format!("every engine of its cell was predicted to be full{early}{protected}")
    }

    fn describe_quarantine(&self) -> String {
        let content = self.content.as_deref().unwrap_or_default();
        match self.quarantined_by.as_deref() {
            Some(part) if part != content => format!(
                "upstreams crashed when they began to run requests with content {part}, a part of \
                 its prompt"
            ),
            _ => format!(
                "upstreams crashed when they began to run requests with its content {content}"
            ),
        }
    }

    fn describe_stream_end(&self) -> &'static str {
        let last = self.dispatches.last();
        match last.and_then(|dispatch| dispatch.stream_end.as_deref()) {
            Some("in_event") => "ended its stream in the middle of an event",
            _ => "was lost",
        }
    }

    fn describe_answered(&self) -> String {
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
