//! Tests of the command line, the settings, the log lines and the guide.

mod commands;
mod guide;
mod settings;
mod telemetry;
