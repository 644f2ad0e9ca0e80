//! Calls with several messages, over a loopback socket.

use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use yarrowhill_engine::{Call, CallEnd, Input, Item, Transport};
use yarrowhill_http::Pool;
use yarrowhill_policy::api::Outcome;

const SOON: Duration = Duration::from_millis(150);

/// Sends two messages in one call, the first with less time than the second, to an endpoint that never answers.
/// Gives the first news of the call and the endpoint's side of the connection, read up to the request's end.
async fn first_news(second_copies: bool) -> (CallEnd, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let to = listener.local_addr().expect("an address");
    let (inputs, mut news) = mpsc::channel(8);
    let item = |id, left| Item {
        id,
        attempt: 0,
        name: format!("m{id}"),
        key: None,
        body: "body".into(),
        until: Instant::now() + left,
    };
    let (_orders, orders) = mpsc::channel(3);
    let items = vec![item(1, SOON), item(2, SOON * 20)];
    let connect_timeout = Duration::from_secs(1);
    let call = Call { endpoint: 1, to, items, second_copies, connect_timeout, orders };
    Pool::new(4, Duration::from_secs(5)).start(call, inputs);
    let (mut stream, _) = listener.accept().await.expect("it calls");
    let mut text = Vec::new();
    while !text.ends_with(b"]") {
        stream.read_buf(&mut text).await.expect("it writes");
    }
    match timeout(SOON * 10, news.recv()).await.expect("its time is up") {
        Some(Input::Call(end)) => (end, stream),
        other => panic!("{other:?}"),
    }
}

fn ended(news: &CallEnd) -> Vec<(u64, Outcome)> {
    news.ended.iter().map(|e| (e.id, e.outcome)).collect()
}

#[tokio::test]
async fn a_message_whose_time_is_up_ends_by_itself_where_second_copies_may_go() {
    let (news, _stream) = first_news(true).await;
    assert_eq!(ended(&news), [(1, Outcome::TimedOut)]);
}

/// The second deployment forbids second copies: an attempt that has ended may go out again at once.
#[tokio::test]
async fn where_no_second_copy_may_go_nothing_ends_before_its_call_is_closed() {
    let (news, mut stream) = first_news(false).await;
    assert_eq!(ended(&news), [(1, Outcome::TimedOut), (2, Outcome::TimedOut)]);
    // Closed when it was told, not some time after.
    assert_eq!(timeout(SOON, stream.read(&mut [0; 16])).await.expect("it is closed").unwrap_or(0), 0);
}
