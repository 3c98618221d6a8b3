//! Tests of the operators' language and of scenario scripts.

mod errors;
mod scenario;
mod statement;
mod strategies;
