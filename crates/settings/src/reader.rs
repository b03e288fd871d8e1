//! Reads typed fields out of a tree and gathers every diagnostic on the way.

use std::path::{Path, PathBuf};

use serde_saphyr::{Location, Spanned};

use crate::diagnostic::{DiagnosticKind, SettingsDiagnostic};
use crate::tree::Node;

/// The diagnostics of one file.
#[derive(Debug)]
pub(crate) struct Reader {
    file: PathBuf,
    pub(crate) diagnostics: Vec<SettingsDiagnostic>,
}

/// A place in a file.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    line: u64,
    column: u64,
}

impl From<Location> for Place {
    fn from(location: Location) -> Self {
        Self {
            line: location.line(),
            column: location.column(),
        }
    }
}

/// A map whose fields are taken one by one; what is left is unknown.
#[derive(Debug)]
pub(crate) struct Fields {
    place: Place,
    fields: Vec<(Spanned<String>, Spanned<Node>)>,
}

impl Fields {
    pub(crate) fn place(&self) -> Place {
        self.place
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
            let place = Place { line: 0, column: 0 };
            let hint = "create it, or check its permissions";
            self.diagnostic(place, DiagnosticKind::Unreadable, hint);
            return None;
        };
        self.parse(&text)
    }

    fn parse(&mut self, text: &str) -> Option<Fields> {
        match serde_saphyr::from_str::<Spanned<Node>>(text) {
            Ok(node) => self.fields(node, "the file"),
            Err(error) => {
                let place = error
                    .location()
                    .map_or(Place { line: 1, column: 1 }, Place::from);
                let reason = error.without_snippet().to_string();
                let reason = reason.lines().next().unwrap_or_default().to_owned();
                let hint = "check quotes, colons and indentation";
                self.diagnostic(place, DiagnosticKind::Syntax { reason }, hint);
                None
            }
        }
    }

    pub(crate) fn diagnostic(
        &mut self,
        place: Place,
        kind: DiagnosticKind,
        hint: impl Into<String>,
    ) {
        self.diagnostics.push(SettingsDiagnostic {
            file: self.file.clone(),
            line: place.line,
            column: place.column,
            kind,
            hint: hint.into(),
        });
    }

    fn wrong_type(&mut self, place: Place, field: &str, wanted: &'static str) {
        let kind = DiagnosticKind::Type {
            field: field.into(),
            wanted,
        };
        self.diagnostic(place, kind, format!("write {wanted} here"));
    }

    fn fields(&mut self, node: Spanned<Node>, name: &str) -> Option<Fields> {
        let place = Place::from(node.referenced);
        match node.value {
            Node::Map(fields) => Some(Fields { place, fields }),
            _ => {
                self.wrong_type(place, name, "a map of fields");
                None
            }
        }
    }

    fn required(&mut self, fields: &mut Fields, name: &'static str) -> Option<Spanned<Node>> {
        let node = fields.take(name);
        if node.is_none() {
            let kind = DiagnosticKind::Missing { field: name };
            self.diagnostic(fields.place, kind, format!("add `{name}:`"));
        }
        node
    }

    pub(crate) fn text(
        &mut self,
        fields: &mut Fields,
        name: &'static str,
    ) -> Option<(String, Place)> {
        let node = self.required(fields, name)?;
        let place = Place::from(node.referenced);
        match node.value {
            Node::Text(text) if !text.is_empty() => Some((text, place)),
            _ => {
                self.wrong_type(place, name, "a text");
                None
            }
        }
    }

    /// A text that serves as a name in paths, keys and labels.
    pub(crate) fn name(&mut self, fields: &mut Fields) -> Option<(String, Place)> {
        let (name, place) = self.text(fields, "name")?;
        let fine = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        if name.len() <= 64 && name.chars().all(fine) {
            return Some((name, place));
        }
        let hint = "use at most 64 letters, digits, `-`, `_` and `.`";
        self.diagnostic(place, DiagnosticKind::Name { name }, hint);
        None
    }

    pub(crate) fn has(&self, fields: &Fields, name: &str) -> bool {
        fields.fields.iter().any(|(key, _)| key.value == name)
    }

    /// A number within a range; `default` where it isn't written.
    pub(crate) fn number(
        &mut self,
        fields: &mut Fields,
        name: &'static str,
        range: std::ops::RangeInclusive<f64>,
        default: Option<f64>,
    ) -> Option<f64> {
        if default.is_some() && !self.has(fields, name) {
            return default;
        }
        let node = self.required(fields, name)?;
        let place = Place::from(node.referenced);
        let Node::Number(value) = node.value else {
            self.wrong_type(place, name, "a number");
            return None;
        };
        if range.contains(&value) {
            return Some(value);
        }
        let kind = DiagnosticKind::Range {
            field: name.into(),
            value: value.to_string(),
        };
        let (least, most) = (range.start(), range.end());
        self.diagnostic(place, kind, format!("use {least} to {most}"));
        None
    }

    /// A whole number within a range; `default` where it isn't written.
    pub(crate) fn count(
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

    /// An address of the form `ip:port`.
    pub(crate) fn address(
        &mut self,
        fields: &mut Fields,
        name: &'static str,
    ) -> Option<std::net::SocketAddr> {
        let (text, place) = self.text(fields, name)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.wrong_type(place, name, "an IP number and port");
        }
        address
    }

    /// A list of texts; empty where it isn't written.
    pub(crate) fn texts(
        &mut self,
        fields: &mut Fields,
        name: &'static str,
    ) -> Vec<(String, Place)> {
        let Some(node) = fields.take(name) else {
            return Vec::new();
        };
        let place = Place::from(node.referenced);
        let Node::List(items) = node.value else {
            self.wrong_type(place, name, "a list of texts");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for item in items {
            let place = Place::from(item.referenced);
            match item.value {
                Node::Text(text) => texts.push((text, place)),
                _ => self.wrong_type(place, name, "a text"),
            }
        }
        texts
    }

    /// A list of maps.
    pub(crate) fn maps(&mut self, fields: &mut Fields, name: &'static str) -> Vec<Fields> {
        let Some(node) = self.required(fields, name) else {
            return Vec::new();
        };
        let place = Place::from(node.referenced);
        let Node::List(items) = node.value else {
            self.wrong_type(place, name, "a list");
            return Vec::new();
        };
        let maps = items.into_iter();
        maps.filter_map(|item| self.fields(item, name)).collect()
    }

    /// A nested map; `None` where it isn't written.
    pub(crate) fn map(&mut self, fields: &mut Fields, name: &'static str) -> Option<Fields> {
        let node = fields.take(name)?;
        self.fields(node, name)
    }

    /// Every field must have been taken.
    pub(crate) fn close(&mut self, fields: Fields) {
        for (key, _) in fields.fields {
            let place = Place::from(key.referenced);
            let kind = DiagnosticKind::Unknown { field: key.value };
            self.diagnostic(place, kind, "remove it, or check its spelling");
        }
    }
}
