//! Integration tests with real processes.

mod burn;
mod control;
mod dataplane;
mod keyed;
mod processes;
mod rollouts;
