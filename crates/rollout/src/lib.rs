//! Rollout state and judgement without sockets or clocks.
