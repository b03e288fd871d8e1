//! Finds in hosts' logs why a request ended as it did.

use std::fmt;

use fulmarpath_gateway::{RequestRecord, STORE_RESTORED_PREFIX};
use serde::Deserialize;

/// What hosts believe may be of before a return of the store from a copy for so long; their clocks differ
/// by seconds.
const NEAR_MS: u64 = 60_000;

/// A line of a gateway's log.
#[derive(Debug, Clone, Deserialize)]
struct LogLine {
    /// Milliseconds since 1970, by the host's own clock.
    timestamp: u64,
    payload: String,
}

/// One line that speaks of the request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MatchingLine {
    /// Milliseconds since 1970, by the clock of the host that wrote it.
    pub at_ms: u64,
    /// The file that it stands in.
    pub source: String,
    /// What it says.
    pub text: String,
}

/// What the logs say of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// Why it ended as it did, one sentence for each host that took it.
    pub causes: Vec<String>,
    /// The lines that speak of it, oldest first.
    pub lines: Vec<MatchingLine>,
    /// Lines that could not be read.
    pub unreadable: usize,
}

/// No line speaks of the request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("could not find request {id} in {lines} lines ({unreadable} of them unreadable)")]
pub struct RequestNotFound {
    /// The request.
    pub id: String,
    /// Lines that were looked at.
    pub lines: usize,
    /// Lines that could not be read.
    pub unreadable: usize,
}

/// Looks for a request in the logs of several hosts; each is a name and its text.
///
/// # Errors
/// [`RequestNotFound`]
pub fn explain(id: &str, logs: &[(String, String)]) -> Result<Explanation, RequestNotFound> {
    let mut lines = 0;
    let mut unreadable = 0;
    let mut all = Vec::new();
    for (source, text) in logs {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            lines += 1;
            match read(line) {
                Some(read) => all.push((source, read)),
                None => unreadable += 1,
            }
        }
    }
    let records: Vec<RequestRecord> = all
        .iter()
        .filter_map(|(_, line)| RequestRecord::read(&line.payload))
        .filter(|record| record.request == id)
        .collect();
    let run = records.first().map(|record| record.run.as_str());
    let content = records.iter().find_map(|record| record.content.as_deref());
    let has_ended = |outcome: &str| records.iter().any(|record| record.outcome == outcome);
    let is_evacuated = has_ended("evacuated");
    let is_held_back = has_ended("held_back");
    let ends = all.iter().filter(|(_, line)| {
        let record = RequestRecord::read(&line.payload);
        record.is_some_and(|record| record.request == id)
    });
    let ends_ms: Vec<u64> = ends.map(|(_, line)| line.timestamp).collect();
    let is_near = |at_ms: u64| {
        ends_ms
            .iter()
            .any(|end_ms| end_ms.abs_diff(at_ms) < NEAR_MS)
    };
    let speaks = |line: &LogLine| {
        let payload = &line.payload;
        // What ended upstreams was this content in other requests as well.
        let on_content = payload.starts_with("circuits:") || payload.starts_with("crashes:");
        payload.contains(id)
            || run.is_some_and(|run| payload.contains(run))
            || (is_evacuated && payload.starts_with("evacuations:"))
            || (is_held_back && payload.starts_with("backpressure:"))
            || (payload.starts_with(STORE_RESTORED_PREFIX) && is_near(line.timestamp))
            || (on_content && content.is_some_and(|content| payload.contains(content)))
    };
    let mut matching: Vec<MatchingLine> = all
        .iter()
        .filter(|(_, line)| speaks(line))
        .map(|(source, line)| MatchingLine {
            at_ms: line.timestamp,
            source: (*source).clone(),
            text: line.payload.clone(),
        })
        .collect();
    matching.sort();
    if matching.is_empty() {
        return Err(RequestNotFound {
            id: id.to_owned(),
            lines,
            unreadable,
        });
    }
    Ok(Explanation {
        causes: records.iter().map(RequestRecord::cause).collect(),
        lines: matching,
        unreadable,
    })
}

/// Reads a line; a collector may have written something before its JSON.
fn read(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

impl fmt::Display for Explanation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.causes.is_empty() {
            writeln!(
                out,
                "no host wrote how it ended; it may have died meanwhile"
            )?;
        }
        for cause in &self.causes {
            writeln!(out, "{cause}")?;
        }
        for line in &self.lines {
            writeln!(out, "  {} {} {}", line.at_ms, line.source, line.text)?;
        }
        if self.unreadable > 0 {
            writeln!(out, "  {} lines could not be read", self.unreadable)?;
        }
        Ok(())
    }
}
