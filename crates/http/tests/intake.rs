//! What the intake hands on, over a loopback socket, with the test in the engine's place.

use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use yarrowhill_engine::{Answer, Input, Phase};
use yarrowhill_http::Intake;

const BODY: usize = 200;

/// Seen on the long day: a held message of 200 bytes kept the 8 KiB buffer that it was read into, and the
/// busy forwarder's memory grew with what it held.
#[tokio::test]
async fn a_held_body_takes_memory_of_its_own_size() {
    let settings = json!({"classes": [{"name": "settle-order", "idempotency": "side_effect"}]});
    let (settings, names) = yarrowhill_settings::from_json(&settings).expect("they are well formed");
    let (engine, mut inputs) = mpsc::channel(8);
    let (_phase, phase) = watch::channel(Phase::Serving);
    let intake = Arc::new(Intake::new(names, settings, engine, phase, 1024));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let to = listener.local_addr().expect("an address");
    tokio::spawn(yarrowhill_http::serve(listener, 8, intake));
    let mut client = TcpStream::connect(to).await.expect("it listens");
    // The second comes on a connection whose buffer has been used before.
    for n in 0..3 {
        let head = format!(
            "POST /settle-order HTTP/1.1\r\nHost: a\r\nReq-Id: m{n}\r\nReq-Deadline-Ms: 9000\r\nEnvelope: dest=7\r\n\
             Content-Length: {BODY}\r\n\r\n"
        );
        client.write_all(&[head.as_bytes(), &[b'x'; BODY]].concat()).await.expect("it reads");
        let input = timeout(Duration::from_secs(5), inputs.recv()).await.expect("it comes");
        let Some(Input::Submission(message)) = input else { panic!("{input:?}") };
        assert_eq!(message.body.len(), BODY);
        let own = message.body.try_into_mut().expect("nobody shares it");
        assert!(own.capacity() <= 2 * BODY, "{} bytes are held", own.capacity());
        let _ = message.answer.send(Answer::Accepted);
        let mut answer = vec![0; 256];
        let read = client.read(&mut answer).await.expect("it answers");
        assert!(answer[..read].starts_with(b"HTTP/1.1 202 "));
    }
}
