//! `fulmarpath dev`: three hosts and their stand-in upstreams in one process.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec};
use fulmarpath::init_log;
use fulmarpath::settings::LogFormat;
use fulmarpath_http::{Lines, send};
use http_body_util::Full;
use hyper::Request;
use hyper::header::AUTHORIZATION;

use super::{Run, block_on};
use crate::error::CommandError;

/// Run a complete trial deployment on loopback
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Dev {
    /// Stream the completion of one prompt and exit
    #[bpaf(argument("TEXT"))]
    ask: Option<String>,
}

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(30_000);

impl Run for Dev {
    fn run(&self) -> Result<(), CommandError> {
        if self.ask.is_none() {
            init_log(LogFormat::Text)?;
        } else {
            spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        }
        block_on(async {
            let deployment = Deployment::start(DeploymentSpec::default()).await?;
            let address = deployment.caller_address(0);
            match &self.ask {
                Some(prompt) => stream_completion(address, prompt).await,
                None => {
                    println!("{}", curl_command(address));
                    let _ = tokio::signal::ctrl_c().await;
                    Ok(())
                }
            }
        })
    }
}

fn curl_command(address: SocketAddr) -> String {
    format!(
        "curl -N http://{address}/v1/completions -H 'Authorization: Bearer {CALLER_KEY}' \
         -d '{{\"model\": \"reports\", \"prompt\": \"flap track wear\", \"stream\": true}}'"
    )
}

async fn stream_completion(address: SocketAddr, prompt: &str) -> Result<(), CommandError> {
    let no_response = || CommandError::NoResponse { address };
    let body = serde_json::json!({ "model": "reports", "prompt": prompt, "stream": true });
    let request = Request::post("/v1/completions")
        .header(AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
        .body(Full::new(body.to_string().into()))
        .map_err(|_| no_response())?;
    let call = send(address, request, RESPONSE_TIMEOUT).await;
    let call = call.map_err(|_| no_response())?;
    if !call.status().is_success() {
        let detail = format!("status {}", call.status());
        return Err(CommandError::Rejected { detail });
    }
    let mut lines = Lines::new(call);
    loop {
        let line = lines
            .next(RESPONSE_TIMEOUT)
            .await
            .map_err(|_| no_response())?;
        let line = line.ok_or_else(no_response)?;
        let Some(data) = line.strip_prefix(b"data: ") else {
            continue;
        };
        if data == b"[DONE]" {
            println!();
            return Ok(());
        }
        let chunk: serde_json::Value = serde_json::from_slice(data).map_err(|_| no_response())?;
        print!(
            "{}",
            chunk["choices"][0]["text"].as_str().unwrap_or_default()
        );
        let _ = std::io::stdout().flush();
    }
}
