//! The data plane over real sockets: client port, inner port, owner and upstream in one process.

mod faults;
mod fleet;
mod flow;
mod inner;
mod kernel;
