//! `fulmarpath explain`: finds in host logs why a request had its outcome.

use std::path::PathBuf;

use bpaf::Bpaf;

use super::Run;
use crate::error::CommandError;

/// Find in host logs why a request had its outcome
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Explain {
    /// Request id that the caller sent
    #[bpaf(positional("ID"))]
    id: String,
    /// Log files of one or more hosts
    #[bpaf(positional("FILE"), some("pass at least one log file"))]
    files: Vec<PathBuf>,
}

impl Run for Explain {
    fn run(&self) -> Result<(), CommandError> {
        let mut logs = Vec::new();
        for file in &self.files {
            let text = std::fs::read(file).map_err(|source| CommandError::LogFile {
                file: file.clone(),
                source,
            })?;
            let name = file.file_stem().unwrap_or_default().to_string_lossy();
            logs.push((
                name.into_owned(),
                String::from_utf8_lossy(&text).into_owned(),
            ));
        }
        print!("{}", fulmarpath::explain(&self.id, &logs)?);
        Ok(())
    }
}
