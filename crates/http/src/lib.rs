//! HTTP helpers on top of hyper: a client with one connection per call, a server loop, and a line
//! reader for streamed bodies.

mod client;
mod connection;
mod connections;
mod dial;
mod error;
mod framing;
mod lines;
mod progress;
mod reset;
mod server;

pub use client::{Call, get, get_request, post_json, post_request, send, send_over};
pub use connection::{Connection, LISTENER_CLOSE_WAIT, is_listening, is_listening_over};
pub use dial::{ByteStream, Dial, TcpDial};
pub use error::HttpError;
pub use lines::Lines;
pub use progress::{BodyError, ResponseBody};
pub use server::{
    Body, BodyInterrupted, ConnectionLimits, FixedLimits, Reply, empty, full, full_body,
    hold_until_sent, json, serve, serve_with_limits, stream, stream_body,
};
