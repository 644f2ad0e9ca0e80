use super::*;
use std::io::{Read, Write};
use tokio::task::yield_now;

/// Sends a request after the peer has done something that the runtime could not notice yet: this thread
/// blocks meanwhile, and only the check before the first write looks at the socket afterwards. Returns the
/// result, and the bytes that the peer read.
async fn send_after(peer_action: fn(&mut std::net::TcpStream)) -> (Result<StatusCode, SendError>, Vec<u8>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("port is free");
    let to = listener.local_addr().expect("listener is bound");
    let (done, done_by_peer) = std::sync::mpsc::channel();
    let (begin, begun) = std::sync::mpsc::channel();
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("client connects");
        begun.recv().expect("test gives the start signal");
        peer_action(&mut stream);
        done.send(()).expect("test waits for the action");
        stream.set_read_timeout(Some(Duration::from_millis(300))).expect("read time-out is valid");
        let mut read = vec![0; 1000];
        let len = stream.read(&mut read).unwrap_or(0);
        read.truncate(len);
        read
    });
    let mut connection =
        Connection::open(to, Duration::from_secs(5), BodyMemory::new(0)).await.expect("connection opens");
    // Let the driver run until it waits for the socket.
    for _ in 0..10 {
        yield_now().await;
    }
    begin.send(()).expect("peer waits for the start signal");
    done_by_peer.recv().expect("peer completes the action");
    let mut request = Request::new(Full::new(Bytes::from_static(b"body")));
    *request.method_mut() = hyper::Method::POST;
    set_host(&mut request, to);
    let result = connection.send(request, None).await.map(|response| response.status());
    (result, peer.join().expect("peer does not panic"))
}

#[tokio::test]
async fn does_not_take_an_unread_copy_for_the_next_response() {
    let copy = |stream: &mut std::net::TcpStream| {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("stream is open");
    };
    let (result, read) = send_after(copy).await;
    assert!(matches!(result, Err(SendError::NotWritten)) && read.is_empty(), "{result:?} {read:?}");
}

#[tokio::test]
async fn writes_nothing_to_a_connection_that_the_peer_has_closed() {
    let close = |stream: &mut std::net::TcpStream| {
        stream.shutdown(std::net::Shutdown::Write).expect("stream is open");
    };
    let (result, read) = send_after(close).await;
    assert!(matches!(result, Err(SendError::NotWritten)) && read.is_empty(), "{result:?} {read:?}");
}

#[tokio::test]
async fn sends_on_an_idle_connection() {
    let (result, read) = send_after(|_| {}).await;
    assert!(
        matches!(result, Err(SendError::MayHaveArrived)) && read.ends_with(b"body"),
        "{result:?} {read:?}"
    );
}
