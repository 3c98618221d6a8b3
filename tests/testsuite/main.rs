//! Integration tests of nodes over real sockets, as processes or inside the process of the test.

mod burn;
mod control;
mod dataplane;
mod keyed;
mod probes;
mod processes;
mod rollouts;
