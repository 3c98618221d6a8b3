//! Tests of the rollout decisions.

mod baselines;
mod comparison;
mod evidence;
mod properties;
mod rules;
mod scenarios;
mod simulation;
