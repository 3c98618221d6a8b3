//! HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection and its input that is not consumed.
pub struct Conn {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        // Small writes are sent at once; a failure only delays them.
        let _ = stream.set_nodelay(true);
        Self { stream, input: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buf = [0; 16 << 10];
        let count = self.stream.read(&mut buf)?;
        self.input.extend_from_slice(&buf[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before the first byte of it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.input.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                let mut lines = head.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Message { line, headers, body: Vec::new() }));
            }
            if self.fill()? == 0 {
                if self.input.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body whose length the head names.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.input.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.input.drain(..length).collect();
        Ok(())
    }

    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    pub fn write(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut out = format!("{line}\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Sends a request and reads its complete response.
    pub fn call(
        &mut self,
        line: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Message> {
        self.write(&format!("{line} HTTP/1.1"), headers, body)?;
        self.read()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Sends one request on a new connection.
pub fn call(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut conn = Conn::connect(address)?;
    conn.stream.set_read_timeout(Some(timeout))?;
    conn.call(line, headers, body)
}
