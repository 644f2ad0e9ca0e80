//! Tests of `control`.

use super::*;

#[tokio::test]
async fn answers_a_request_and_reports_an_invalid_one() {
    let path = std::env::temp_dir().join(format!("yarrowhill-control-{}", std::process::id()));
    let handler = |command: String, argument: Value| async move {
        if command == "echo" { Ok(argument) } else { Err(format!("unknown command {command:?}")) }
    };
    let server = serve(&path, handler).expect("the socket is free");
    let task = tokio::spawn(server);
    let mode = fs::metadata(&path).expect("the socket exists").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(ask(&path, "echo", Value::from(7)).await.expect("answered"), Value::from(7));
    assert!(matches!(ask(&path, "unknown", Value::Null).await, Err(ControlError::Refused(_))));
    let mut raw = UnixStream::connect(&path).await.expect("connected");
    raw.write_all(b"rubbish\n").await.expect("written");
    let mut text = String::new();
    raw.read_to_string(&mut text).await.expect("read");
    assert!(text.contains("invalid request"), "{text}");
    // A second forwarder does not replace a socket that is in use.
    assert!(serve(&path, handler).is_err());
    task.abort();
    let _ = fs::remove_file(path);
}
