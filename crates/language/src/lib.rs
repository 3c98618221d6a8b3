//! The query and command language for operators, and the language of scenario scripts.
//!
//! [`parse`] parses one line of the operators' language, [`scenario::parse`] a whole script. The
//! values print as text that parses to the same value.

pub mod action;
pub mod advice;
pub mod complete;
pub mod due;
pub mod error;
pub mod kind;
pub mod nearest;
mod parse;
pub mod scenario;
pub mod statement;
pub mod units;

pub use action::{ActionContext, ActionError};
pub use due::Due;
pub use error::SyntaxError;
pub use nearest::nearest;
pub use parse::parse;
pub use statement::{Command, Condition, Field, Query, STATES, Show, Statement};

/// Source of the grammar of the operators' language.
pub const GRAMMAR: &str = include_str!("grammar.pest");

/// Source of the grammar of scenario scripts.
pub const SCENARIO_GRAMMAR: &str = include_str!("scenario.pest");
