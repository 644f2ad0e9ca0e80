//! Bare HTTP pass-through with hyper on both sides, the baseline of the `daemon` benchmark.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

type IdleSenders = Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>;

pub(crate) fn run(listen: SocketAddr, to: SocketAddr) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(listen).await?;
        let idle_senders = IdleSenders::default();
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let idle_senders = idle_senders.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(move |request| forward(request, to, idle_senders.clone()));
                let server = hyper::server::conn::http1::Builder::new();
                // The task ends when the client closes its connection; errors of a connection do not matter
                // here.
                let _ = server.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

async fn forward(
    request: Request<Incoming>,
    to: SocketAddr,
    idle_senders: IdleSenders,
) -> Result<Response<Full<Bytes>>, Box<dyn Error + Send + Sync>> {
    let (mut parts, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    if parts.uri.path() == "/-/ready" {
        return Ok(Response::new(Full::default()));
    }
    parts.uri = hyper::Uri::from_static("/hook");
    let idle_sender = idle_senders.borrow_mut().pop();
    let mut sender = match idle_sender {
        Some(sender) if !sender.is_closed() => sender,
        _ => {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
            tokio::task::spawn_local(connection);
            sender
        }
    };
    sender.ready().await?;
    let answer = sender.send_request(Request::from_parts(parts, Full::new(body))).await?;
    let status = answer.status();
    answer.into_body().collect().await?;
    idle_senders.borrow_mut().push(sender);
    if status != StatusCode::OK {
        return Err(Box::new(io::Error::other(format!("endpoint answered {status}, expected 200"))));
    }
    Ok(Response::new(Full::default()))
}
