//! `fulmarpath explain`: why a request ended as it did.

use std::path::PathBuf;

use bpaf::Bpaf;

use super::Run;
use crate::error::CommandError;

/// Tell from hosts' logs why a request ended as it did
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Explain {
    /// The caller's id of the request
    #[bpaf(positional("ID"))]
    id: String,
    /// Logs of one or more hosts
    #[bpaf(positional("FILE"), some("name at least one log"))]
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
