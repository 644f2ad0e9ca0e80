//! HTTP/1.1 as bytes: stand-ins must be able to send what no library would.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum number of unprocessed bytes of a connection.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// A request or an answer as it was read.
#[derive(Debug, Default)]
pub(crate) struct HttpMessage {
    pub(crate) line: String,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl HttpMessage {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub(crate) fn status(&self) -> Option<u16> {
        self.line.split(' ').nth(1)?.parse().ok()
    }
}

/// A connection, and the bytes read from it beyond the last request or answer.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Waits for the first byte of the next request or answer. Returns false if the peer closed the
    /// connection first.
    pub(crate) async fn await_first_byte(&mut self) -> io::Result<bool> {
        while self.buffer.is_empty() {
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Reads one request or answer with a `Content-Length`, or without a body.
    pub(crate) async fn read(&mut self) -> io::Result<HttpMessage> {
        let head = loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            self.fill().await?;
        };
        let text = String::from_utf8_lossy(&self.buffer[..head]).into_owned();
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let pair = |l: &str| l.split_once(':').map(|(n, v)| (n.to_owned(), v.trim().to_owned()));
        let mut read = HttpMessage { line, headers: lines.filter_map(pair).collect(), body: Vec::new() };
        let length: usize = read.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let end = head + 4 + length;
        while self.buffer.len() < end {
            self.fill().await?;
        }
        read.body = self.buffer[head + 4..end].to_vec();
        self.buffer.drain(..end);
        Ok(read)
    }

    async fn fill(&mut self) -> io::Result<()> {
        if self.buffer.len() > MAX_BUFFERED_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits until the peer closes the connection or sends a byte. Returns true if it closed.
    pub(crate) async fn await_close(&mut self) -> bool {
        let mut byte = [0];
        match self.stream.read(&mut byte).await {
            Ok(0) | Err(_) => true,
            Ok(_) => {
                self.buffer.push(byte[0]);
                false
            }
        }
    }

    /// Closes the connection with a reset: data that is still in flight is not delivered.
    pub(crate) fn reset(self) {
        let _ = self.stream.set_zero_linger();
    }
}

/// Returns the bytes of an answer with a body.
pub(crate) fn answer(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Any\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}
