//! Integration tests with real processes.

mod dataplane;
mod keyed;
