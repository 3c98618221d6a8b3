//! The data plane over real sockets: client port, inner port, owner and upstream in one process.

mod faults;
pub mod fleet;
mod flow;
mod inner;
mod kernel;
