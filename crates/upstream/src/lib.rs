//! Model engines and plain services: a trait each, and its hyper client.

mod engine;
mod message;
mod plain;

pub use engine::{Engine, EngineError, HttpEngine, TokenStream};
pub use message::{
    CacheEvent, CacheEvents, EngineState, Finish, GenerateRequest, LoadReport, Order, OrderKind,
    ResumeRequest, StreamItem,
};
pub use plain::{HttpPlain, Plain, PlainCall, PlainError, PlainResponse};
