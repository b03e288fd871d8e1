//! A host's settings, and the operators' declarations.
//!
//! Both are YAML. One pass reports all mistakes, each with its file, line, column and a hint.

mod declarations;
mod diagnostic;
mod difference;
mod directory;
mod host;
mod reader;
mod tree;

pub use declarations::{Declarations, Model, Organisation, Preset, Service, ServiceKind, key_hash};
pub use diagnostic::{DiagnosticKind, SettingsDiagnostic, SettingsDiagnostics};
pub use difference::{Difference, difference};
pub use directory::read_declarations;
pub use host::{HostSettings, LogFormat, read_host};
