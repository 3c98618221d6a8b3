//! Measurement of how the cost of membership and agreement grows with the size of the fleet.
