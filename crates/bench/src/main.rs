//! Command line of the load and experiment tool.

fn main() {}
