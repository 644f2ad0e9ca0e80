//! Messages that the intake submits, sent over a loopback socket; the test takes the place of the engine.

use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use yarrowhill_engine::{Answer, Input, Phase};
use yarrowhill_http::Intake;

const BODY_BYTES: usize = 200;

/// Guards against memory growth under load: a held message of 200 bytes kept the 8 KiB buffer that it was
/// read into.
#[tokio::test]
async fn a_held_body_takes_memory_only_for_its_own_size() {
    let settings = json!({"classes": [{"name": "settle-order", "idempotency": "side_effect"}]});
    let (settings, names) = yarrowhill_settings::from_json(&settings).expect("settings are valid");
    let (engine, mut inputs) = mpsc::channel(8);
    let (_phase, phase) = watch::channel(Phase::Serving);
    let intake = Arc::new(Intake::new(names, settings, engine, phase, 1024));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is free");
    let to = listener.local_addr().expect("listener is bound");
    tokio::spawn(yarrowhill_http::serve(listener, 8, intake));
    let mut client = TcpStream::connect(to).await.expect("server listens");
    // From the second message on, the connection's buffer has been used before.
    for n in 0..3 {
        let head = format!(
            "POST /settle-order HTTP/1.1\r\nHost: a\r\nReq-Id: m{n}\r\nReq-Deadline-Ms: 9000\r\nEnvelope: dest=7\r\n\
             Content-Length: {BODY_BYTES}\r\n\r\n"
        );
        client.write_all(&[head.as_bytes(), &[b'x'; BODY_BYTES]].concat()).await.expect("server reads");
        let input = timeout(Duration::from_secs(5), inputs.recv()).await.expect("message arrives");
        let Some(Input::Submission(message)) = input else { panic!("{input:?}") };
        assert_eq!(message.body.len(), BODY_BYTES);
        let body = message.body.try_into_mut().expect("body is not shared");
        assert!(body.capacity() <= 2 * BODY_BYTES, "{} bytes are held", body.capacity());
        let _ = message.answer.send(Answer::Accepted);
        let mut answer = vec![0; 256];
        let read = client.read(&mut answer).await.expect("server answers");
        assert!(answer[..read].starts_with(b"HTTP/1.1 202 "));
    }
}
