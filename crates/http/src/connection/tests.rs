use super::*;
use std::io::{Read, Write};
use tokio::task::yield_now;

/// Sends a request after the peer has done something that the runtime could not see yet: this thread stands
/// still meanwhile, and nothing that follows looks at the socket but the guard. Gives what came of it, and what
/// the peer read.
async fn crossed(by: fn(&mut std::net::TcpStream)) -> (Result<StatusCode, Broken>, Vec<u8>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    let (done, done_by_peer) = std::sync::mpsc::channel();
    let (begin, begun) = std::sync::mpsc::channel();
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("it connects");
        begun.recv().expect("somebody begins it");
        by(&mut stream);
        done.send(()).expect("somebody waits");
        stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
        let mut read = vec![0; 1000];
        let len = stream.read(&mut read).unwrap_or(0);
        read.truncate(len);
        read
    });
    let mut connection = Connection::open(to, Duration::from_secs(5)).await.expect("it opens");
    // The driver has had its turn and waits for the socket.
    for _ in 0..10 {
        yield_now().await;
    }
    begin.send(()).expect("the peer waits");
    done_by_peer.recv().expect("it does so");
    let mut request = Request::new(Full::new(Bytes::from_static(b"body")));
    *request.method_mut() = hyper::Method::POST;
    set_host(&mut request, to);
    let answer = connection.send(request, None).await.map(|answer| answer.status());
    (answer, peer.join().expect("it ends"))
}

#[tokio::test]
async fn a_copy_that_nobody_has_read_yet_is_no_answer_to_the_next_call() {
    let copy = |stream: &mut std::net::TcpStream| {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("it is open");
    };
    let (answer, read) = crossed(copy).await;
    assert!(matches!(answer, Err(Broken::Unwritten)) && read.is_empty(), "{answer:?} {read:?}");
}

#[tokio::test]
async fn nothing_is_written_to_a_connection_that_was_closed_unseen() {
    let close = |stream: &mut std::net::TcpStream| {
        stream.shutdown(std::net::Shutdown::Write).expect("it is open");
    };
    let (answer, read) = crossed(close).await;
    assert!(matches!(answer, Err(Broken::Unwritten)) && read.is_empty(), "{answer:?} {read:?}");
}

#[tokio::test]
async fn a_quiet_connection_carries_the_call() {
    let (answer, read) = crossed(|_| {}).await;
    assert!(matches!(answer, Err(Broken::InDoubt)) && read.ends_with(b"body"), "{answer:?} {read:?}");
}

fn seen(parts: &[&str]) -> Seen {
    let mut lines = Lines::default();
    parts.iter().fold(Seen::Nothing, |_, part| lines.read(part.as_bytes()))
}

#[test]
fn the_first_line_of_the_final_answer_is_found() {
    let ok = Seen::Status(StatusCode::OK);
    assert_eq!(seen(&["HTTP/1.1 200 OK\r\n"]), ok);
    assert_eq!(seen(&["HTTP/1.", "0 200", "\n\0noise"]), ok);
    assert_eq!(seen(&["HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n"]), ok);
    assert_eq!(seen(&["HTTP/1.1 102 Processing\r\n\r\n"]), Seen::Nothing);
    assert_eq!(seen(&["HTTP/1.1 102 Processing\r\n"]), Seen::Bytes);
    for other in [
        "HTTP/1.1 200",
        "HTTP/1.1 2000 OK\r\n",
        "HTTP/1.1 20",
        "\0\u{1}noise",
        "200 OK\r\n",
        "HTTP/1.1 20x\r\n",
    ] {
        assert_eq!(seen(&[other]), Seen::Bytes, "{other:?}");
    }
    // A line without an end does not fill the memory.
    let mut lines = Lines::default();
    assert_eq!((lines.read(&[b'x'; 5000]), lines.line.len()), (Seen::Bytes, LINE_MOST));
}
