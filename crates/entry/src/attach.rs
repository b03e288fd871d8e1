//! Reads a generation that another host holds, or held before it failed, into a local copy.

use std::sync::Arc;
use std::time::Duration;

use fulmarpath_cluster::Node;
use fulmarpath_policy::Millis;
use fulmarpath_upstream::{Finish, ResumeRequest, StreamItem};
use fulmarpath_wire::{FetchAnswer, GenerationEnd};
use spdlog::info;

use crate::generation::Generation;
use crate::identity::parse_name;
use crate::outcome::End;

/// How long a holder that doesn't answer is retried before the engines are queried instead.
const HOLDER_TIMEOUT_MS: Millis = 5_000;
const HOLDER_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// A copy without a reader for this long is dropped; otherwise its fetches would keep the
/// generation running.
const COPY_GRACE_MS: Millis = 1_000;
/// Greater than any attempt number of the host that started the generation.
const TAKEOVER_ATTEMPT: u32 = 1_000_000;

/// Whether a generation ran, according to its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunStatus {
    /// It runs, has run, or its holder could not be reached.
    MayHaveRun,
    /// The host that holds it states that it never ran it and never will.
    NeverRan,
}

/// Asks the holder whether a generation ran. Only the host that named it can state that it did not.
pub(crate) async fn query_run_status(node: &Node, name: &str) -> RunStatus {
    let Some(identity) = parse_name(name) else {
        return RunStatus::MayHaveRun;
    };
    let answer = node
        .fetch(identity.host, identity.organisation, name, 0)
        .await;
    match answer {
        Some(FetchAnswer::Tokens {
            end: Some(GenerationEnd::NotRun),
            ..
        }) => RunStatus::NeverRan,
        _ => RunStatus::MayHaveRun,
    }
}

/// Fills a local copy from the host that holds the generation, or from the engine that runs it if
/// that host is unavailable.
pub(crate) async fn mirror(
    node: Arc<Node>,
    copy: Arc<Generation>,
    model: String,
    silence_timeout: Duration,
) {
    let end = match read_from_holder(&node, &copy).await {
        Some(end) => end,
        None => read_from_engines(&node, &copy, &model, silence_timeout).await,
    };
    copy.finish(node.clock().now_ms(), end);
}

/// Copies tokens from the holder; `None` if it doesn't answer or doesn't have the generation.
async fn read_from_holder(node: &Node, copy: &Generation) -> Option<End> {
    let identity = parse_name(copy.name())?;
    let mut last_answer_ms = node.clock().now_ms();
    loop {
        if copy.is_abandoned(node.clock().now_ms(), COPY_GRACE_MS) {
            return Some(End::Abandoned);
        }
        let from = copy.next_index();
        let answer = node
            .fetch(identity.host, identity.organisation, copy.name(), from)
            .await;
        match answer {
            Some(FetchAnswer::Tokens { texts, end }) => {
                last_answer_ms = node.clock().now_ms();
                for (offset, text) in texts.iter().enumerate() {
                    copy.push(from + offset as u32, text);
                }
                match end {
                    None => {}
                    Some(GenerationEnd::Complete { by_length }) => {
                        return Some(End::Complete(if by_length {
                            Finish::Length
                        } else {
                            Finish::Stop
                        }));
                    }
                    // `End::NotRun` needs a proof that only the other host has.
                    Some(GenerationEnd::NotRun | GenerationEnd::OutcomeUnknown) => {
                        return Some(End::OutcomeUnknown);
                    }
                }
            }
            Some(FetchAnswer::Unknown) => return None,
            None => {
                let silent_ms = node.clock().now_ms().saturating_sub(last_answer_ms);
                if silent_ms > HOLDER_TIMEOUT_MS {
                    return None;
                }
                tokio::time::sleep(HOLDER_RETRY_PAUSE).await;
            }
        }
    }
}

/// Continues reading from whichever engine has the generation. Nothing is generated again.
async fn read_from_engines(
    node: &Node,
    copy: &Generation,
    model: &str,
    silence_timeout: Duration,
) -> End {
    info!("attach: querying the engines for {}", copy.name());
    for engine in node.engines_of(model) {
        let request = ResumeRequest {
            generation: copy.name().to_owned(),
            attempt: TAKEOVER_ATTEMPT,
            next_index: copy.next_index(),
        };
        let Ok(mut stream) = engine.resume(&request).await else {
            continue;
        };
        while let Ok(Some(item)) = stream.next(silence_timeout).await {
            match item {
                StreamItem::Token {
                    generation,
                    index,
                    text,
                    ..
                } if generation == copy.name() => {
                    let expected = copy.next_index();
                    if index > expected {
                        break;
                    }
                    if index == expected {
                        copy.push(index, &text);
                    }
                }
                StreamItem::Done {
                    generation,
                    total_tokens,
                    finish,
                    ..
                } if generation == copy.name() && total_tokens == copy.next_index() => {
                    return End::Complete(finish);
                }
                _ => {}
            }
        }
    }
    End::OutcomeUnknown
}
