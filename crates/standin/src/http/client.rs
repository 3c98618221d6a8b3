//! Keep-alive HTTP/1.1 client.

use std::net::SocketAddr;
use std::sync::Mutex;

use async_h1::client::decode;
use async_std::io::{self, ErrorKind, WriteExt};
use async_std::net::TcpStream;
use tide::http::Response;

/// A complete response.
pub struct ClientReply {
    head: Response,
    /// Complete body.
    pub body: Vec<u8>,
}

impl ClientReply {
    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.head.status().into()
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.as_str())
    }

    /// Returns whether the server closes the connection after this response.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A keep-alive connection to a server.
pub struct Client {
    stream: TcpStream,
    addr: SocketAddr,
}

impl Client {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection attempt.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, addr })
    }

    /// Sends a request and waits for its complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks, or the response is malformed or truncated. The
    /// connection must not be used afterwards.
    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<ClientReply> {
        let mut buf = head(method, path, self.addr, headers, body.len()).into_bytes();
        buf.extend_from_slice(body);
        self.stream.write_all(&buf).await?;
        self.read_reply().await
    }

    async fn read_reply(&mut self) -> io::Result<ClientReply> {
        let mut head = decode(self.stream.clone()).await.map_err(invalid_data)?;
        let content_length = head.len();
        let body = head.body_bytes().await.map_err(invalid_data)?;
        if content_length.is_some_and(|len| len != body.len()) {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(ClientReply { head, body })
    }
}

fn head(
    method: &str,
    path: &str,
    addr: SocketAddr,
    headers: &[(&str, &str)],
    body_len: usize,
) -> String {
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {addr}\r\n");
    for (name, value) in headers {
        head.extend([name, ": ", value, "\r\n"]);
    }
    head.push_str(&format!("content-length: {body_len}\r\n\r\n"));
    head
}

fn invalid_data(e: tide::http::Error) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, e.to_string())
}

/// Pool of idle connections to one address.
pub struct Pool {
    addr: SocketAddr,
    idle: Mutex<Vec<Client>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: Mutex::new(Vec::new()) }
    }

    /// Sends a request over an idle or new connection.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::connect`] and [`Client::call`].
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<ClientReply> {
        let idle = self.idle.lock().unwrap().pop();
        let mut client = match idle {
            Some(client) => client,
            None => Client::connect(self.addr).await?,
        };
        let reply = client.call(method, path, headers, body).await?;
        if !reply.closes() {
            self.idle.lock().unwrap().push(client);
        }
        Ok(reply)
    }
}
