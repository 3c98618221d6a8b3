//! Load and experiment tool for oleandertiller.
