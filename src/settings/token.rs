//! Operators' tokens, which are never printed.

use std::{fmt, sync::Arc};

/// Fewest characters of a token; shorter ones can be guessed.
pub const TOKEN_MIN_CHARS: usize = 16;

/// Secret by which an operator is known.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(Arc<str>);

impl Token {
    /// Creates a token, if `text` is long enough and can be sent as a header.
    pub fn new(text: &str) -> Option<Self> {
        let fits = text.len() >= TOKEN_MIN_CHARS && text.bytes().all(|b| b.is_ascii_graphic());
        fits.then(|| Self(text.into()))
    }

    /// Compares with a token received, in a time that does not depend on where they differ.
    pub fn matches(&self, given: &str) -> bool {
        let differing = self.0.bytes().zip(given.bytes()).fold(0, |sum, (a, b)| sum | (a ^ b));
        self.0.len() == given.len() && differing == 0
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
    /// Name, the author in the history.
    pub name: Arc<str>,
    /// Secret.
    pub token: Token,
}
