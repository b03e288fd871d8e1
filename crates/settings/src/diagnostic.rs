//! Diagnostics of settings files: what is wrong and where.

use std::fmt;
use std::path::PathBuf;

use miette::Diagnostic;

/// What is wrong.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DiagnosticKind {
    /// The file can't be read.
    #[error("could not read the file")]
    Unreadable,
    /// The text isn't YAML.
    #[error("could not parse the YAML: {reason}")]
    Syntax {
        /// What the parser found.
        reason: String,
    },
    /// A required field is missing.
    #[error("could not find `{field}`")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field that isn't defined.
    #[error("could not use the unknown field `{field}`")]
    Unknown {
        /// The field.
        field: String,
    },
    /// A value has the wrong type.
    #[error("could not read `{field}` as {expected}")]
    Type {
        /// The field.
        field: String,
        /// The expected type.
        expected: &'static str,
    },
    /// A value is out of range.
    #[error("could not accept {value} for `{field}`")]
    Range {
        /// The field.
        field: String,
        /// The value found.
        value: String,
    },
    /// A name is declared twice.
    #[error("could not declare {what} `{name}` twice")]
    Duplicate {
        /// The kind of item declared.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// A reference to an undeclared name.
    #[error("could not find {what} `{name}`")]
    Undeclared {
        /// The kind of item referenced.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// A name with characters that aren't allowed in paths or labels, or too long.
    #[error("could not use `{name}` as a name")]
    Name {
        /// The name.
        name: String,
    },
}

/// A diagnostic with its position in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsDiagnostic {
    /// The file.
    pub file: PathBuf,
    /// Line from 1; 0 if it concerns the file itself.
    pub line: u64,
    /// Column from 1; 0 if it concerns the file itself.
    pub column: u64,
    /// What is wrong.
    pub kind: DiagnosticKind,
    /// How to correct it.
    pub hint: String,
}

impl fmt::Display for SettingsDiagnostic {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        write!(
            formatter,
            "{file}:{}:{}: {}; {}",
            self.line, self.column, self.kind, self.hint
        )
    }
}

impl std::error::Error for SettingsDiagnostic {}

impl Diagnostic for SettingsDiagnostic {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&self.hint))
    }
}

/// All diagnostics of one pass.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("could not accept the settings: {} mistakes", .0.len())]
pub struct SettingsDiagnostics(#[related] pub Vec<SettingsDiagnostic>);
