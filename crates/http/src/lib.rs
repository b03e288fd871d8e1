//! Small helpers over hyper: one call on one connection, a server loop, and lines of a streamed body.

mod client;
mod error;
mod lines;
mod server;

pub use client::{Call, get, post_json, send};
pub use error::HttpError;
pub use lines::Lines;
pub use server::{Body, Reply, empty, full, json, serve, stream};
