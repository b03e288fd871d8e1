//! Operators' HTTP interface: configuration changes, history and the status of the hosts.

use std::sync::Arc;

use bytes::Bytes;
use fulmarpath_cluster::{Change, PublishError};
use fulmarpath_http::{Reply, json};
use fulmarpath_settings::Declarations;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::problem::Problem;
use crate::server::Entry;

#[derive(Deserialize)]
struct ApplyBody {
    declarations: Declarations,
    onto: Option<u64>,
}

#[derive(Deserialize)]
struct PresetBody {
    preset: String,
}

#[derive(Deserialize)]
struct RollbackBody {
    to: u64,
}

#[derive(Serialize)]
struct Accepted {
    revision: u64,
}

#[derive(Serialize)]
struct MemberStatus {
    host: String,
    revision: Option<u64>,
}

#[derive(Serialize)]
struct Status {
    host: String,
    revision: u64,
    preset: String,
    takes_work: bool,
    running: usize,
    members: Vec<MemberStatus>,
}

/// Handles an operator's request.
pub(crate) async fn handle(
    entry: &Arc<Entry>,
    method: &Method,
    path: &str,
    body: Bytes,
) -> Result<Reply, Problem> {
    match (method, path) {
        (&Method::POST, "/operator/apply") => {
            let body: ApplyBody = decode(&body)?;
            let change = Change::Apply {
                declarations: Box::new(body.declarations),
                onto: body.onto,
            };
            publish(entry, &change).await
        }
        (&Method::POST, "/operator/preset") => {
            let body: PresetBody = decode(&body)?;
            let preset = body.preset;
            publish(entry, &Change::UsePreset { preset }).await
        }
        (&Method::POST, "/operator/rollback") => {
            let body: RollbackBody = decode(&body)?;
            publish(entry, &Change::Rollback { to: body.to }).await
        }
        (&Method::GET, "/operator/declarations") => {
            let configuration = entry.node.active_configuration();
            let declarations = configuration.map(|active| active.declarations.clone());
            Ok(json(StatusCode::OK, &declarations.unwrap_or_default()))
        }
        (&Method::GET, "/operator/history") => {
            let configuration = entry.node.active_configuration();
            let history = configuration.map(|active| active.root.history.clone());
            Ok(json(StatusCode::OK, &history.unwrap_or_default()))
        }
        (&Method::GET, "/operator/status") => Ok(json(StatusCode::OK, &status(entry).await)),
        _ => Err(Problem::NotFound {
            what: "this operator path",
        }),
    }
}

async fn status(entry: &Arc<Entry>) -> Status {
    let configuration = entry.node.active_configuration();
    let revisions = entry.node.revisions().await.into_iter();
    let members = revisions.map(|(host, revision)| MemberStatus { host, revision });
    Status {
        host: entry.node.host().to_owned(),
        revision: configuration
            .as_ref()
            .map_or(0, |active| active.root.revision),
        preset: configuration.map_or(String::new(), |active| active.root.preset.clone()),
        takes_work: entry.node.takes_work(),
        running: entry.registry.running(),
        members: members.collect(),
    }
}

async fn publish(entry: &Arc<Entry>, change: &Change) -> Result<Reply, Problem> {
    match entry.node.publish(change).await {
        Ok(revision) => Ok(json(StatusCode::OK, &Accepted { revision })),
        Err(error) => Err(problem(&error)),
    }
}

fn problem(error: &PublishError) -> Problem {
    let detail = error.to_string();
    match error {
        PublishError::Conflict { .. } => Problem::Conflict { detail },
        PublishError::Unsure { .. } => Problem::ChangeUnknown { detail },
        _ => Problem::Unacceptable { detail },
    }
}

fn decode<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|_| Problem::Malformed {
        what: "the body of an operator's request",
    })
}
