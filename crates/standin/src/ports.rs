//! Loopback ports for fleets of processes in tests.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    ops::Range,
};

use rand::Rng;

/// Ports below those that the system gives to outgoing connections, one of which could take a
/// node's port while the node restarts.
const PORTS: Range<u16> = 12_000..32_000;

/// Ports of one block; the first one is its lock.
const BLOCK_PORTS: u16 = 100;

/// A block of ports that no other fleet on this machine uses while it is held.
///
/// Ports drawn at random for two fleets at the same time met in one of twenty pairs of runs, and
/// nodes of both fleets then joined each other.
#[derive(Debug)]
pub struct PortBlock {
    _lock: TcpListener,
    next: u16,
    end: u16,
}

impl PortBlock {
    /// Reserves a block that is free.
    pub fn reserve() -> Self {
        let blocks = (PORTS.end - PORTS.start) / BLOCK_PORTS;
        loop {
            let first = PORTS.start + rand::rng().random_range(0..blocks) * BLOCK_PORTS;
            if let Ok(lock) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                return Self { _lock: lock, next: first + 1, end: first + BLOCK_PORTS };
            }
        }
    }

    /// Returns the next address of the block that is free for TCP and UDP.
    ///
    /// # Errors
    ///
    /// Fails when the block is used up.
    pub fn next_address(&mut self) -> io::Result<SocketAddr> {
        while self.next < self.end {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next += 1;
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(io::Error::other("the block of ports is used up"))
    }
}
