//! The text that a stand-in model generates. It depends only on the prompt, so that any engine can
//! continue a generation exactly where another stopped.

use xxhash_rust::xxh3::xxh3_64;

const WORDS: [&str; 16] = [
    "panel",
    "record",
    "flap",
    "garden",
    "guest",
    "engine",
    "finding",
    "inn",
    "seal",
    "return",
    "breakfast",
    "strut",
    "river",
    "blade",
    "room",
    "log",
];

/// Text of the token at `index` of the answer to `prompt`.
pub fn answer_token(prompt: &str, index: u32) -> String {
    let seed = xxh3_64(prompt.as_bytes());
    let hash = xxh3_64(&[seed.to_le_bytes(), u64::from(index).to_le_bytes()].concat());
    format!("{}{index} ", WORDS[(hash % WORDS.len() as u64) as usize])
}

/// Number of tokens in the complete answer: N if the prompt contains `#N`, otherwise 16 to 63 by
/// the hash of the prompt; at most `limit_tokens`.
pub fn answer_length(prompt: &str, limit_tokens: u32) -> u32 {
    let requested_length = prompt
        .split_once('#')
        .and_then(|(_, rest)| rest.split_whitespace().next())
        .and_then(|count| count.parse().ok());
    let default_length = 16 + (xxh3_64(prompt.as_bytes()) % 48) as u32;
    requested_length
        .unwrap_or(default_length)
        .clamp(1, limit_tokens.max(1))
}

/// Number of tokens of a prompt, at four bytes per token.
pub fn prompt_tokens(prompt: &str) -> u32 {
    (prompt.len() as u32).div_ceil(4).max(1)
}
