//! Answers of a faulty upstream, as bytes that are sent before the request is read completely.

use std::time::Duration;

use crate::http::{RawAnswer, RawRest};

/// Size of the blocks in which bytes without end are sent, in bytes.
const BLOCK_BYTES: usize = 16 << 10;

/// Head of an answer without its framing; `{id}` stands for the id of the request.
const HEAD: &str = "HTTP/1.1 200 OK\r\nOleandertiller-Attempt-Id: {id}\r\n\
                    Oleandertiller-Response-Signature: s\r\n";

/// Largest length that a header can state.
const LONGEST: &str = "Content-Length: 18446744073709551615";

/// What comes without end in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// Bytes that are no answer.
    Garbage,
    /// A line of the head.
    HeadLine,
    /// Lines of the head.
    Head,
    /// Interim responses.
    InterimResponses,
    /// Interim responses with long heads.
    LongInterimResponses,
    /// Responses to another request.
    OtherResponses,
    /// A body whose length is stated.
    Body,
    /// A body in chunks.
    Chunks,
    /// A body in chunks of one byte.
    SmallChunks,
    /// A chunk.
    Chunk,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailers.
    Trailers,
    /// A line of the trailers.
    TrailerLine,
    /// A body that ends with the connection.
    BodyUntilClose,
    /// Bytes behind a complete response.
    ExtraBytes,
}

impl Endless {
    /// All kinds.
    pub const ALL: [Self; 15] = [
        Self::Garbage,
        Self::HeadLine,
        Self::Head,
        Self::InterimResponses,
        Self::LongInterimResponses,
        Self::OtherResponses,
        Self::Body,
        Self::Chunks,
        Self::SmallChunks,
        Self::Chunk,
        Self::ChunkExtension,
        Self::Trailers,
        Self::TrailerLine,
        Self::BodyUntilClose,
        Self::ExtraBytes,
    ];

    /// Returns the answer; its bytes go on until the caller closes the connection.
    pub fn answer(self) -> RawAnswer {
        let framed = |framing: &str| format!("{HEAD}{framing}\r\n\r\n");
        let chunked = framed("Transfer-Encoding: chunked");
        match self {
            Self::Garbage => endless(String::new(), "x"),
            Self::HeadLine => endless(format!("{HEAD}X-Long: "), "x"),
            Self::Head => endless(HEAD.to_owned(), "X-Many: x\r\n"),
            Self::InterimResponses => endless(String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
            Self::LongInterimResponses => {
                let line = "x".repeat(2 * BLOCK_BYTES);
                endless(
                    String::new(),
                    &format!("HTTP/1.1 102 Processing\r\nX-Long: {line}\r\n\r\n"),
                )
            }
            Self::OtherResponses => {
                let other = framed("Content-Length: 4").replace("{id}", "other");
                endless(String::new(), &format!("{other}body"))
            }
            Self::Body => endless(framed(LONGEST), "x"),
            Self::Chunks => {
                let chunk = format!("{BLOCK_BYTES:x}\r\n{}\r\n", "x".repeat(BLOCK_BYTES));
                endless(chunked, &chunk)
            }
            Self::SmallChunks => endless(chunked, "1\r\nx\r\n"),
            Self::Chunk => endless(format!("{chunked}ffffffffffffffff\r\n"), "x"),
            Self::ChunkExtension => endless(format!("{chunked}4;"), "x"),
            Self::Trailers => endless(format!("{chunked}0\r\n"), "X: y\r\n"),
            Self::TrailerLine => endless(format!("{chunked}0\r\nX: "), "y"),
            Self::BodyUntilClose => endless(format!("{HEAD}\r\n"), "x"),
            Self::ExtraBytes => endless(framed("Content-Length: 4"), "x"),
        }
    }
}

fn endless(head: String, repeated: &str) -> RawAnswer {
    let block = repeated.repeat(BLOCK_BYTES / repeated.len() + 1);
    RawAnswer { head: head.into_bytes(), rest: RawRest::Repeat(block.into_bytes()) }
}

/// Returns an answer with the given framing headers, each with its line end, and a body, after which
/// the connection is reset.
pub fn answer_with_reset(framing: &str, body: &str, reset_after: Duration) -> RawAnswer {
    let head = format!("{HEAD}{framing}\r\n{body}");
    RawAnswer { head: head.into_bytes(), rest: RawRest::Reset(reset_after) }
}
