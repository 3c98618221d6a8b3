//! Subcommands of `bench`.

pub mod capacity;
pub mod compare;
pub mod path;

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use serde::Serialize;

/// Result of a subcommand.
pub type CommandResult = Result<(), Box<dyn Error>>;

/// Maximum length of a run, in seconds.
pub const MAX_RUN_S: u64 = 60;

/// Returns the length of a run in seconds, or an error when it is out of range.
pub fn check_run_length(seconds: u64) -> Result<u64, String> {
    match seconds {
        1..=MAX_RUN_S => Ok(seconds),
        _ => Err(format!("a run of {seconds} s is outside 1 to {MAX_RUN_S} s")),
    }
}

/// Writes a JSON result file, named after the current time; returns its path without the extension.
pub fn write_result<T: Serialize>(
    dir: &Path,
    name: &str,
    result: &T,
) -> Result<PathBuf, Box<dyn Error>> {
    fs::create_dir_all(dir)?;
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    let stem = dir.join(format!("{name}-{}", now.as_secs()));
    let file = stem.with_extension("json");
    fs::write(&file, serde_json::to_vec_pretty(result)?)?;
    println!("wrote {}", file.display());
    Ok(stem)
}
