//! A TCP stream whose incoming bytes an observer sees before the HTTP parser does.

use bytes::{Buf, Bytes};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Observes reads from and writes to a stream.
pub(crate) trait StreamObserver: Unpin {
    /// Receives bytes that have just been read; the slice is never empty.
    fn received(&mut self, bytes: &[u8]);

    /// Runs when the peer has ended its sending. The end is hidden from the reader until this is ready; a
    /// pending result must wake the task once that may have changed.
    fn poll_end_of_stream(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let _ = cx;
        Poll::Ready(())
    }

    /// Runs before each attempt to read from the stream.
    fn before_read(&mut self, stream: &TcpStream) {
        let _ = stream;
    }

    /// Runs before each write. After an error nothing is written, neither by this write nor by a later one.
    fn before_write(&mut self, stream: &TcpStream) -> io::Result<()> {
        let _ = stream;
        Ok(())
    }
}

/// A TCP stream together with its observer.
pub(crate) struct ObservedStream<O> {
    pub(crate) stream: TcpStream,
    pub(crate) observer: O,
    replay: Option<Replay>,
}

/// State of a stream whose incoming bytes are parsed without a request that asked for them.
struct Replay {
    /// Bytes that were read from the stream before.
    unread: Bytes,
    /// Whether the parser has written its request, which is discarded. Until then nothing is read: bytes that
    /// precede a request are an error to the parser.
    has_request: bool,
    /// Reader that waits for the request.
    reader: Option<Waker>,
}

impl Replay {
    /// Discards a write, and lets the reader continue.
    fn discard(&mut self) {
        self.has_request = true;
        self.reader.take().into_iter().for_each(Waker::wake);
    }
}

impl<O> ObservedStream<O> {
    pub(crate) fn new(stream: TcpStream, observer: O) -> Self {
        ObservedStream { stream, observer, replay: None }
    }

    /// Continues a stream of which `unread` has been read already. Nothing is written to it any more.
    pub(crate) fn replayed(stream: TcpStream, observer: O, unread: Bytes) -> Self {
        let replay = Replay { unread, has_request: false, reader: None };
        ObservedStream { stream, observer, replay: Some(replay) }
    }
}

impl<O: StreamObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let ObservedStream { stream, observer, replay } = &mut *self;
        if let Some(replay) = replay {
            if !replay.has_request {
                replay.reader = Some(cx.waker().clone());
                return Poll::Pending;
            }
            let unread = replay.unread.split_to(replay.unread.len().min(buf.remaining()));
            if unread.has_remaining() {
                buf.put_slice(&unread);
                observer.received(&unread);
                return Poll::Ready(Ok(()));
            }
        }
        observer.before_read(stream);
        let has_room = buf.remaining() > 0;
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = &buf.filled()[before..];
        if !received.is_empty() {
            self.observer.received(received);
        } else if has_room && matches!(poll, Poll::Ready(Ok(()))) {
            return self.observer.poll_end_of_stream(cx).map(Ok);
        }
        poll
    }
}

impl<O: StreamObserver> AsyncWrite for ObservedStream<O> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let ObservedStream { stream, observer, replay } = &mut *self;
        if let Some(replay) = replay {
            replay.discard();
            return Poll::Ready(Ok(buf.len()));
        }
        observer.before_write(stream)?;
        Pin::new(stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let ObservedStream { stream, observer, replay } = &mut *self;
        if let Some(replay) = replay {
            replay.discard();
            return Poll::Ready(Ok(bufs.iter().map(|buf| buf.len()).sum()));
        }
        observer.before_write(stream)?;
        Pin::new(stream).poll_write_vectored(cx, bufs)
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
