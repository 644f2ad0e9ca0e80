//! HTTP/1.1 as bytes: stand-ins must be able to send what no library would.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

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
    stream: Arc<TcpStream>,
    buffer: Vec<u8>,
    /// Writes that come later, whatever is read or written meanwhile.
    later: JoinSet<io::Result<()>>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream: Arc::new(stream), buffer: Vec::new(), later: JoinSet::new() }
    }

    /// Waits for the first byte of the next request or answer. Returns false if the peer closed the
    /// connection first.
    pub(crate) async fn await_first_byte(&mut self) -> io::Result<bool> {
        while self.buffer.is_empty() {
            if self.read_some().await? == 0 {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Reads what has arrived, and waits for it if nothing has. Returns the number of bytes, 0 at the end of
    /// the stream.
    async fn read_some(&mut self) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            match self.stream.try_read_buf(&mut self.buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
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
        match self.read_some().await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        write_all(&self.stream, bytes).await
    }

    /// Writes the bytes after a delay, unless the connection is closed before.
    pub(crate) fn write_later(&mut self, delay: Duration, bytes: Vec<u8>) {
        let stream = self.stream.clone();
        self.later.spawn(async move {
            sleep(delay).await;
            write_all(&stream, &bytes).await
        });
    }

    /// Waits until the peer closes the connection or sends a byte. Returns true if it closed.
    pub(crate) async fn await_close(&mut self) -> bool {
        !self.read_some().await.is_ok_and(|read| read > 0)
    }

    /// Closes the connection with a reset: data that is still in flight is not delivered.
    pub(crate) fn reset(self) {
        let _ = self.stream.set_zero_linger();
    }
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            written => bytes = &bytes[written?..],
        }
    }
    Ok(())
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
