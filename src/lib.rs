//! Library of the `oleandertiller` binary: subcommands, settings, node services and reports.

pub mod cmd;
#[cfg(feature = "demo")]
pub mod demo;
pub mod kernel;
pub mod mesh;
pub mod node;
pub mod report;
pub mod settings;
pub mod telemetry;
