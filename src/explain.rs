//! Finds in host logs why a request had its outcome.

use std::fmt;

use fulmarpath_gateway::{RequestRecord, STORE_RESTORED_PREFIX};
use serde::Deserialize;

/// A restore of the store is shown for requests that end within this time of it: hosts may still
/// use entries from before the restore, and their clocks differ by seconds.
const STORE_RESTORE_WINDOW_MS: u64 = 60_000;

/// A line of a gateway log.
#[derive(Debug, Clone, Deserialize)]
struct LogLine {
    /// Milliseconds since 1970, by the clock of the host.
    timestamp: u64,
    payload: String,
}

/// A log line that concerns the request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MatchingLine {
    /// Milliseconds since 1970, by the clock of the host that wrote it.
    pub at_ms: u64,
    /// Name of the log that contains it.
    pub source: String,
    /// The payload of the line.
    pub text: String,
}

/// The outcome of a request and the log lines that concern it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The causes of the outcome, one sentence for each host that received the request.
    pub causes: Vec<String>,
    /// The lines that concern it, oldest first.
    pub lines: Vec<MatchingLine>,
    /// Number of lines that could not be parsed.
    pub unreadable: usize,
}

/// No log line concerns the request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("could not find request {id} in {line_count} lines ({unreadable} of them unreadable)")]
pub struct RequestNotFound {
    /// Id of the request.
    pub id: String,
    /// Number of lines that were searched.
    pub line_count: usize,
    /// Number of lines that could not be parsed.
    pub unreadable: usize,
}

/// Searches the logs of several hosts for a request. Each log is a name and its text.
///
/// # Errors
/// [`RequestNotFound`]
pub fn explain(id: &str, logs: &[(String, String)]) -> Result<Explanation, RequestNotFound> {
    let mut line_count = 0;
    let mut unreadable = 0;
    let mut entries = Vec::new();
    for (source, text) in logs {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            line_count += 1;
            match parse(line) {
                Some(entry) => entries.push((source, entry)),
                None => unreadable += 1,
            }
        }
    }
    let records: Vec<RequestRecord> = entries
        .iter()
        .filter_map(|(_, line)| RequestRecord::read(&line.payload))
        .filter(|record| record.request == id)
        .collect();
    let run = records.first().map(|record| record.run.as_str());
    let contents: Vec<&str> = records
        .iter()
        .flat_map(|record| [&record.content, &record.quarantined_by])
        .filter_map(|content| content.as_deref())
        .collect();
    let has_outcome = |outcome: &str| records.iter().any(|record| record.outcome == outcome);
    let is_evacuated = has_outcome("evacuated");
    let is_throttled = has_outcome("held_back");
    let end_lines = entries.iter().filter(|(_, line)| {
        let record = RequestRecord::read(&line.payload);
        record.is_some_and(|record| record.request == id)
    });
    let ends_ms: Vec<u64> = end_lines.map(|(_, line)| line.timestamp).collect();
    let is_near_end = |at_ms: u64| {
        ends_ms
            .iter()
            .any(|end_ms| end_ms.abs_diff(at_ms) < STORE_RESTORE_WINDOW_MS)
    };
    let is_related = |line: &LogLine| {
        let payload = &line.payload;
        // Other requests with the same content may have caused the crashes.
        let is_by_content = payload.starts_with("circuits:") || payload.starts_with("crashes:");
        payload.contains(id)
            || run.is_some_and(|run| payload.contains(run))
            || (is_evacuated && payload.starts_with("evacuations:"))
            || (is_throttled && payload.starts_with("backpressure:"))
            || (payload.starts_with(STORE_RESTORED_PREFIX) && is_near_end(line.timestamp))
            || (is_by_content && contents.iter().any(|content| payload.contains(content)))
    };
    let mut lines: Vec<MatchingLine> = entries
        .iter()
        .filter(|(_, line)| is_related(line))
        .map(|(source, line)| MatchingLine {
            at_ms: line.timestamp,
            source: (*source).clone(),
            text: line.payload.clone(),
        })
        .collect();
    lines.sort();
    if lines.is_empty() {
        return Err(RequestNotFound {
            id: id.to_owned(),
            line_count,
            unreadable,
        });
    }
    Ok(Explanation {
        causes: records.iter().map(RequestRecord::cause).collect(),
        lines,
        unreadable,
    })
}

/// Parses a line. A log collector may have put a prefix before the JSON.
fn parse(line: &str) -> Option<LogLine> {
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
