//! Notices beside a platform that takes its time for each acknowledgement.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};
use yarrowhill_engine::{Input, Notice, NoticeEnd};
use yarrowhill_http::notices;

/// Time that an acknowledgement takes for which the forwarder does not wait before it sends again.
const LATE: Duration = Duration::from_millis(1500);
/// Time that an acknowledgement takes for which the forwarder waits.
const IN_TIME: Duration = Duration::from_millis(250);
/// Time after a message's deadline at which its notice is overdue.
const NOTICE_DUE_WITHIN: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(10);

/// A request with notices: when it arrived, and its body.
type Arrival = (Instant, String);

/// A platform that takes the given time for each acknowledgement.
async fn slow_platform(acknowledgement_time: Duration) -> (SocketAddr, mpsc::UnboundedReceiver<Arrival>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is free");
    let address = listener.local_addr().expect("listener is bound");
    let (send, arrivals) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(acknowledge(stream, acknowledgement_time, send.clone()));
        }
    });
    (address, arrivals)
}

/// Takes one request: its head and body arrive together.
async fn acknowledge(mut stream: TcpStream, after: Duration, arrivals: mpsc::UnboundedSender<Arrival>) {
    let mut request = vec![0; 64 << 10];
    let Ok(length @ 1..) = stream.read(&mut request).await else { return };
    let request = String::from_utf8_lossy(&request[..length]).into_owned();
    let body = request.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned();
    let _ = arrivals.send((Instant::now(), body));
    sleep(after).await;
    // The forwarder may have closed the connection.
    let _ = stream.write_all(b"HTTP/1.1 204 Done\r\n\r\n").await;
}

fn notice(id: &str) -> Notice {
    Notice { message_id: id.into(), end: NoticeEnd::GivenUp }
}

/// Guards against notices that are sent again and again: each attempt was given up before its acknowledgement came,
/// the next one after the same time, and all later notices waited behind them.
#[tokio::test]
async fn notices_are_acknowledged_however_late_the_platform_does_it() {
    let (address, mut arrivals) = slow_platform(LATE).await;
    let (_address, address) = watch::channel(address);
    let (send, batches) = mpsc::channel(1);
    let (engine, mut inputs) = mpsc::channel(4);
    tokio::spawn(notices::send_all(address, batches, engine));
    for id in ["first", "second"] {
        send.send(vec![notice(id)]).await.expect("the task runs");
        let input = timeout(TIMEOUT, inputs.recv()).await.expect("the notice is acknowledged");
        assert!(matches!(input, Some(Input::NoticesAcknowledged(_))), "{input:?}");
    }
    let mut requests = 0;
    while arrivals.try_recv().is_ok() {
        requests += 1;
    }
    assert!(requests <= 4, "{requests} requests for two notices");
}

/// Guards against notices that are overdue because an earlier one is not acknowledged yet.
#[tokio::test]
async fn notices_do_not_wait_for_the_acknowledgement_of_earlier_ones() {
    let (address, mut arrivals) = slow_platform(LATE).await;
    let (_address, address) = watch::channel(address);
    let (send, batches) = mpsc::channel(1);
    let (engine, _inputs) = mpsc::channel(64);
    tokio::spawn(notices::send_all(address, batches, engine));
    for number in 0..30 {
        let (id, ended_at) = (format!("m{number}"), Instant::now());
        send.send(vec![notice(&id)]).await.expect("the task runs");
        loop {
            let arrival = timeout(TIMEOUT, arrivals.recv()).await.expect("the notice arrives");
            let (arrived_at, body) = arrival.expect("the platform runs");
            if body.contains(&format!("{id:?}")) {
                let after = arrived_at - ended_at;
                assert!(after < NOTICE_DUE_WITHIN, "notice {number} arrived after {after:?}");
                break;
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against notices that are sent twice although their acknowledgement comes in time: each later notice took
/// all earlier ones along.
#[tokio::test]
async fn notices_are_sent_once_if_they_are_acknowledged_in_time() {
    let (address, mut arrivals) = slow_platform(IN_TIME).await;
    let (_address, address) = watch::channel(address);
    let (send, batches) = mpsc::channel(1);
    let (engine, mut inputs) = mpsc::channel(4);
    tokio::spawn(notices::send_all(address, batches, engine));
    let ids = ["first", "second", "third"];
    let mut bodies = String::new();
    for id in ids {
        send.send(vec![notice(id)]).await.expect("the task runs");
        let arrival = timeout(TIMEOUT, arrivals.recv()).await.expect("the notice arrives");
        bodies += &arrival.expect("the platform runs").1;
    }
    let mut acknowledged = 0;
    while acknowledged < ids.len() {
        let input = timeout(TIMEOUT, inputs.recv()).await.expect("the notices are acknowledged");
        let Some(Input::NoticesAcknowledged(notices)) = input else { panic!("{input:?}") };
        acknowledged += notices.len();
    }
    while let Ok((_, body)) = arrivals.try_recv() {
        bodies += &body;
    }
    for id in ids {
        assert_eq!(bodies.matches(&format!("{id:?}")).count(), 1, "{bodies}");
    }
}
