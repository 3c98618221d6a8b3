//! Library under the `oleandertiller` binary: settings, node services and reports.

pub mod cmd;
pub mod kernel;
pub mod node;
