//! HTTP helpers on top of hyper: a client with one connection per call, a server loop, and a line
//! reader for streamed bodies.

mod client;
mod connection;
mod error;
mod lines;
mod reset;
mod server;

pub use client::{Call, get, post_json, send};
pub use connection::{Connection, LISTENER_CLOSE_WAIT, is_listening};
pub use error::HttpError;
pub use lines::Lines;
pub use server::{
    Body, BodyInterrupted, ConnectionLimits, FixedLimits, Reply, empty, full, full_body,
    hold_until_sent, json, serve, serve_with_limits, stream, stream_body,
};
