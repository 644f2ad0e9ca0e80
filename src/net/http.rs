//! One HTTP/1.1 connection that this program opened. It carries one request at a time and never sends a
//! request twice: a pooled client may, and a call that is sent again may take effect again.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Why a request brought no answer.
#[derive(Debug)]
pub(crate) enum Broken {
    /// No byte of it was written; here it is again.
    Unsent(Box<Request<Full<Bytes>>>),
    /// It may have arrived.
    InDoubt,
}

/// An open connection. Dropped, it closes.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens one, within `limit`.
    pub(crate) async fn open(to: SocketAddr, limit: Duration) -> io::Result<Self> {
        let opening = async {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)
        };
        let (sender, connection) = timeout(limit, opening).await.map_err(|_| io::ErrorKind::TimedOut)??;
        let driver = tokio::spawn(async move {
            // How it ended shows in the outcome of the request that it carried.
            let _ = connection.await;
        });
        Ok(Connection { sender, driver })
    }

    /// False once the other side has closed it.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends one request and waits for the head of its answer.
    pub(crate) async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Broken> {
        if self.sender.ready().await.is_err() {
            return Err(Broken::Unsent(Box::new(request)));
        }
        self.sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
            Some(request) => Broken::Unsent(Box::new(request)),
            None => Broken::InDoubt,
        })
    }

    /// Closes it, and returns when the socket is gone.
    pub(crate) async fn close(mut self) {
        self.driver.abort();
        let _ = (&mut self.driver).await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The whole body of an answer, if it is no longer than `most` and came unbroken.
pub(crate) async fn body(incoming: Incoming, most: usize) -> Option<Bytes> {
    Limited::new(incoming, most).collect().await.ok().map(|b| b.to_bytes())
}

/// Names the host, as HTTP/1.1 demands.
pub(crate) fn set_host(request: &mut Request<Full<Bytes>>, to: SocketAddr) {
    // An address and a port are always a valid header value.
    if let Ok(host) = HeaderValue::from_str(&to.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
}
