//! Integration tests with real processes.

mod control;
mod dataplane;
mod keyed;
mod processes;
