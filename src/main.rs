//! Entry point of the `oleandertiller` binary.

fn main() {}
