//! Membership and configuration agreement without sockets or clocks.
