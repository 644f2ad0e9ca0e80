//! A stream whose incoming bytes are looked at before the parser has them.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Looks at bytes as they pass.
pub(crate) trait Watch: Unpin {
    /// These have just come in, never none.
    fn saw(&mut self, fresh: &[u8]);

    /// Somebody is about to look for more.
    fn before_read(&mut self, stream: &TcpStream) {
        let _ = stream;
    }

    /// Something is about to be written. With an error nothing is, now or later.
    fn before_write(&mut self, stream: &TcpStream) -> io::Result<()> {
        let _ = stream;
        Ok(())
    }
}

/// A stream with somebody who looks at what comes in.
pub(crate) struct Watched<W> {
    pub(crate) stream: TcpStream,
    pub(crate) watch: W,
}

impl<W: Watch> AsyncRead for Watched<W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let Watched { stream, watch } = &mut *self;
        watch.before_read(stream);
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let fresh = &buf.filled()[before..];
        if !fresh.is_empty() {
            self.watch.saw(fresh);
        }
        poll
    }
}

impl<W: Watch> AsyncWrite for Watched<W> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let Watched { stream, watch } = &mut *self;
        watch.before_write(stream)?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Watched { stream, watch } = &mut *self;
        watch.before_write(stream)?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
