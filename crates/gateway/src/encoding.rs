//! Encodes the state that hosts replicate.
//!
//! Registrations change often and every change goes to every host, so their form is binary, a
//! quarter of the size of JSON. A large configuration is sent complete from host to host over slow
//! links, several times by each host of the tree, and has to be in force everywhere within the
//! operator's bound.

use bincode::Options;
use fulmarpath_wire::ReplicatedState;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Replicated state could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EncodingError {
    /// The JSON form failed.
    #[error("could not encode or decode JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The binary form failed.
    #[error("could not encode or decode the binary form: {0}")]
    Binary(#[from] bincode::Error),
}

fn is_binary(kind: ReplicatedState) -> bool {
    match kind {
        ReplicatedState::Upstreams
        | ReplicatedState::Configuration
        | ReplicatedState::Members
        | ReplicatedState::Circuits
        | ReplicatedState::Evacuations
        | ReplicatedState::Departures
        | ReplicatedState::UpstreamsPage => true,
        ReplicatedState::StoreUnreadable | ReplicatedState::StoreReadable => false,
    }
}

pub(crate) fn encode<T: Serialize>(
    kind: ReplicatedState,
    value: &T,
) -> Result<Vec<u8>, EncodingError> {
    match is_binary(kind) {
        true => Ok(bincode::DefaultOptions::new().serialize(value)?),
        false => Ok(serde_json::to_vec(value)?),
    }
}

pub(crate) fn decode<T: DeserializeOwned>(
    kind: ReplicatedState,
    bytes: &[u8],
) -> Result<T, EncodingError> {
    match is_binary(kind) {
        true => Ok(bincode::DefaultOptions::new().deserialize(bytes)?),
        false => Ok(serde_json::from_slice(bytes)?),
    }
}
