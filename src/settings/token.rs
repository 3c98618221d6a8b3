//! Operators' tokens, which are never printed.

use std::{fmt, sync::Arc};

/// Minimum length of a token, in characters; shorter ones can be guessed.
pub const MIN_TOKEN_CHARS: usize = 16;

/// Secret that authenticates an operator.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(Arc<str>);

impl Token {
    /// Creates a token, if `text` is long enough and can be sent as a header.
    pub fn new(text: &str) -> Option<Self> {
        let valid = text.len() >= MIN_TOKEN_CHARS && text.bytes().all(|b| b.is_ascii_graphic());
        valid.then(|| Self(text.into()))
    }

    /// Returns whether the received token is this one, in a time that does not depend on where they
    /// differ.
    pub fn matches(&self, received: &str) -> bool {
        let differing = self.0.bytes().zip(received.bytes()).fold(0, |sum, (a, b)| sum | (a ^ b));
        self.0.len() == received.len() && differing == 0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// A person or program that may give commands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name, recorded as the author of changes in the history.
    pub name: Arc<str>,
    /// Token that authenticates the operator.
    pub token: Token,
}
