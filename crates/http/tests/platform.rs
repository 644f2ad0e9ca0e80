//! Connections to the platform on which an answer comes twice.

use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, mpsc, watch};
use tokio::time::{sleep, timeout};
use yarrowhill_engine::{EndpointList, Input, Notice, NoticeEnd};
use yarrowhill_http::discovery::{self, WatchConfig};
use yarrowhill_http::{ListedAddresses, notices};

const TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a copy of an answer comes, and for which the next request is out at least.
const COPY_AFTER: Duration = Duration::from_millis(100);

/// Answers requests on any number of connections, the n-th of all with the n-th answer. The first answer is
/// copied to its connection later, while the request numbered `held` waits. Requests beyond the last answer
/// stay open.
async fn platform(answers: Vec<String>, held: usize) -> (std::net::SocketAddr, Arc<Mutex<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is free");
    let address = listener.local_addr().expect("listener is bound");
    let count = Arc::new(Mutex::new(0));
    let requests = count.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answers.clone(), held, requests.clone()));
        }
    });
    (address, count)
}

async fn serve(stream: TcpStream, answers: Vec<String>, held: usize, requests: Arc<Mutex<usize>>) {
    let (mut reader, writer) = stream.into_split();
    let writer = Arc::new(Mutex::new(writer));
    let mut request = [0; 4096];
    while reader.read(&mut request).await.is_ok_and(|read| read > 0) {
        let number = {
            let mut count = requests.lock().await;
            *count += 1;
            *count - 1
        };
        let Some(answer) = answers.get(number).cloned() else { continue };
        if number == held {
            sleep(COPY_AFTER * 2).await;
        }
        // The peer may have closed the connection.
        let _ = writer.lock().await.write_all(answer.as_bytes()).await;
        if number == 0 {
            let writer = writer.clone();
            tokio::spawn(async move {
                sleep(COPY_AFTER).await;
                let _ = writer.lock().await.write_all(answer.as_bytes()).await;
            });
        }
    }
}

/// Guards against lost messages: a copy of the acknowledgement before was read as that of notices that the
/// platform refused, so that they were never sent again.
#[tokio::test]
async fn a_copy_of_an_acknowledgement_does_not_acknowledge_the_next_notices() {
    const ACKNOWLEDGED: &str = "HTTP/1.1 204 Done\r\n\r\n";
    const REFUSED: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    let answers = [ACKNOWLEDGED, REFUSED, ACKNOWLEDGED].map(str::to_owned).to_vec();
    let (address, requests) = platform(answers, 1).await;
    let (_address, address) = watch::channel(address);
    let (send, batches) = mpsc::channel(1);
    let (engine, mut inputs) = mpsc::channel(4);
    tokio::spawn(notices::send_all(address, batches, engine));
    for expected in [1, 3] {
        let notice = Notice { message_id: "m".into(), end: NoticeEnd::GivenUp };
        send.send(vec![notice]).await.expect("the task runs");
        let input = timeout(TIMEOUT, inputs.recv()).await.expect("the notice is acknowledged");
        assert!(matches!(input, Some(Input::NoticesAcknowledged(_))), "{input:?}");
        assert_eq!(*requests.lock().await, expected, "requests");
    }
}

/// Guards against calls by an outdated list: a copy of an earlier list was read as the answer to the next
/// request, after a newer one.
#[tokio::test]
async fn a_copy_of_an_earlier_list_is_not_taken_for_a_new_one() {
    let list = |version: u64| {
        let body = json!({"rev": version, "all": true, "targets": []}).to_string();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let (address, _) = platform(vec![list(5), list(6), list(7), list(8)], 2).await;
    let (_address, address) = watch::channel(address);
    let (engine, mut inputs) = mpsc::channel(16);
    let known = EndpointList { version: 1, is_full: true, endpoints: Vec::new() };
    let config = WatchConfig { version: 1, forwarders: None, seed: 1, max_list_bytes: 1 << 20 };
    tokio::spawn(discovery::watch(address, config, ListedAddresses::new(&known), engine));
    let mut versions = Vec::new();
    while versions.last() != Some(&8) {
        match timeout(TIMEOUT, inputs.recv()).await.expect("the list is sent") {
            Some(Input::List(list)) => versions.push(list.version),
            other => panic!("{other:?}"),
        }
    }
    assert!(versions.is_sorted(), "{versions:?}");
}
