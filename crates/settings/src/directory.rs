//! Reads a directory of declarations and validates it across its files.

use std::collections::HashSet;
use std::path::Path;

use crate::declarations::{Declarations, Model, Organisation, Preset, Service, ServiceKind};
use crate::diagnostic::{DiagnosticKind, SettingsDiagnostics};
use crate::reader::{Fields, Position, Reader};

/// The check in `engine_checks` by which engines refuse orders with a stale fencing number.
const FENCING_CHECK: &str = "fencing";

/// Reads `organisations.yaml`, `services.yaml`, `models.yaml` and `presets.yaml` of a directory.
///
/// # Errors
/// All diagnostics of all four files at once.
pub fn read_declarations(directory: &Path) -> Result<Declarations, SettingsDiagnostics> {
    let mut diagnostics = Vec::new();
    let mut declarations = Declarations::default();
    let mut reader = Reader::new(&directory.join("models.yaml"));
    let models = read_items(&mut reader, "models", "model", read_model);
    diagnostics.append(&mut reader.diagnostics);
    declarations.models = models;
    let model_names: HashSet<_> = declarations.models.iter().map(|item| &item.name).collect();

    let mut reader = Reader::new(&directory.join("services.yaml"));
    declarations.services = read_items(&mut reader, "services", "service", |reader, fields| {
        read_service(reader, fields, &model_names)
    });
    diagnostics.append(&mut reader.diagnostics);

    let mut reader = Reader::new(&directory.join("organisations.yaml"));
    declarations.organisations = read_items(
        &mut reader,
        "organisations",
        "organisation",
        read_organisation,
    );
    diagnostics.append(&mut reader.diagnostics);

    let services: HashSet<_> = declarations
        .services
        .iter()
        .map(|item| &item.name)
        .collect();
    let mut reader = Reader::new(&directory.join("presets.yaml"));
    declarations.presets = read_items(&mut reader, "presets", "preset", |reader, fields| {
        read_preset(reader, fields, &services)
    });
    diagnostics.append(&mut reader.diagnostics);
    if diagnostics.is_empty() {
        Ok(declarations)
    } else {
        Err(SettingsDiagnostics(diagnostics))
    }
}

/// Reads a list of named items and reports duplicate names.
fn read_items<T>(
    reader: &mut Reader,
    list: &'static str,
    what: &'static str,
    mut read: impl FnMut(&mut Reader, &mut Fields) -> Option<(String, Position, T)>,
) -> Vec<T> {
    let Some(mut file) = reader.open() else {
        return Vec::new();
    };
    let mut seen = HashSet::new();
    let mut items = Vec::new();
    for mut fields in reader.maps(&mut file, list) {
        let item = read(reader, &mut fields);
        reader.reject_unknown(fields);
        let Some((name, position, item)) = item else {
            continue;
        };
        if !seen.insert(name.clone()) {
            let kind = DiagnosticKind::Duplicate { what, name };
            reader.report(position, kind, "rename or remove one of the two");
        }
        items.push(item);
    }
    reader.reject_unknown(file);
    items
}

fn read_model(reader: &mut Reader, fields: &mut Fields) -> Option<(String, Position, Model)> {
    let name = reader.name(fields);
    let version = reader.string(fields, "version");
    let memory_tokens = reader.integer(fields, "memory_tokens", 256..=100_000_000, None);
    let prompt = reader.number(fields, "prompt_ms_per_token", 0.0..=100.0, Some(0.1));
    let checks_fencing = read_engine_checks(reader, fields);
    let (name, position) = name?;
    let model = Model {
        name: name.clone(),
        version: version?.0,
        memory_tokens: memory_tokens? as u32,
        prompt_ms_per_token: prompt? as f32,
        checks_fencing,
    };
    Some((name, position, model))
}

/// Reads which checks a model's engines make; returns whether they check fencing numbers.
fn read_engine_checks(reader: &mut Reader, fields: &mut Fields) -> bool {
    let mut checks_fencing = false;
    for (check, position) in reader.strings(fields, "engine_checks") {
        if check == FENCING_CHECK {
            checks_fencing = true;
            continue;
        }
        let kind = DiagnosticKind::Range {
            field: "engine_checks".into(),
            value: check,
        };
        reader.report(position, kind, format!("use `{FENCING_CHECK}`"));
    }
    checks_fencing
}

fn read_service(
    reader: &mut Reader,
    fields: &mut Fields,
    models: &HashSet<&String>,
) -> Option<(String, Position, Service)> {
    let name = reader.name(fields);
    let kind = if reader.contains_field(fields, "model") {
        read_generation_kind(reader, fields, models)
    } else {
        read_plain_kind(reader, fields)
    };
    let (name, position) = name?;
    let service = Service {
        name: name.clone(),
        kind: kind?,
    };
    Some((name, position, service))
}

fn read_generation_kind(
    reader: &mut Reader,
    fields: &mut Fields,
    models: &HashSet<&String>,
) -> Option<ServiceKind> {
    let model = reader.string(fields, "model");
    let output = reader.integer(fields, "output_limit_tokens", 1..=65_000, None);
    let prompt = reader.integer(fields, "prompt_limit_tokens", 1..=1_000_000, None);
    let (model, position) = model?;
    if !models.contains(&model) {
        let kind = DiagnosticKind::Undeclared {
            what: "model",
            name: model.clone(),
        };
        reader.report(position, kind, "declare it in models.yaml");
    }
    Some(ServiceKind::Generation {
        model,
        output_limit_tokens: output? as u32,
        prompt_limit_tokens: prompt? as u32,
    })
}

fn read_plain_kind(reader: &mut Reader, fields: &mut Fields) -> Option<ServiceKind> {
    const METHODS: [&str; 5] = ["GET", "HEAD", "POST", "PUT", "DELETE"];
    let mut repeatable_methods = Vec::new();
    for (method, position) in reader.strings(fields, "repeatable_methods") {
        if !METHODS.contains(&method.as_str()) {
            let kind = DiagnosticKind::Undeclared {
                what: "method",
                name: method,
            };
            reader.report(position, kind, "use GET, HEAD, POST, PUT or DELETE");
            continue;
        }
        repeatable_methods.push(method);
    }
    Some(ServiceKind::Plain { repeatable_methods })
}

fn read_organisation(
    reader: &mut Reader,
    fields: &mut Fields,
) -> Option<(String, Position, Organisation)> {
    let name = reader.name(fields);
    let keys = reader.strings(fields, "key_sha256");
    if keys.is_empty() {
        let kind = DiagnosticKind::Missing {
            field: "key_sha256",
        };
        reader.report(fields.position(), kind, "add the hash of at least one key");
    }
    for (hash, position) in &keys {
        let is_hash = hash.len() == 64 && hash.chars().all(|digit| digit.is_ascii_hexdigit());
        if !is_hash {
            let kind = DiagnosticKind::Type {
                field: "key_sha256".into(),
                expected: "64 hex digits",
            };
            reader.report(*position, kind, "write the key's SHA-256, never the key");
        }
    }
    let weight = reader.number(fields, "weight", 0.01..=10_000.0, Some(1.0));
    let rate = reader.number(fields, "requests_per_s", 0.01..=100_000.0, None);
    let concurrent = reader.integer(fields, "concurrent_requests", 1..=1_000_000, None);
    let (name, position) = name?;
    let organisation = Organisation {
        name: name.clone(),
        key_sha256: keys.into_iter().map(|(hash, _)| hash).collect(),
        weight: weight? as f32,
        requests_per_s: rate? as f32,
        concurrent_requests: concurrent? as u32,
    };
    Some((name, position, organisation))
}

fn read_preset(
    reader: &mut Reader,
    fields: &mut Fields,
    services: &HashSet<&String>,
) -> Option<(String, Position, Preset)> {
    let name = reader.name(fields);
    let refuse_after = reader.integer(fields, "refuse_after_ms", 100..=600_000, Some(10_000));
    let lend_share = reader.number(fields, "lend_share", 0.1..=1.0, Some(0.95));
    let mut weights = [Some(1.0), Some(1.0), Some(1.0)];
    if let Some(mut map) = reader.map(fields, "weights") {
        let names = ["stall", "preemptions", "between_tokens"];
        for (slot, name) in weights.iter_mut().zip(names) {
            *slot = reader.number(&mut map, name, 0.0..=1_000.0, Some(1.0));
        }
        reader.reject_unknown(map);
    }
    let closed_services = reader.strings(fields, "closed_services");
    for (service, position) in &closed_services {
        if !services.contains(service) {
            let kind = DiagnosticKind::Undeclared {
                what: "service",
                name: service.clone(),
            };
            reader.report(*position, kind, "declare it in services.yaml");
        }
    }
    let closed_centres = reader.strings(fields, "closed_data_centres");
    let (name, position) = name?;
    let [stall, preemptions, between_tokens] = weights;
    let preset = Preset {
        name: name.clone(),
        refuse_after_ms: refuse_after?,
        stall_weight: stall? as f32,
        preemptions_weight: preemptions? as f32,
        between_tokens_weight: between_tokens? as f32,
        lend_share: lend_share? as f32,
        closed_services: closed_services.into_iter().map(|(name, _)| name).collect(),
        closed_data_centres: closed_centres.into_iter().map(|(name, _)| name).collect(),
    };
    Some((name, position, preset))
}
