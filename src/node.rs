//! The node: the services of one process beside one upstream.

pub mod view;
