//! Small helpers over hyper: one call on one connection, a server loop, and lines of a streamed body.

mod client;
mod connection;
mod error;
mod lines;
mod server;

pub use client::{Call, get, post_json, send};
pub use connection::{CLOSING_WAIT, Connection, still_listens};
pub use error::HttpError;
pub use lines::Lines;
pub use server::{
    Body, BodyBroken, ConnectionRules, FixedRules, Reply, empty, full, json, serve, serve_by,
    stream, streamed, whole,
};
