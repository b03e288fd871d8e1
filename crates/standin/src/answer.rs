//! The answer that a stand-in model gives: a function of the prompt alone, so that any engine goes
//! on exactly where another stopped.

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

/// The text of the answer's token at `index`.
pub fn answer_token(prompt: &str, index: u32) -> String {
    let seed = xxh3_64(prompt.as_bytes());
    let hash = xxh3_64(&[seed.to_le_bytes(), u64::from(index).to_le_bytes()].concat());
    format!("{}{index} ", WORDS[(hash % WORDS.len() as u64) as usize])
}

/// How many tokens the whole answer has; a prompt with `#N` asks for N.
pub fn answer_length(prompt: &str, limit_tokens: u32) -> u32 {
    let asked = prompt
        .split_once('#')
        .and_then(|(_, rest)| rest.split_whitespace().next())
        .and_then(|count| count.parse().ok());
    let drawn = 16 + (xxh3_64(prompt.as_bytes()) % 48) as u32;
    asked.unwrap_or(drawn).clamp(1, limit_tokens.max(1))
}

/// How many tokens a prompt has, at four bytes a token.
pub fn prompt_tokens(prompt: &str) -> u32 {
    (prompt.len() as u32).div_ceil(4).max(1)
}
