//! One host's own settings.

use std::net::SocketAddr;
use std::path::Path;

use crate::diagnostic::{DiagnosticKind, SettingsDiagnostics};
use crate::reader::{Fields, Reader};

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// What a host must know before it can ask anybody.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Its unique name.
    pub host: String,
    /// Where it stands.
    pub data_centre: String,
    /// Where callers and operators reach it.
    pub caller_address: SocketAddr,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// The platform's object API.
    pub object_api_address: SocketAddr,
    /// The platform's host list.
    pub host_list_address: SocketAddr,
    /// How long a stop goes on answering, so that the balancer has seen that the host is unready.
    pub linger_ms: u64,
    /// How long a stop waits for running requests.
    pub drain_bound_ms: u64,
    /// Silence after which an engine's stream is resumed over a new connection.
    pub silence_bound_ms: u64,
    /// How long a plain service may take to answer.
    pub plain_bound_ms: u64,
    /// Longest head of a request.
    pub header_limit_bytes: usize,
    /// Longest body of a request.
    pub body_limit_bytes: usize,
    /// Streams at once.
    pub stream_limit: usize,
    /// SHA-256, in hex, of the operators' key.
    pub operator_key_sha256: String,
    /// Where to send traces by OTLP; nowhere if it isn't written.
    pub otlp_address: Option<SocketAddr>,
    /// The form of log lines.
    pub log_form: LogFormat,
}

/// Reads a host's settings.
///
/// # Errors
/// All diagnostics of the file at once.
pub fn read_host(file: &Path) -> Result<HostSettings, SettingsDiagnostics> {
    let mut reader = Reader::new(file);
    let settings = reader.open().and_then(|mut fields| {
        let settings = read(&mut reader, &mut fields);
        reader.close(fields);
        settings
    });
    match settings {
        Some(settings) if reader.diagnostics.is_empty() => Ok(settings),
        _ => Err(SettingsDiagnostics(reader.diagnostics)),
    }
}

fn read(reader: &mut Reader, fields: &mut Fields) -> Option<HostSettings> {
    let host = reader.text(fields, "host");
    let data_centre = reader.text(fields, "data_centre");
    let caller_address = reader.address(fields, "caller_address");
    let peer_address = reader.address(fields, "peer_address");
    let object_api_address = reader.address(fields, "object_api_address");
    let host_list_address = reader.address(fields, "host_list_address");
    let linger = reader.count(fields, "linger_ms", 0..=600_000, Some(5_000));
    let drain = reader.count(fields, "drain_bound_ms", 0..=3_600_000, Some(600_000));
    let silence = reader.count(fields, "silence_bound_ms", 50..=60_000, Some(2_000));
    let plain = reader.count(fields, "plain_bound_ms", 100..=600_000, Some(30_000));
    let header = reader.count(
        fields,
        "header_limit_bytes",
        8_192..=1_048_576,
        Some(16_384),
    );
    let body = reader.count(
        fields,
        "body_limit_bytes",
        1_024..=67_108_864,
        Some(4_194_304),
    );
    let streams = reader.count(fields, "stream_limit", 1..=1_000_000, Some(4_096));
    let operator_key = reader.text(fields, "operator_key_sha256");
    let otlp_address = if reader.has(fields, "otlp_address") {
        reader.address(fields, "otlp_address")
    } else {
        None
    };
    let log_form = log_form(reader, fields);
    Some(HostSettings {
        host: host?.0,
        data_centre: data_centre?.0,
        caller_address: caller_address?,
        peer_address: peer_address?,
        object_api_address: object_api_address?,
        host_list_address: host_list_address?,
        linger_ms: linger?,
        drain_bound_ms: drain?,
        silence_bound_ms: silence?,
        plain_bound_ms: plain?,
        header_limit_bytes: header? as usize,
        body_limit_bytes: body? as usize,
        stream_limit: streams? as usize,
        operator_key_sha256: operator_key?.0,
        otlp_address,
        log_form: log_form?,
    })
}

fn log_form(reader: &mut Reader, fields: &mut Fields) -> Option<LogFormat> {
    if !reader.has(fields, "log_form") {
        return Some(LogFormat::Text);
    }
    let (form, place) = reader.text(fields, "log_form")?;
    match form.as_str() {
        "text" => Some(LogFormat::Text),
        "json" => Some(LogFormat::Json),
        _ => {
            let field = "log_form".into();
            let kind = DiagnosticKind::Range { field, value: form };
            reader.diagnostic(place, kind, "use `text` or `json`");
            None
        }
    }
}
