//! Which requests a stopping host still accepts.

use fulmarpath_policy::Millis;

/// Time per output token on a loaded engine: one and a half times that of an engine under normal
/// load.
const TOKEN_MS: Millis = 16;
/// Time to the first token on a loaded engine.
const FIRST_TOKEN_MS: Millis = 1_500;

/// Whether a generation of at most `limit_tokens` is certain to end before the process does.
///
/// A stream that is cut by the end of the process is lost to its caller, which may not retry; a
/// request that is refused as not run is served by another host in time.
pub(crate) fn can_finish(now_ms: Millis, ends_ms: Millis, limit_tokens: u32) -> bool {
    let longest_ms = FIRST_TOKEN_MS + Millis::from(limit_tokens) * TOKEN_MS;
    now_ms + longest_ms <= ends_ms
}
