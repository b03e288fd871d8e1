//! What can be wrong in a file, and where.

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
    /// A field that must stand is missing.
    #[error("could not find `{field}`")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field that nothing reads.
    #[error("could not use the unknown field `{field}`")]
    Unknown {
        /// The field.
        field: String,
    },
    /// A value of another type.
    #[error("could not read `{field}` as {wanted}")]
    Type {
        /// The field.
        field: String,
        /// What it should be.
        wanted: &'static str,
    },
    /// A number out of its range.
    #[error("could not accept {value} for `{field}`")]
    Range {
        /// The field.
        field: String,
        /// The value found.
        value: String,
    },
    /// A name that stands twice.
    #[error("could not declare {what} `{name}` twice")]
    Duplicate {
        /// What is declared.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// A name that nothing declares.
    #[error("could not find {what} `{name}`")]
    Undeclared {
        /// What is looked for.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// A name with characters that a path or label can't carry.
    #[error("could not use `{name}` as a name")]
    Name {
        /// The name.
        name: String,
    },
}

/// One diagnostic with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsDiagnostic {
    /// The file.
    pub file: PathBuf,
    /// From 1; 0 where the whole file is meant.
    pub line: u64,
    /// From 1; 0 where the whole file is meant.
    pub column: u64,
    /// What is wrong.
    pub kind: DiagnosticKind,
    /// What to do.
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

/// All diagnostics of a reading.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("could not accept the settings: {} mistakes", .0.len())]
pub struct SettingsDiagnostics(#[related] pub Vec<SettingsDiagnostic>);
