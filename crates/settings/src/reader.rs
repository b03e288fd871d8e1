//! Reads typed fields from a YAML tree and collects diagnostics.

use std::path::{Path, PathBuf};

use serde_saphyr::{Location, Spanned};

use crate::diagnostic::{DiagnosticKind, SettingsDiagnostic};
use crate::tree::Node;

/// Reader of one file, with the diagnostics found so far.
#[derive(Debug)]
pub(crate) struct Reader {
    file: PathBuf,
    pub(crate) diagnostics: Vec<SettingsDiagnostic>,
}

/// A position in a file.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Position {
    line: u64,
    column: u64,
}

impl From<Location> for Position {
    fn from(location: Location) -> Self {
        Self {
            line: location.line(),
            column: location.column(),
        }
    }
}

/// A map whose fields are removed as they are read; the remaining ones are unknown.
#[derive(Debug)]
pub(crate) struct Fields {
    position: Position,
    fields: Vec<(Spanned<String>, Spanned<Node>)>,
}

impl Fields {
    pub(crate) fn position(&self) -> Position {
        self.position
    }

    fn take(&mut self, name: &str) -> Option<Spanned<Node>> {
        let index = self.fields.iter().position(|(key, _)| key.value == name)?;
        Some(self.fields.remove(index).1)
    }
}

impl Reader {
    pub(crate) fn new(file: &Path) -> Self {
        Self {
            file: file.to_owned(),
            diagnostics: Vec::new(),
        }
    }

    /// Reads the file's outermost map.
    pub(crate) fn open(&mut self) -> Option<Fields> {
        let Ok(text) = std::fs::read_to_string(&self.file) else {
            let position = Position { line: 0, column: 0 };
            let hint = "create it, or check its permissions";
            self.report(position, DiagnosticKind::Unreadable, hint);
            return None;
        };
        self.parse(&text)
    }

    fn parse(&mut self, text: &str) -> Option<Fields> {
        match serde_saphyr::from_str::<Spanned<Node>>(text) {
            Ok(node) => self.fields(node, "the file"),
            Err(error) => {
                let position = error
                    .location()
                    .map_or(Position { line: 1, column: 1 }, Position::from);
                let reason = error.without_snippet().to_string();
                let reason = reason.lines().next().unwrap_or_default().to_owned();
                let hint = "check quotes, colons and indentation";
                self.report(position, DiagnosticKind::Syntax { reason }, hint);
                None
            }
        }
    }

    pub(crate) fn report(
        &mut self,
        position: Position,
        kind: DiagnosticKind,
        hint: impl Into<String>,
    ) {
        self.diagnostics.push(SettingsDiagnostic {
            file: self.file.clone(),
            line: position.line,
            column: position.column,
            kind,
            hint: hint.into(),
        });
    }

    fn report_wrong_type(&mut self, position: Position, field: &str, expected: &'static str) {
        let kind = DiagnosticKind::Type {
            field: field.into(),
            expected,
        };
        self.report(position, kind, format!("write {expected} here"));
    }

    fn fields(&mut self, node: Spanned<Node>, name: &str) -> Option<Fields> {
        let position = Position::from(node.referenced);
        match node.value {
            Node::Map(fields) => Some(Fields { position, fields }),
            _ => {
                self.report_wrong_type(position, name, "a map of fields");
                None
            }
        }
    }

    fn required(&mut self, fields: &mut Fields, name: &'static str) -> Option<Spanned<Node>> {
        let node = fields.take(name);
        if node.is_none() {
            let kind = DiagnosticKind::Missing { field: name };
            self.report(fields.position, kind, format!("add `{name}:`"));
        }
        node
    }

    pub(crate) fn string(
        &mut self,
        fields: &mut Fields,
        name: &'static str,
    ) -> Option<(String, Position)> {
        let node = self.required(fields, name)?;
        let position = Position::from(node.referenced);
        match node.value {
            Node::Text(text) if !text.is_empty() => Some((text, position)),
            _ => {
                self.report_wrong_type(position, name, "a text");
                None
            }
        }
    }

    /// Reads a string that is used as a name in paths, keys and labels.
    pub(crate) fn name(&mut self, fields: &mut Fields) -> Option<(String, Position)> {
        let (name, position) = self.string(fields, "name")?;
        let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        if name.len() <= 64 && name.chars().all(is_allowed) {
            return Some((name, position));
        }
        let hint = "use at most 64 letters, digits, `-`, `_` and `.`";
        self.report(position, DiagnosticKind::Name { name }, hint);
        None
    }

    pub(crate) fn contains_field(&self, fields: &Fields, name: &str) -> bool {
        fields.fields.iter().any(|(key, _)| key.value == name)
    }

    /// Reads a number within a range; `default` if the field is absent.
    pub(crate) fn number(
        &mut self,
        fields: &mut Fields,
        name: &'static str,
        range: std::ops::RangeInclusive<f64>,
        default: Option<f64>,
    ) -> Option<f64> {
        if default.is_some() && !self.contains_field(fields, name) {
            return default;
        }
        let node = self.required(fields, name)?;
        let position = Position::from(node.referenced);
        let Node::Number(value) = node.value else {
            self.report_wrong_type(position, name, "a number");
            return None;
        };
        if range.contains(&value) {
            return Some(value);
        }
        let kind = DiagnosticKind::Range {
            field: name.into(),
            value: value.to_string(),
        };
        let (min, max) = (range.start(), range.end());
        self.report(position, kind, format!("use {min} to {max}"));
        None
    }

    /// Reads an integer within a range; `default` if the field is absent.
    pub(crate) fn integer(
        &mut self,
        fields: &mut Fields,
        name: &'static str,
        range: std::ops::RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Option<u64> {
        let range = *range.start() as f64..=*range.end() as f64;
        let default = default.map(|value| value as f64);
        let value = self.number(fields, name, range, default)?;
        Some(value.round() as u64)
    }

    /// Reads an address of the form `ip:port`.
    pub(crate) fn address(
        &mut self,
        fields: &mut Fields,
        name: &'static str,
    ) -> Option<std::net::SocketAddr> {
        let (text, position) = self.string(fields, name)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.report_wrong_type(position, name, "an IP number and port");
        }
        address
    }

    /// Reads a list of strings; empty if the field is absent.
    pub(crate) fn strings(
        &mut self,
        fields: &mut Fields,
        name: &'static str,
    ) -> Vec<(String, Position)> {
        let Some(node) = fields.take(name) else {
            return Vec::new();
        };
        let position = Position::from(node.referenced);
        let Node::List(items) = node.value else {
            self.report_wrong_type(position, name, "a list of texts");
            return Vec::new();
        };
        let mut strings = Vec::new();
        for item in items {
            let position = Position::from(item.referenced);
            match item.value {
                Node::Text(text) => strings.push((text, position)),
                _ => self.report_wrong_type(position, name, "a text"),
            }
        }
        strings
    }

    /// Reads a list of maps.
    pub(crate) fn maps(&mut self, fields: &mut Fields, name: &'static str) -> Vec<Fields> {
        let Some(node) = self.required(fields, name) else {
            return Vec::new();
        };
        let position = Position::from(node.referenced);
        let Node::List(items) = node.value else {
            self.report_wrong_type(position, name, "a list");
            return Vec::new();
        };
        let maps = items.into_iter();
        maps.filter_map(|item| self.fields(item, name)).collect()
    }

    /// Reads a nested map; `None` if the field is absent.
    pub(crate) fn map(&mut self, fields: &mut Fields, name: &'static str) -> Option<Fields> {
        let node = fields.take(name)?;
        self.fields(node, name)
    }

    /// Reports each field that has not been read.
    pub(crate) fn reject_unknown(&mut self, fields: Fields) {
        for (key, _) in fields.fields {
            let position = Position::from(key.referenced);
            let kind = DiagnosticKind::Unknown { field: key.value };
            self.report(position, kind, "remove it, or check its spelling");
        }
    }
}
