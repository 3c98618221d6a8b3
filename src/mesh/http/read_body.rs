//! Reading of bodies, in buffers that are in the account of their holder.

use async_std::task;
use futures_util::AsyncReadExt;

use super::{Framing, HttpConn, HttpError};
use crate::mesh::body::{Body, BodyBuilder, BodyLimits};

/// Size of the input buffer while a chunked body is read, in bytes, so that small chunks take few
/// system calls.
const CHUNKED_INPUT_BYTES: usize = 8 << 10;

/// Number of bytes from which a part of a body is read past the input buffer.
const MIN_DIRECT_READ_BYTES: usize = 1 << 10;

/// Maximum length of the line with a chunk's size, in bytes; it may have extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Number of chunks after which the reader lets other tasks run. A peer that always has input ready
/// would otherwise keep the executor busy for a whole body, whose chunks may be of one byte.
const CHUNKS_PER_TURN: usize = 256;

/// Maximum length of all trailer lines after a chunked body, in bytes.
const MAX_TRAILER_BYTES: usize = 8 << 10;

impl HttpConn {
    /// Reads a complete body of at most `max` bytes, outside of the memory account.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError`] if the body is incomplete, malformed or too large.
    pub async fn read_body(&mut self, framing: Framing, max: usize) -> Result<Vec<u8>, HttpError> {
        let limits = BodyLimits::unaccounted(max);
        Ok(self.read_limited_body(framing, &limits).await?.to_vec())
    }

    /// Reads a complete body within limits.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError`] if the body is incomplete, malformed or too large, or if there was no
    /// memory for it.
    pub async fn read_limited_body(
        &mut self,
        framing: Framing,
        limits: &BodyLimits,
    ) -> Result<Body, HttpError> {
        match framing {
            Framing::Length(0) => Ok(Body::default()),
            Framing::Length(len) if len > limits.max() as u64 => Err(HttpError::BodyTooLarge),
            Framing::Length(len) => {
                let mut body = BodyBuilder::new(limits, len as usize);
                self.read_exact_into(&mut body, len as usize).await?;
                Ok(body.finish())
            }
            Framing::Chunked => self.read_chunks(limits).await,
            Framing::UntilClose => self.read_until_close(limits).await,
        }
    }

    async fn read_until_close(&mut self, limits: &BodyLimits) -> Result<Body, HttpError> {
        let mut body = BodyBuilder::new(limits, 0);
        loop {
            let left = limits.max() - body.received();
            if left == 0 && (self.has_input() || self.fill().await? > 0) {
                return Err(HttpError::BodyTooLarge);
            }
            if left == 0 || self.read_some_into(&mut body, left).await? == 0 {
                return Ok(body.finish());
            }
        }
    }

    async fn read_chunks(&mut self, limits: &BodyLimits) -> Result<Body, HttpError> {
        self.grow_input(CHUNKED_INPUT_BYTES, 1)?;
        let mut body = BodyBuilder::new(limits, 0);
        for count in 1_usize.. {
            if count % CHUNKS_PER_TURN == 0 {
                task::yield_now().await;
            }
            let size = self.read_chunk_size().await?;
            if size > limits.max() - body.received() {
                return Err(HttpError::BodyTooLarge);
            }
            if size == 0 {
                break;
            }
            self.read_exact_into(&mut body, size).await?;
            if self.wait_for_line(0).await? > 0 {
                return Err(HttpError::Malformed);
            }
            self.consume_line(0);
        }
        let mut trailer_bytes = 0;
        loop {
            let len = self.wait_for_line(MAX_TRAILER_BYTES).await?;
            self.consume_line(len);
            if len == 0 {
                return Ok(body.finish());
            }
            trailer_bytes += len;
            if trailer_bytes > MAX_TRAILER_BYTES {
                return Err(HttpError::Malformed);
            }
        }
    }

    async fn read_chunk_size(&mut self) -> Result<usize, HttpError> {
        let len = self.wait_for_line(MAX_CHUNK_LINE_BYTES).await?;
        let line = &self.input[self.start..self.start + len];
        let size = line.split(|b| *b == b';').next().unwrap_or_default();
        let size = std::str::from_utf8(size).map_err(|_| HttpError::Malformed)?.trim();
        if size.is_empty() || !size.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(HttpError::Malformed);
        }
        let size = usize::from_str_radix(size, 16).map_err(|_| HttpError::Malformed)?;
        self.consume_line(len);
        Ok(size)
    }

    /// Waits until the input buffer starts with a line of at most about `max` bytes; returns its
    /// length without the line end.
    async fn wait_for_line(&mut self, max: usize) -> Result<usize, HttpError> {
        loop {
            let input = &self.input[self.start..self.end];
            if let Some(len) = input.windows(2).position(|pair| pair == b"\r\n") {
                return Ok(len);
            }
            if input.len() > max + 1 {
                return Err(HttpError::Malformed);
            }
            if self.fill().await? == 0 {
                return Err(HttpError::Broken);
            }
        }
    }

    /// Consumes a line of `len` bytes with its line end.
    fn consume_line(&mut self, len: usize) {
        self.start += len + 2;
    }

    async fn read_exact_into(
        &mut self,
        body: &mut BodyBuilder<'_>,
        len: usize,
    ) -> Result<(), HttpError> {
        let mut left = len;
        while left > 0 {
            match self.read_some_into(body, left).await? {
                0 => return Err(HttpError::Broken),
                read => left -= read,
            }
        }
        Ok(())
    }

    /// Reads up to `max` bytes, past the input buffer if they are many; returns their number, or 0 at
    /// the end of the connection.
    async fn read_some_into(
        &mut self,
        body: &mut BodyBuilder<'_>,
        max: usize,
    ) -> Result<usize, HttpError> {
        if !self.has_input() && max >= MIN_DIRECT_READ_BYTES {
            let space = body.space().await?;
            let count = space.len().min(max);
            let read = self.stream.read(&mut space[..count]).await?;
            body.advance(read);
            return Ok(read);
        }
        if !self.has_input() && self.fill().await? == 0 {
            return Ok(0);
        }
        let count = max.min(self.end - self.start);
        body.append(&self.input[self.start..self.start + count]).await?;
        self.start += count;
        Ok(count)
    }
}
