//! The control socket: a Unix socket that only its owner may access. Each connection carries one request and
//! one response, each a line of JSON.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fs;
use std::future::Future;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Maximum length of a request.
const MAX_REQUEST_BYTES: u64 = 64 << 10;
/// Maximum length of a response.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;
/// Maximum number of concurrent connections; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 8;
/// Time allowed for reading a request, and again for writing its response.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after `accept` failed, for example because the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A failure to serve or query a control socket.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The socket cannot be opened or used; for a query, mostly because no forwarder listens on it.
    #[error("control socket {0}: {1}")]
    Socket(PathBuf, #[source] io::Error),
    /// The forwarder did not answer in time.
    #[error("control socket {0}: no answer within {seconds} s", seconds = (IO_TIMEOUT * 2).as_secs())]
    TimedOut(PathBuf),
    /// The response, or the request to be sent, is not valid JSON.
    #[error("invalid JSON on the control socket: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The forwarder answered with an error.
    #[error("{0}")]
    Refused(String),
}

#[derive(Serialize, Deserialize)]
struct Request {
    #[serde(rename = "ask")]
    command: String,
    #[serde(default, rename = "with")]
    argument: Value,
}

/// Listens on a control socket and answers each request with the result of `handler`, which receives the
/// command and its argument. A socket file that no process listens on is replaced.
///
/// # Errors
///
/// Another process listens on the socket, or it cannot be created.
pub fn serve<F, A>(path: &Path, handler: F) -> Result<impl Future<Output = ()> + use<F, A>, ControlError>
where
    F: Fn(String, Value) -> A + Send + Sync + 'static,
    A: Future<Output = Result<Value, String>> + Send,
{
    let failed = |e| ControlError::Socket(path.to_owned(), e);
    if std::os::unix::net::UnixStream::connect(path).is_ok() {
        return Err(failed(io::ErrorKind::AddrInUse.into()));
    }
    let _ = fs::remove_file(path);
    let listener = UnixListener::bind(path).map_err(failed)?;
    fs::set_permissions(path, fs::Permissions::from_mode(0o600)).map_err(failed)?;
    let handler = Arc::new(handler);
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    Ok(async move {
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let handler = handler.clone();
                    tokio::spawn(async move {
                        let _permit = permit;
                        let _ = timeout(IO_TIMEOUT * 2, answer_request(stream, &*handler)).await;
                    });
                }
                Err(e) => {
                    tracing::warn!("control: cannot accept a connection: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    })
}

async fn answer_request<F, A>(stream: UnixStream, handler: &F) -> io::Result<()>
where
    F: Fn(String, Value) -> A,
    A: Future<Output = Result<Value, String>>,
{
    let (read, mut write) = stream.into_split();
    let mut line = String::new();
    BufReader::new(read.take(MAX_REQUEST_BYTES)).read_line(&mut line).await?;
    let result = match serde_json::from_str::<Request>(&line) {
        Ok(request) => handler(request.command, request.argument).await,
        Err(e) => Err(format!("invalid request: {e}")),
    };
    let response = match result {
        Ok(value) => serde_json::json!({"ok": value}),
        Err(error) => serde_json::json!({"error": error}),
    };
    write.write_all(format!("{response}\n").as_bytes()).await?;
    write.shutdown().await
}

/// Sends a request to the forwarder that listens on a control socket, and returns its answer.
///
/// # Errors
///
/// No process listens on the socket, no answer arrives in time, or the answer is an error.
pub async fn ask(path: &Path, command: &str, argument: Value) -> Result<Value, ControlError> {
    let request = serde_json::to_string(&Request { command: command.to_owned(), argument })?;
    let exchange = async {
        let mut stream = UnixStream::connect(path).await?;
        stream.write_all(format!("{request}\n").as_bytes()).await?;
        let mut text = Vec::new();
        stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut text).await?;
        Ok(text)
    };
    let text = match timeout(IO_TIMEOUT * 2, exchange).await {
        Err(_) => return Err(ControlError::TimedOut(path.to_owned())),
        Ok(Err(e)) => return Err(ControlError::Socket(path.to_owned(), e)),
        Ok(Ok(text)) => text,
    };
    let mut value: Value = serde_json::from_slice(&text)?;
    match value.get_mut("ok") {
        Some(ok) => Ok(ok.take()),
        None => Err(ControlError::Refused(
            value["error"].as_str().unwrap_or("the answer holds no result and no error text").to_owned(),
        )),
    }
}

#[cfg(test)]
mod tests;
