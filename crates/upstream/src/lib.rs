//! Model engines and plain services: a trait and an HTTP client for each.

mod engine;
mod message;
mod plain;

pub use engine::{Engine, EngineError, HttpEngine, TokenStream};
pub use message::{
    CacheEvent, CacheEvents, EngineState, Finish, GenerateRequest, LoadReport, Order, OrderKind,
    ResumeRequest, StreamItem,
};
pub use plain::{HttpPlain, Plain, PlainCall, PlainError, PlainResponse};
