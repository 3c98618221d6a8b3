//! Tests of the rollout decisions.

mod baselines;
mod comparison;
mod evidence;
mod properties;
mod scenarios;
mod world;
