//! The inner port against peers that break the protocol.
