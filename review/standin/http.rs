//! HTTP/1.1 messages with bodies of a stated length, on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A request or a response; `start` is its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Returns a decoded parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let value = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))?;
        let mut bytes = value.bytes();
        let mut decoded = Vec::new();
        while let Some(byte) = bytes.next() {
            if byte != b'%' {
                decoded.push(byte);
                continue;
            }
            let hex = [bytes.next()?, bytes.next()?];
            decoded.push(u8::from_str_radix(std::str::from_utf8(&hex).ok()?, 16).ok()?);
        }
        String::from_utf8(decoded).ok()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a message; `Ok(None)` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { start: line.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a message with the length of its body.
pub fn write(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut buf = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        buf.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    buf.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    buf.extend_from_slice(body);
    stream.write_all(&buf)
}

/// Sends one request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    write(&mut stream, start, headers, body)?;
    read(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A listener that can be closed.
#[derive(Clone, Default)]
pub struct Listener(Arc<AtomicBool>);

impl Listener {
    /// Serves each connection in a thread of its own until `serve` fails or the peer closes it.
    pub fn open<F>(&self, address: SocketAddr, serve: F) -> io::Result<()>
    where
        F: Fn(Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let (serve, closed) = (Arc::new(serve), self.0.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if closed.load(Ordering::Relaxed) {
                    return;
                }
                let serve = serve.clone();
                thread::spawn(move || serve_connection(stream, &*serve));
            }
        });
        Ok(())
    }

    /// Refuses further connections.
    pub fn close(&self, address: SocketAddr) {
        self.0.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(address);
    }
}

fn serve_connection<F>(mut stream: TcpStream, serve: &F)
where
    F: Fn(Message, &mut TcpStream) -> io::Result<()>,
{
    let _ = stream.set_nodelay(true);
    let Ok(read_half) = stream.try_clone() else { return };
    let mut reader = BufReader::new(read_half);
    while let Ok(Some(message)) = read(&mut reader) {
        if serve(message, &mut stream).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
