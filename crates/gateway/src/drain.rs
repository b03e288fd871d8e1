//! What a stopping host still takes.

use fulmarpath_policy::Millis;

/// Time for one token of an answer, with room for a crowded engine: half as long again as on an
/// engine of usual load.
const TOKEN_MS: Millis = 16;
/// Time until a prompt has been read on a busy engine.
const FIRST_TOKEN_MS: Millis = 1_500;

/// Whether a generation of at most `limit_tokens` surely ends before the process does.
///
/// A stream that the end of the process cuts is lost to its caller, who may not ask again; one
/// that is refused as not run is served by another host in time.
pub(crate) fn can_finish(now_ms: Millis, ends_ms: Millis, limit_tokens: u32) -> bool {
    let longest_ms = FIRST_TOKEN_MS + Millis::from(limit_tokens) * TOKEN_MS;
    now_ms + longest_ms <= ends_ms
}
