//! How what hosts hold passes between them.
//!
//! Registrations change often, and every host hears of each change: their form is binary, a quarter of
//! JSON. A large configuration goes whole from host to host over slow links, several times from each host
//! of the tree, and has to be in force everywhere within the operator's bound.

use bincode::Options;
use fulmarpath_wire::ReplicatedState;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// What a host holds could not be written or read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EncodingError {
    /// The JSON form.
    #[error("could not read or write JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The binary form.
    #[error("could not read or write the binary form: {0}")]
    Binary(#[from] bincode::Error),
}

fn is_binary(holding: ReplicatedState) -> bool {
    match holding {
        ReplicatedState::Upstreams
        | ReplicatedState::Configuration
        | ReplicatedState::Members
        | ReplicatedState::Circuits
        | ReplicatedState::Evacuations => true,
        ReplicatedState::StoreUnreadable => false,
    }
}

pub(crate) fn encode<T: Serialize>(
    holding: ReplicatedState,
    value: &T,
) -> Result<Vec<u8>, EncodingError> {
    match is_binary(holding) {
        true => Ok(bincode::DefaultOptions::new().serialize(value)?),
        false => Ok(serde_json::to_vec(value)?),
    }
}

pub(crate) fn decode<T: DeserializeOwned>(
    holding: ReplicatedState,
    bytes: &[u8],
) -> Result<T, EncodingError> {
    match is_binary(holding) {
        true => Ok(bincode::DefaultOptions::new().deserialize(bytes)?),
        false => Ok(serde_json::from_slice(bytes)?),
    }
}
