//! Subcommands, one module each.

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

/// Longest measured time of one run.
pub const RUN_MAX_S: u64 = 60;

/// Checks the length of a run.
pub fn bounded_seconds(seconds: u64) -> Result<u64, String> {
    match seconds {
        1..=RUN_MAX_S => Ok(seconds),
        _ => Err(format!("a run of {seconds} s is outside 1 to {RUN_MAX_S} s")),
    }
}

/// Writes a result file and returns the path of it without its extension.
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
