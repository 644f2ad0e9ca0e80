//! The control socket: a Unix socket with rights for its owner alone. One line of JSON each way, and that is all.

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

/// The longest question (bytes).
const QUESTION_MOST: u64 = 64 << 10;
/// The longest answer (bytes).
const ANSWER_MOST: u64 = 8 << 20;
/// Questions at once; others wait.
const AT_ONCE: usize = 8;
/// A question is read, and an answer written, within this.
const PATIENCE: Duration = Duration::from_secs(2);
/// After a failure to accept, such as for want of descriptors.
const PAUSE: Duration = Duration::from_millis(100);

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// Nobody listens there.
    #[error("{0}: {1}")]
    Socket(PathBuf, #[source] io::Error),
    /// Nothing came in time.
    #[error("{0}: no answer in time")]
    TimedOut(PathBuf),
    /// What came is no answer.
    #[error("the answer cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The forwarder says no.
    #[error("{0}")]
    Refused(String),
}

#[derive(Serialize, Deserialize)]
struct Question {
    ask: String,
    #[serde(default)]
    with: Value,
}

/// Listens at a path and answers by `answer`, which gets what is asked and with what. One that stood there before, with
/// nobody behind it, is replaced.
///
/// # Errors
///
/// The socket can't be had.
pub fn serve<F, A>(path: &Path, answer: F) -> Result<impl Future<Output = ()> + use<F, A>, ControlError>
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
    let answer = Arc::new(answer);
    let room = Arc::new(Semaphore::new(AT_ONCE));
    Ok(async move {
        loop {
            let Ok(place) = room.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let answer = answer.clone();
                    tokio::spawn(async move {
                        let _place = place;
                        let _ = timeout(PATIENCE * 2, converse(stream, &*answer)).await;
                    });
                }
                Err(e) => {
                    tracing::warn!("control: {e}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    })
}

async fn converse<F, A>(stream: UnixStream, answer: &F) -> io::Result<()>
where
    F: Fn(String, Value) -> A,
    A: Future<Output = Result<Value, String>>,
{
    let (read, mut write) = stream.into_split();
    let mut line = String::new();
    BufReader::new(read.take(QUESTION_MOST)).read_line(&mut line).await?;
    let told = match serde_json::from_str::<Question>(&line) {
        Ok(question) => answer(question.ask, question.with).await,
        Err(e) => Err(format!("the question cannot be read: {e}")),
    };
    let told = match told {
        Ok(value) => serde_json::json!({"ok": value}),
        Err(why) => serde_json::json!({"error": why}),
    };
    write.write_all(format!("{told}\n").as_bytes()).await?;
    write.shutdown().await
}

/// Asks the forwarder that listens at a path.
///
/// # Errors
///
/// Nobody listens, nothing comes in time, or it says no.
pub async fn ask(path: &Path, what: &str, with: Value) -> Result<Value, ControlError> {
    let question = serde_json::to_string(&Question { ask: what.to_owned(), with })?;
    let asked = async {
        let mut stream = UnixStream::connect(path).await?;
        stream.write_all(format!("{question}\n").as_bytes()).await?;
        let mut text = Vec::new();
        stream.take(ANSWER_MOST).read_to_end(&mut text).await?;
        Ok(text)
    };
    let text = match timeout(PATIENCE * 2, asked).await {
        Err(_) => return Err(ControlError::TimedOut(path.to_owned())),
        Ok(Err(e)) => return Err(ControlError::Socket(path.to_owned(), e)),
        Ok(Ok(text)) => text,
    };
    let mut value: Value = serde_json::from_slice(&text)?;
    match value.get_mut("ok") {
        Some(ok) => Ok(ok.take()),
        None => Err(ControlError::Refused(value["error"].as_str().unwrap_or("it says nothing").to_owned())),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn a_question_gets_its_answer_and_rubbish_a_reason() {
        let path = std::env::temp_dir().join(format!("yarrowhill-control-{}", std::process::id()));
        let answer = |what: String, with: Value| async move {
            if what == "echo" { Ok(with) } else { Err(format!("{what:?} is unknown")) }
        };
        let served = serve(&path, answer).expect("a socket");
        let task = tokio::spawn(served);
        let mode = fs::metadata(&path).expect("there").permissions().mode();
        assert_eq!(mode & 0o777, 0o600);
        assert_eq!(ask(&path, "echo", Value::from(7)).await.expect("told"), Value::from(7));
        assert!(matches!(ask(&path, "what", Value::Null).await, Err(ControlError::Refused(_))));
        let mut raw = UnixStream::connect(&path).await.expect("listens");
        raw.write_all(b"rubbish\n").await.expect("written");
        let mut text = String::new();
        raw.read_to_string(&mut text).await.expect("read");
        assert!(text.contains("cannot be read"), "{text}");
        // A second forwarder does not take the socket away.
        assert!(serve(&path, answer).is_err());
        task.abort();
        let _ = fs::remove_file(path);
    }
}
