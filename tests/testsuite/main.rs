//! Integration tests with real processes.

mod burn;
mod control;
mod dataplane;
mod keyed;
mod probes;
mod processes;
mod rollouts;
