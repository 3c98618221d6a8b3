//! Tests of the rollout decisions.

mod scenarios;
mod world;
