//! Calls with several messages, over a loopback socket.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use yarrowhill_engine::{Call, CallUpdate, Input, Item, Transport};
use yarrowhill_http::Pool;
use yarrowhill_policy::api::Outcome;

const SOON: Duration = Duration::from_millis(150);

/// A call to this address, as most tests make it.
fn call(to: SocketAddr, items: Vec<Item>, orders: mpsc::Receiver<yarrowhill_engine::CallCommand>) -> Call {
    Call {
        endpoint: 1,
        dest: 10,
        address: to,
        decided_at: Instant::now(),
        items,
        may_overlap_attempts: true,
        connect_timeout: Duration::from_secs(1),
        has_alternative: false,
        commands: orders,
    }
}

/// Sends two messages in one call, the first with less time than the second, to an endpoint that never
/// answers. Gives the first news of the call and the endpoint's side of the connection, read up to the
/// request's end.
async fn first_news(second_copies: bool) -> (CallUpdate, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let to = listener.local_addr().expect("an address");
    let (inputs, mut news) = mpsc::channel(8);
    let item = |id, left| item(id, Instant::now() + left, Instant::now() + left);
    let (_orders, orders) = mpsc::channel(3);
    let items = vec![item(1, SOON), item(2, SOON * 20)];
    let call = Call { may_overlap_attempts: second_copies, ..call(to, items, orders) };
    Pool::new(4, Duration::from_secs(5)).start_call(call, inputs);
    let (mut stream, _) = listener.accept().await.expect("it calls");
    let mut text = Vec::new();
    while !text.ends_with(b"]") {
        stream.read_buf(&mut text).await.expect("it writes");
    }
    match timeout(SOON * 10, news.recv()).await.expect("its time is up") {
        Some(Input::CallUpdate(end)) => (end, stream),
        other => panic!("{other:?}"),
    }
}

/// An address whose connections do not come up until somebody accepts: its queue is full.
async fn jammed() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let listener = socket.listen(1).expect("it listens");
    let to = listener.local_addr().expect("it is bound");
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(SOON, TcpStream::connect(to)).await {
        queued.push(stream);
    }
    (listener, queued)
}

/// Guards the life of a key: the module decides in time, and the connection comes up when the destination has
/// forgotten it. What of the call may still begin goes out alone.
#[tokio::test]
async fn what_may_no_longer_begin_once_the_connection_is_up_is_not_written() {
    let (listener, queued) = jammed().await;
    let to = listener.local_addr().expect("it is bound");
    let (inputs, mut news) = mpsc::channel(8);
    let (_orders, orders) = mpsc::channel(3);
    let now = Instant::now();
    let items = vec![item(1, now + SOON * 60, now + SOON), item(2, now + SOON * 60, now + SOON * 60)];
    let call = Call { may_overlap_attempts: false, connect_timeout: SOON * 50, ..call(to, items, orders) };
    Pool::new(4, Duration::from_secs(5)).start_call(call, inputs);
    match timeout(SOON * 10, news.recv()).await.expect("its time is up") {
        Some(Input::CallUpdate(end)) => assert_eq!(ended(&end), [(1, Outcome::NotSent)]),
        other => panic!("{other:?}"),
    }
    for _ in 0..queued.len() {
        listener.accept().await.expect("one was queued");
    }
    drop(queued);
    let (mut stream, _) =
        timeout(SOON * 50, listener.accept()).await.expect("tried again").expect("it is up");
    let mut text = Vec::new();
    while !text.ends_with(b"body") {
        assert!(stream.read_buf(&mut text).await.expect("it writes") > 0);
    }
    let text = String::from_utf8_lossy(&text);
    assert!(text.starts_with("POST /hook HTTP/1.1") && text.contains("m2"), "{text}");
}

fn ended(news: &CallUpdate) -> Vec<(u64, Outcome)> {
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
    // Closed when it was told, not some time after: not its sending alone, so that what is written is
    // answered by a reset.
    assert_eq!(timeout(SOON, stream.read(&mut [0; 16])).await.expect("it is closed").unwrap_or(0), 0);
    let reset = async { while stream.write_all(b"HTTP/1.1 ").await.is_ok() {} };
    timeout(SOON, reset).await.expect("it is closed both ways");
}

/// An endpoint on a thread of its own, so that it works while this one stands still: answers every call, and
/// does as it is told right behind the first answer of a connection. Gives the calls that it read, by
/// connection.
fn endpoint(behind: fn(&mut std::net::TcpStream)) -> (SocketAddr, std::sync::mpsc::Receiver<usize>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    let (read, calls) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            let read = read.clone();
            std::thread::spawn(move || serve(stream, n, behind, &read));
        }
    });
    (to, calls)
}

fn serve(
    mut stream: std::net::TcpStream,
    n: usize,
    behind: fn(&mut std::net::TcpStream),
    read: &std::sync::mpsc::Sender<usize>,
) {
    let mut text = Vec::new();
    let mut first = true;
    loop {
        let mut some = [0; 4096];
        match stream.read(&mut some) {
            Ok(len) if len > 0 => text.extend_from_slice(&some[..len]),
            _ => return,
        }
        if !text.ends_with(b"body") {
            continue;
        }
        text.clear();
        // Nobody listens any longer once the test is over.
        let _ = read.send(n);
        // What a copy is followed by is an error: believed, the copy would hide it.
        let status = if first && n == 0 { "200 OK" } else { "500 Error" };
        let _ = write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        if std::mem::take(&mut first) && n == 0 {
            std::thread::sleep(SOON / 3);
            behind(&mut stream);
        }
    }
}

fn item(id: u64, until: Instant, begin_by: Instant) -> Item {
    Item {
        id,
        attempt: 0,
        message_id: format!("m{id}"),
        key: None,
        body: "body".into(),
        deadline: until,
        begin_by,
        is_retry: false,
    }
}

/// Calls twice. Between the two this thread stands still, so that the runtime knows nothing of what comes
/// meanwhile.
async fn two_calls(behind: fn(&mut std::net::TcpStream)) -> (Vec<Outcome>, Vec<usize>) {
    let (to, calls) = endpoint(behind);
    let mut pool = Pool::new(4, Duration::from_secs(5));
    pool.set_endpoint_address(1, Some(to));
    let (inputs, mut news) = mpsc::channel(8);
    let mut outcomes = Vec::new();
    for id in 0..2 {
        let (_orders, orders) = mpsc::channel(2);
        let until = Instant::now() + SOON * 20;
        let items = vec![item(id, until, until)];
        pool.start_call(call(to, items, orders), inputs.clone());
        match timeout(SOON * 30, news.recv()).await.expect("it ends") {
            Some(Input::CallUpdate(end)) => outcomes.extend(end.ended.iter().map(|e| e.outcome)),
            other => panic!("{other:?}"),
        }
        std::thread::sleep(SOON);
    }
    (outcomes, calls.try_iter().collect())
}

/// A copy of an answer that the runtime has not seen yet is no answer to the next call, which goes out once.
#[tokio::test]
async fn a_copy_that_crosses_the_next_call_is_not_its_answer() {
    let copy = |stream: &mut std::net::TcpStream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    };
    let (outcomes, calls) = two_calls(copy).await;
    assert_eq!((outcomes, calls), (vec![Outcome::Delivered, Outcome::Error], vec![0, 1]));
}

/// Nor does a call go to a connection that has been closed, where nobody could tell whether it ran.
#[tokio::test]
async fn a_connection_that_was_closed_unseen_carries_no_call() {
    let close = |stream: &mut std::net::TcpStream| {
        let _ = stream.shutdown(std::net::Shutdown::Both);
    };
    let (outcomes, calls) = two_calls(close).await;
    assert_eq!((outcomes, calls), (vec![Outcome::Delivered, Outcome::Error], vec![0, 1]));
}

/// One message in a call to this address, and what the test may order.
fn call_to(
    to: SocketAddr,
    until: Instant,
) -> (mpsc::Sender<yarrowhill_engine::CallCommand>, mpsc::Receiver<Input>) {
    let (inputs, news) = mpsc::channel(8);
    let (order, orders) = mpsc::channel(2);
    let items = vec![item(1, until, until)];
    Pool::new(4, Duration::from_secs(5)).start_call(call(to, items, orders), inputs);
    (order, news)
}

/// A call with so much time that has been written, and the endpoint's side of it.
async fn written(
    left: Duration,
) -> (TcpStream, mpsc::Sender<yarrowhill_engine::CallCommand>, mpsc::Receiver<Input>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let to = listener.local_addr().expect("an address");
    let (order, news) = call_to(to, Instant::now() + left);
    let (mut stream, _) = listener.accept().await.expect("it calls");
    assert!(stream.read(&mut [0; 4096]).await.expect("it writes") > 0);
    (stream, order, news)
}

async fn next(news: &mut mpsc::Receiver<Input>) -> CallUpdate {
    match timeout(SOON * 20, news.recv()).await.expect("it ends") {
        Some(Input::CallUpdate(end)) => end,
        other => panic!("{other:?}"),
    }
}

/// A first line with 200 delivers a message, also where its time is up before the rest comes: it was taken
/// for timed out, and a message that must not run twice was given up, or one that may was sent again.
#[tokio::test]
async fn a_first_line_just_before_the_time_is_up_delivers() {
    let (mut stream, _order, mut news) = written(SOON * 2).await;
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Len").await.expect("it reads");
    let end = next(&mut news).await;
    assert_eq!(ended(&end), [(1, Outcome::Delivered)]);
    assert!(end.ended[0].finished);
}

/// Also where the attempt is cancelled in that moment.
#[tokio::test]
async fn a_first_line_just_before_a_call_is_cancelled_delivers() {
    let (mut stream, order, mut news) = written(SOON * 20).await;
    stream.write_all(b"HTTP/1.1 200 OK\r\n").await.expect("it reads");
    tokio::time::sleep(SOON).await;
    order.send(yarrowhill_engine::CallCommand::Cancel(1, 0)).await.expect("it is out");
    assert_eq!(ended(&next(&mut news).await), [(1, Outcome::Delivered)]);
}

/// What is ordered before the task of a call has had its first turn holds before a byte leaves.
#[tokio::test]
async fn a_hold_before_the_first_turn_of_a_call_is_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let to = listener.local_addr().expect("an address");
    let (order, mut news) = call_to(to, Instant::now() + SOON * 20);
    order.try_send(yarrowhill_engine::CallCommand::Defer).expect("there is room");
    assert_eq!(ended(&next(&mut news).await), [(1, Outcome::NotSent)]);
    let connected = timeout(SOON, listener.accept()).await;
    if let Ok(Ok((mut stream, _))) = connected {
        assert_eq!(stream.read(&mut [0; 16]).await.unwrap_or(0), 0, "it was written");
    }
}

/// Seen on a day on which connections come up late: a call was cancelled 52 ms after its first byte, as its
/// answer with a wait was on its way, and the next call went out within that wait.
#[tokio::test]
async fn a_call_that_was_just_written_is_heard_out_before_it_is_cancelled() {
    let (mut stream, order, mut news) = written(SOON * 20).await;
    order.send(yarrowhill_engine::CallCommand::Cancel(1, 0)).await.expect("it is out");
    assert!(timeout(SOON / 3, news.recv()).await.is_err(), "it was not heard out");
    let answer = b"HTTP/1.1 429 Busy\r\nWait-Ms: 700\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(answer).await.expect("it reads");
    let end = next(&mut news).await;
    assert_eq!(ended(&end), [(1, Outcome::Full { wait: Some(700_000) })]);
}

/// Without an answer it is cancelled all the same, soon.
#[tokio::test]
async fn a_call_that_is_heard_out_in_vain_is_cancelled() {
    let (_stream, order, mut news) = written(SOON * 20).await;
    let since = Instant::now();
    order.send(yarrowhill_engine::CallCommand::Cancel(1, 0)).await.expect("it is out");
    assert_eq!(ended(&next(&mut news).await), [(1, Outcome::Cancelled)]);
    assert!(since.elapsed() < SOON * 3, "{:?}", since.elapsed());
}

/// The endpoint's side of a call that is given up: it answers only once it has read the end of the call's
/// sending, as an answer does that was on its way just then. On a thread of its own, so that nothing here
/// makes it late.
fn answers_at_the_end(stream: TcpStream, answer: &'static [u8]) -> std::thread::JoinHandle<()> {
    let mut stream = stream.into_std().expect("a socket");
    stream.set_nonblocking(false).expect("it may block");
    std::thread::spawn(move || {
        assert_eq!(stream.read(&mut [0; 16]).expect("no reset"), 0, "nothing more is asked for");
        stream.write_all(answer).expect("it still reads");
    })
}

const BUSY: &[u8] = b"HTTP/1.1 429 Busy\r\nWait-Ms: 700\r\nContent-Length: 0\r\n\r\n";

/// Guards the rule on waits: one counts as told when it is written, also where the call's time is up in that
/// moment. The connection was closed over it, and the next call went out within the wait.
#[tokio::test]
async fn a_wait_on_its_way_as_the_time_is_up_binds() {
    let (stream, _order, mut news) = written(SOON).await;
    let endpoint = answers_at_the_end(stream, BUSY);
    assert_eq!(ended(&next(&mut news).await), [(1, Outcome::Full { wait: Some(700_000) })]);
    endpoint.join().expect("it answers");
}

/// The same as it is cancelled, long after its first byte.
#[tokio::test]
async fn a_wait_on_its_way_as_a_call_is_cancelled_binds() {
    let (stream, order, mut news) = written(SOON * 20).await;
    let endpoint = answers_at_the_end(stream, BUSY);
    tokio::time::sleep(SOON * 2).await;
    order.send(yarrowhill_engine::CallCommand::Cancel(1, 0)).await.expect("it is out");
    assert_eq!(ended(&next(&mut news).await), [(1, Outcome::Full { wait: Some(700_000) })]);
    endpoint.join().expect("it answers");
}

/// Guards the rule on second copies: a message that has been delivered is over, whoever had given the call
/// up.
#[tokio::test]
async fn a_delivery_on_its_way_as_a_call_is_given_up_counts() {
    let (stream, _order, mut news) = written(SOON).await;
    let endpoint = answers_at_the_end(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let end = next(&mut news).await;
    assert_eq!(ended(&end), [(1, Outcome::Delivered)]);
    assert!(end.ended[0].finished);
    endpoint.join().expect("it answers");
}

/// An endpoint that hangs holds what is given up hardly longer.
#[tokio::test]
async fn an_endpoint_that_hangs_is_not_waited_for() {
    let since = Instant::now();
    let (_stream, _order, mut news) = written(SOON * 2).await;
    assert_eq!(ended(&next(&mut news).await), [(1, Outcome::TimedOut)]);
    assert!(since.elapsed() < SOON * 3, "{:?}", since.elapsed());
}

/// A batch's answer that breaks off within says of no message that it never ran.
#[tokio::test]
async fn of_a_batch_whose_answer_is_cut_each_message_may_have_run() {
    for cut in ["", "[{\"id\":\"m1\",\"state\":\"accepted\"},{\"id\":\"m2\",\"sta"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let to = listener.local_addr().expect("an address");
        let (inputs, mut news) = mpsc::channel(8);
        let (_orders, orders) = mpsc::channel(3);
        let until = Instant::now() + SOON * 20;
        let items = vec![item(1, until, until), item(2, until, until)];
        Pool::new(4, Duration::from_secs(5)).start_call(call(to, items, orders), inputs);
        let (mut stream, _) = listener.accept().await.expect("it calls");
        assert!(stream.read(&mut [0; 4096]).await.expect("it writes") > 0);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n{cut}");
        stream.write_all(answer.as_bytes()).await.expect("it reads");
        drop(stream);
        let end = next(&mut news).await;
        assert_eq!(ended(&end), [(1, Outcome::Malformed), (2, Outcome::Malformed)], "{cut:?}");
        assert!(end.ended.iter().all(|end| !end.finished && !end.outcome.never_ran()));
    }
}

/// A connection that does not come up in its time is given up: its message is free again, and nothing is
/// written to it when it comes up all the same.
#[tokio::test]
async fn a_connection_that_comes_up_after_its_time_carries_nothing() {
    let (listener, queued) = jammed().await;
    let to = listener.local_addr().expect("it is bound");
    let (inputs, mut news) = mpsc::channel(8);
    let (_orders, orders) = mpsc::channel(3);
    let until = Instant::now() + SOON * 60;
    let call = Call { connect_timeout: SOON * 2, ..call(to, vec![item(1, until, until)], orders) };
    Pool::new(4, Duration::from_secs(5)).start_call(call, inputs);
    assert_eq!(ended(&next(&mut news).await), [(1, Outcome::ConnectFailed)]);
    for _ in 0..queued.len() {
        listener.accept().await.expect("one was queued");
    }
    // The system tries again after a second, if there is still somebody who wants it.
    while let Ok(Ok((mut late, _))) = timeout(SOON * 10, listener.accept()).await {
        assert_eq!(late.read(&mut [0; 16]).await.unwrap_or(0), 0, "it was written");
    }
}

/// Where another endpoint may have the message it does not wait for a connection that comes up late. That one
/// is kept, and carries the next call.
#[tokio::test]
async fn a_late_connection_frees_its_message_and_is_kept() {
    let (listener, queued) = jammed().await;
    let to = listener.local_addr().expect("it is bound");
    let mut pool = Pool::new(4, Duration::from_secs(5));
    pool.set_endpoint_address(1, Some(to));
    let (inputs, mut news) = mpsc::channel(8);
    let until = Instant::now() + SOON * 60;
    let call = |id| {
        let (_, orders) = mpsc::channel(2);
        Call {
            connect_timeout: SOON * 20,
            has_alternative: true,
            ..call(to, vec![item(id, until, until)], orders)
        }
    };
    let start = Instant::now();
    pool.start_call(call(1), inputs.clone());
    assert_eq!(ended(&next(&mut news).await), [(1, Outcome::ConnectFailed)]);
    assert!(start.elapsed() < SOON * 10, "{:?}", start.elapsed());
    for _ in 0..queued.len() {
        listener.accept().await.expect("one was queued");
    }
    let (mut late, _) = timeout(SOON * 20, listener.accept()).await.expect("tried again").expect("it is up");
    // The program sees it as soon as the test does.
    tokio::time::sleep(SOON).await;
    pool.start_call(call(2), inputs);
    let mut text = Vec::new();
    while !text.ends_with(b"body") {
        assert!(
            timeout(SOON * 4, late.read_buf(&mut text)).await.expect("on this one").expect("it writes") > 0
        );
    }
    assert!(String::from_utf8_lossy(&text).contains("m2"));
}
