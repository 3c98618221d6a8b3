//! Loopback ports for fleets of node processes in tests.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    ops::Range,
};

use rand::Rng;

/// Ports below the ephemeral range: an outgoing connection could otherwise take a node's port while
/// the node restarts.
const PORT_RANGE: Range<u16> = 12_000..32_000;

/// Ports in a block, including the first one, which is bound as the lock of the block; more than the
/// largest fleet needs, since other programs may use some of them.
const PORTS_PER_BLOCK: u16 = 200;

/// A block of ports reserved for one fleet on this machine until it is dropped.
///
/// When each fleet drew its ports at random, the ports of two concurrent fleets collided in one of
/// twenty pairs of runs, and the nodes of both fleets joined each other.
#[derive(Debug)]
pub struct PortBlock {
    _lock: TcpListener,
    next: u16,
    end: u16,
}

impl PortBlock {
    /// Reserves a free block, chosen at random.
    pub fn reserve() -> Self {
        let blocks = (PORT_RANGE.end - PORT_RANGE.start) / PORTS_PER_BLOCK;
        loop {
            let first = PORT_RANGE.start + rand::rng().random_range(0..blocks) * PORTS_PER_BLOCK;
            if let Ok(lock) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                return Self { _lock: lock, next: first + 1, end: first + PORTS_PER_BLOCK };
            }
        }
    }

    /// Returns the next address of the block that is free for TCP and UDP.
    ///
    /// # Errors
    ///
    /// Returns an error when the block has no free port left.
    pub fn next_address(&mut self) -> io::Result<SocketAddr> {
        while self.next < self.end {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next += 1;
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(io::Error::other("the port block has no free port left"))
    }
}
