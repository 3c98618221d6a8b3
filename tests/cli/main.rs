//! Tests of the command line, the settings, the log lines and the guide.

mod commands;
#[cfg(feature = "demo")]
mod demo;
mod guide;
mod mesh_settings;
mod settings;
mod telemetry;
