//! The settings of one host.

use std::net::SocketAddr;
use std::path::Path;

use crate::diagnostic::{DiagnosticKind, SettingsDiagnostics};
use crate::reader::{Fields, Reader};

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// The settings that a host needs before it can contact the platform or its peers.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// The host's unique name.
    pub host: String,
    /// The data centre where it runs.
    pub data_centre: String,
    /// Listening address for callers and operators.
    pub caller_address: SocketAddr,
    /// Listening address for its peers.
    pub peer_address: SocketAddr,
    /// Address of the platform's object API.
    pub object_api_address: SocketAddr,
    /// Address of the platform's host list.
    pub host_list_address: SocketAddr,
    /// How long a shutdown keeps accepting connections, so that the load balancer detects that the
    /// host is unready.
    pub linger_ms: u64,
    /// How long a shutdown waits for running requests.
    pub drain_bound_ms: u64,
    /// Silence after which an engine's stream is resumed over a new connection.
    pub silence_bound_ms: u64,
    /// Response timeout of plain services.
    pub plain_bound_ms: u64,
    /// Longest request head.
    pub header_limit_bytes: usize,
    /// Longest request body.
    pub body_limit_bytes: usize,
    /// Limit of concurrent open requests.
    pub stream_limit: usize,
    /// SHA-256, in hex, of the operators' key.
    pub operator_key_sha256: String,
    /// OTLP endpoint for traces; no traces are exported if absent.
    pub otlp_address: Option<SocketAddr>,
    /// Format of log lines.
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
        reader.reject_unknown(fields);
        settings
    });
    match settings {
        Some(settings) if reader.diagnostics.is_empty() => Ok(settings),
        _ => Err(SettingsDiagnostics(reader.diagnostics)),
    }
}

fn read(reader: &mut Reader, fields: &mut Fields) -> Option<HostSettings> {
    let host = reader.string(fields, "host");
    let data_centre = reader.string(fields, "data_centre");
    let caller_address = reader.address(fields, "caller_address");
    let peer_address = reader.address(fields, "peer_address");
    let object_api_address = reader.address(fields, "object_api_address");
    let host_list_address = reader.address(fields, "host_list_address");
    let linger = reader.integer(fields, "linger_ms", 0..=600_000, Some(5_000));
    let drain = reader.integer(fields, "drain_bound_ms", 0..=3_600_000, Some(600_000));
    let silence = reader.integer(fields, "silence_bound_ms", 50..=60_000, Some(2_000));
    let plain = reader.integer(fields, "plain_bound_ms", 100..=600_000, Some(30_000));
    let header = reader.integer(
        fields,
        "header_limit_bytes",
        8_192..=1_048_576,
        Some(16_384),
    );
    let body = reader.integer(
        fields,
        "body_limit_bytes",
        1_024..=67_108_864,
        Some(4_194_304),
    );
    let streams = reader.integer(fields, "stream_limit", 1..=1_000_000, Some(4_096));
    let operator_key = reader.string(fields, "operator_key_sha256");
    let otlp_address = if reader.contains_field(fields, "otlp_address") {
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
    if !reader.contains_field(fields, "log_form") {
        return Some(LogFormat::Text);
    }
    let (log_format, position) = reader.string(fields, "log_form")?;
    match log_format.as_str() {
        "text" => Some(LogFormat::Text),
        "json" => Some(LogFormat::Json),
        _ => {
            let field = "log_form".into();
            let kind = DiagnosticKind::Range {
                field,
                value: log_format,
            };
            reader.report(position, kind, "use `text` or `json`");
            None
        }
    }
}
