//! `check`: reports every error in a settings file.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;

use super::failure;
use crate::settings::{LoadError, Settings, mesh::MeshSettings};

/// Check a settings file and report all errors in it.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file is one of a mesh node
    #[argh(switch)]
    mesh: bool,

    /// settings file
    #[argh(positional)]
    file: PathBuf,
}

impl Check {
    pub(super) fn run(self) -> ExitCode {
        let checked = match self.mesh {
            true => MeshSettings::load(&self.file).map(drop),
            false => Settings::load(&self.file).map(drop),
        };
        match checked {
            Ok(()) => {
                println!("{}: no errors", self.file.display());
                ExitCode::SUCCESS
            }
            Err(error) => failure(&format_load_error(&self.file.display().to_string(), &error)),
        }
    }
}

/// Formats the errors of a settings file, one per line.
pub(super) fn format_load_error(file: &str, error: &LoadError) -> String {
    match error {
        LoadError::Io(error) => format!("{file}: {error}"),
        LoadError::Settings(errors) => {
            let lines: Vec<_> = errors.iter().map(|error| format!("{file}: {error}")).collect();
            lines.join("\n")
        }
    }
}
