//! Subcommands of the `oleandertiller` binary, one module each.
