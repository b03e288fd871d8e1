//! Goes on with a generation that another host holds, or held before it died.

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

/// How long a host that doesn't answer is asked again before engines are asked instead.
const HOLDER_BOUND_MS: Millis = 5_000;
const HOLDER_PAUSE: Duration = Duration::from_millis(200);
/// A copy whose reader has left for so long is dropped, lest it keep the generation running.
const COPY_GRACE_MS: Millis = 1_000;
/// Higher than any attempt of the host that started the generation.
const TAKE_OVER_ATTEMPT: u32 = 1_000_000;

/// What a holder says of a generation before any of its tokens are relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It runs or has run.
    Runs,
    /// The host that holds it declares that it never ran it and never will.
    NeverRan,
}

/// Asks whether a generation ran. Only its own host may say that it did not.
pub(crate) async fn standing(node: &Node, name: &str) -> Standing {
    let Some(identity) = parse_name(name) else {
        return Standing::Runs;
    };
    let answer = node
        .fetch(identity.host, identity.organisation, name, 0)
        .await;
    match answer {
        Some(FetchAnswer::Tokens {
            end: Some(GenerationEnd::NotRun),
            ..
        }) => Standing::NeverRan,
        _ => Standing::Runs,
    }
}

/// Fills a local copy from the host that holds the generation, or from the engine that runs it
/// where that host is gone.
pub(crate) async fn mirror(
    node: Arc<Node>,
    copy: Arc<Generation>,
    model: String,
    silence: Duration,
) {
    let end = match follow(&node, &copy).await {
        Some(end) => end,
        None => take_over(&node, &copy, &model, silence).await,
    };
    copy.finish(node.clock().now_ms(), end);
}

/// Follows the holder; `None` where it is gone or has forgotten.
async fn follow(node: &Node, copy: &Generation) -> Option<End> {
    let identity = parse_name(copy.name())?;
    let mut heard_ms = node.clock().now_ms();
    loop {
        if copy.is_left(node.clock().now_ms(), COPY_GRACE_MS) {
            return Some(End::Abandoned);
        }
        let from = copy.next_index();
        let answer = node
            .fetch(identity.host, identity.organisation, copy.name(), from)
            .await;
        match answer {
            Some(FetchAnswer::Tokens { texts, end }) => {
                heard_ms = node.clock().now_ms();
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
                    // This caller's own request can't prove what another host's did.
                    Some(GenerationEnd::NotRun | GenerationEnd::OutcomeUnknown) => {
                        return Some(End::OutcomeUnknown);
                    }
                }
            }
            Some(FetchAnswer::Unknown) => return None,
            None => {
                let silent_ms = node.clock().now_ms().saturating_sub(heard_ms);
                if silent_ms > HOLDER_BOUND_MS {
                    return None;
                }
                tokio::time::sleep(HOLDER_PAUSE).await;
            }
        }
    }
}

/// Reads on from whichever engine knows the generation. Nothing is generated again.
async fn take_over(node: &Node, copy: &Generation, model: &str, silence: Duration) -> End {
    info!("attach: looking for {} on the engines", copy.name());
    for engine in node.engines_of(model) {
        let request = ResumeRequest {
            generation: copy.name().to_owned(),
            attempt: TAKE_OVER_ATTEMPT,
            next_index: copy.next_index(),
        };
        let Ok(mut stream) = engine.resume(&request).await else {
            continue;
        };
        while let Ok(Some(item)) = stream.next(silence).await {
            match item {
                StreamItem::Token {
                    generation,
                    index,
                    text,
                    ..
                } if generation == copy.name() => {
                    let wanted = copy.next_index();
                    if index > wanted {
                        break;
                    }
                    if index == wanted {
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
