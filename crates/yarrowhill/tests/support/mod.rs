//! Small loopback stand-ins for targets, discovery and clients, and the real program between them.
#![allow(missing_docs)]
// Each file of tests uses a part of it.
#![allow(dead_code)]

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use std::{env, fs, io, process};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use yarrowhill_journal::{Accepted, Durability, Journal, Options, Record};

/// Longer than anything that a test waits for should take.
pub const SOON: Duration = Duration::from_secs(10);

/// A request that a stand-in got. Unless it is answered, its connection stays silent.
pub struct Call {
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    reply: oneshot::Sender<Option<Response<Full<Bytes>>>>,
}

impl Call {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    pub fn answer(self, status: u16) {
        self.answer_with(status, &[], "");
    }

    pub fn answer_with(self, status: u16, headers: &[(&str, &str)], body: &str) {
        let mut reply = Response::builder().status(status);
        for (name, value) in headers {
            reply = reply.header(*name, *value);
        }
        let _ = self.reply.send(reply.body(Full::new(Bytes::from(body.to_owned()))).ok());
    }

    /// Ends the connection without an answer.
    pub fn hang_up(self) {
        let _ = self.reply.send(None);
    }

    /// Keeps the body and does something with the rest.
    pub fn body_then(self, then: impl FnOnce(Self)) -> Bytes {
        let body = self.body.clone();
        then(self);
        body
    }

    /// Does something that closes the connection, and waits until it is closed.
    pub async fn closed_after(self, act: impl FnOnce()) {
        act();
        self.closed().await;
    }

    /// Waits until the other side has closed the connection.
    pub async fn closed(mut self) {
        timeout(SOON, self.reply.closed()).await.expect("the call is given up");
    }
}

/// An HTTP server whose answers the test gives.
pub struct Stub {
    pub addr: SocketAddr,
    calls: mpsc::UnboundedReceiver<Call>,
    accepted: Arc<AtomicUsize>,
    listening: AbortHandle,
}

impl Stub {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("it is bound");
        let (send, calls) = mpsc::unbounded_channel();
        let accepted = Arc::new(AtomicUsize::new(0));
        let count = accepted.clone();
        let listening = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, send.clone()));
            }
        });
        Stub { addr, calls, accepted, listening: listening.abort_handle() }
    }

    /// Connections so far.
    pub fn connections(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Listens no longer: an address where connections are refused.
    pub async fn closed(self) -> SocketAddr {
        self.listening.abort();
        while TcpStream::connect(self.addr).await.is_ok() {
            sleep(Duration::from_millis(1)).await;
        }
        self.addr
    }

    pub async fn next(&mut self) -> Call {
        timeout(SOON, self.calls.recv()).await.expect("a call comes").expect("the stub lives")
    }

    /// The next call, if one comes in this time.
    pub async fn next_within(&mut self, span: Duration) -> Option<Call> {
        timeout(span, self.calls.recv()).await.ok().flatten()
    }

    /// Whether nothing has come for so long.
    pub async fn is_quiet(&mut self, span: Duration) -> bool {
        timeout(span, self.calls.recv()).await.is_err()
    }
}

async fn serve(stream: TcpStream, calls: mpsc::UnboundedSender<Call>) {
    let service = service_fn(|request: Request<Incoming>| async {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let (reply, answer) = oneshot::channel();
        let path = parts.uri.to_string();
        let _ = calls.send(Call { path, headers: parts.headers, body, reply });
        answer.await.ok().flatten().ok_or(io::Error::from(io::ErrorKind::ConnectionReset))
    });
    let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Discovery: holds watches until a list is pushed, and passes notices on to the test.
pub struct Discovery {
    pub addr: SocketAddr,
    lists: mpsc::UnboundedSender<Value>,
    notices: mpsc::UnboundedReceiver<Call>,
}

impl Discovery {
    pub async fn start() -> Self {
        let mut stub = Stub::start().await;
        let addr = stub.addr;
        let (lists, mut pushed) = mpsc::unbounded_channel::<Value>();
        let (pass_on, notices) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            // All that was pushed, in this order, and the call that waits for more.
            let (mut told, mut watch): (Vec<Value>, Option<Call>) = (Vec::new(), None);
            loop {
                tokio::select! {
                    Some(call) = stub.calls.recv() => match call.path.starts_with("/api/targets") {
                        true => watch = Some(call),
                        false => drop(pass_on.send(call)),
                    },
                    Some(new) = pushed.recv() => told.push(new),
                    else => return,
                }
                let Some(call) = watch.take() else { continue };
                let index = call.path.split("index=").nth(1).and_then(|i| i.split('&').next());
                let index: Option<u64> = index.and_then(|i| i.parse().ok());
                let known = index.and_then(|i| told.iter().rposition(|list| list["rev"] == i));
                match told.get(known.map_or(0, |known| known + 1)) {
                    Some(news) => call.answer_with(200, &[], &news.to_string()),
                    // An ask that does not wait hears at once that nothing is new.
                    None if call.path.ends_with("&wait=0") => {
                        let nothing = format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, index.unwrap_or(0));
                        call.answer_with(200, &[], &nothing);
                    }
                    None => watch = Some(call),
                }
            }
        });
        Discovery { addr, lists, notices }
    }

    pub fn push(&self, rev: u64, targets: Vec<Value>) {
        let _ = self.lists.send(json!({"rev": rev, "all": false, "targets": targets}));
    }

    pub fn push_whole(&self, rev: u64, targets: Vec<Value>) {
        let _ = self.lists.send(json!({"rev": rev, "all": true, "targets": targets}));
    }

    pub async fn next_notice(&mut self) -> Call {
        timeout(SOON, self.notices.recv()).await.expect("a notice comes").expect("the stub lives")
    }

    /// The next notices that come together, acknowledged.
    pub async fn notices(&mut self) -> Vec<Value> {
        let call = self.next_notice().await;
        assert_eq!(call.path, "/v1/notices");
        let text = call.body_then(|call| call.answer(204));
        let lines = text.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        lines.map(|line| serde_json::from_slice(line).expect("an object a line")).collect()
    }

    /// The next notice, which comes alone.
    pub async fn notice(&mut self) -> Value {
        let mut notices = self.notices().await;
        assert_eq!(notices.len(), 1, "{notices:?}");
        notices.remove(0)
    }

    pub async fn is_quiet(&mut self, span: Duration) -> bool {
        timeout(span, self.notices.recv()).await.is_err()
    }
}

pub fn target(uid: &str, at: SocketAddr, dest: u64, model: &str, state: &str) -> Value {
    json!({"uid": uid, "endpoint": at.to_string(), "az": "a", "model": model, "pod_group": dest,
           "state": state, "capacity_hint": 50.0, "boot_ms": 0})
}

fn config(listen: SocketAddr, discovery: SocketAddr, known: &[Value]) -> Value {
    let class = |name: &str, idempotency: &str| {
        json!({"name": name, "idempotency": idempotency, "dedupScope": "all", "keyTtl": 15000.0,
               "goalTime": 3000.0, "deadline": 28000.0, "worth": 1.0, "lateShare": 0.5})
    };
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64, "disk_mb": 3},
        "known": {"rev": 1, "all": true, "targets": known},
        "settings": {
            "classes": [class("keyed", "token"), class("unsafe", "side_effect")],
            "kinds": ["plain", "several"], "zone": "a", "zones": ["a"], "peersTotal": 2,
            "realms": [{"name": "acme", "quotaRps": 1000.0}],
            "report": {"fields": ["x0", "x1"]}, "round": 5.0, "weights": "rough",
            "familyInfo": {"batchByKind": [1, 20], "kindApart": [false, false], "slots": 16},
            "limits": {"maxAttempts": 6, "openCap": 100, "connectTimeout": 1000.0, "idleClose": 5000.0,
                       "retryAfter": true, "maxRetryAfter": 3000.0, "cancel": true},
            "guarantees": {"fallMultiple": 2.0, "overloadFor": 3000.0, "startCapacity": 0.17,
                           "warmAfter": 13000.0, "stopSendingWithin": 2000.0}
        }
    })
}

/// A configuration that nobody listens by.
pub fn example() -> Value {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    config(nowhere, nowhere, &[])
}

/// The real program, with a folder of its own.
pub struct Forwarder {
    pub addr: SocketAddr,
    folder: PathBuf,
    process: Child,
    /// Descriptors that the system gives it; none: as many as it gives the test.
    descriptors: Option<u64>,
}

impl Forwarder {
    /// Starts it with a configuration that may be changed, and waits until it is ready.
    pub async fn start(discovery: &Discovery, known: &[Value], change: impl FnOnce(&mut Value)) -> Self {
        Forwarder::start_within(None, discovery, known, change).await
    }

    /// The same where the system gives it no more than so many descriptors.
    pub async fn start_within(
        descriptors: Option<u64>,
        discovery: &Discovery,
        known: &[Value],
        change: impl FnOnce(&mut Value),
    ) -> Self {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let folder = env::temp_dir().join(format!("yarrowhill-test-{}-{number}", process::id()));
        fs::create_dir_all(folder.join("state")).expect("a temporary folder");
        // An address of its own: nobody else takes the port between its choice and the start.
        let pid = process::id();
        let own = format!("127.{}.{}.{}:0", 1 + pid / 250 % 250, 1 + pid % 250, 1 + number);
        let free = std::net::TcpListener::bind(own).expect("a free port");
        let addr = free.local_addr().expect("it is bound");
        drop(free);
        let mut config = config(addr, discovery.addr, known);
        change(&mut config);
        fs::write(folder.join("config.json"), config.to_string()).expect("the folder is writable");
        let process = spawn(&folder, descriptors);
        let forwarder = Forwarder { addr, folder, process, descriptors };
        forwarder.ready().await;
        forwarder
    }

    async fn ready(&self) {
        let ready = async {
            while request(self.addr, "GET", "/-/ready", &[], b"").await.is_none_or(|r| r.status() != 200) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(SOON, ready).await.expect("the forwarder gets ready");
    }

    pub async fn restart(&mut self) {
        self.process = spawn(&self.folder, self.descriptors);
        self.ready().await;
    }

    /// Changes the configuration file that the next start reads.
    pub fn configure(&self, change: impl FnOnce(&mut Value)) {
        let path = self.folder.join("config.json");
        let text = fs::read(&path).expect("it was written");
        let mut config = serde_json::from_slice(&text).expect("it is JSON");
        change(&mut config);
        fs::write(&path, config.to_string()).expect("the folder is writable");
    }

    /// SIGSTOP, seen to have taken effect.
    pub async fn stop(&self) {
        self.signal("-STOP");
        let stat = PathBuf::from(format!("/proc/{}/stat", self.process.id()));
        let stopped = async {
            while !fs::read_to_string(&stat).expect("it lives").contains(") T ") {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(SOON, stopped).await.expect("it stops");
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> u64 {
        let open = fs::read_dir(format!("/proc/{}/fd", self.process.id())).expect("it lives");
        open.count() as u64
    }

    /// The system gives the running program so many descriptors from now on.
    pub fn limit_descriptors(&self, most: u64) {
        let args = ["--pid".to_owned(), self.process.id().to_string(), format!("--nofile={most}:")];
        assert!(Command::new("prlimit").args(args).status().expect("prlimit runs").success());
    }

    /// Processor time that it has used (ticks of 10 ms).
    pub fn ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id())).expect("it lives");
        let behind = stat.rsplit(") ").next().unwrap_or_default();
        behind.split(' ').skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum()
    }

    /// SIGCONT.
    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        self.process.kill().and_then(|()| self.process.wait()).expect("it was running");
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// Changes the configuration file and sends SIGHUP.
    pub fn reload(&self, change: impl FnOnce(&mut Value)) {
        self.configure(change);
        self.signal("-HUP");
    }

    fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill runs").success());
    }

    pub async fn exited(&mut self) -> ExitStatus {
        let exit = async {
            loop {
                match self.process.try_wait().expect("it can be waited for") {
                    Some(status) => return status,
                    None => sleep(Duration::from_millis(5)).await,
                }
            }
        };
        timeout(SOON, exit).await.expect("the forwarder ends")
    }

    pub fn journal(&self) -> PathBuf {
        self.folder.join("state/journal")
    }

    /// Puts so many messages for destination 7 into its journal that were taken on and never tried. It must not run.
    pub fn fill(&self, messages: u64, left: Duration) {
        let now =
            SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock that is right").as_millis() as u64;
        let options = Options { max_bytes: 1 << 32, durability: Durability::Process };
        let (mut journal, _) = Journal::open(&self.folder.join("state"), options, now).expect("it opens");
        let accepted = |n: u64| Accepted {
            id: format!("open-{n}"),
            class: "unsafe".into(),
            tenant: Some("acme".into()),
            dest: 7,
            key: None,
            deadline: now + left.as_millis() as u64,
            body: Bytes::from_static(b"body"),
        };
        let records: Vec<Record> = (0..messages).map(|n| Record::Accepted(accepted(n))).collect();
        for turn in records.chunks(1000) {
            journal.commit(turn, now).expect("there is room");
        }
    }

    /// Hands in a message for destination 7 and gives the answer.
    pub async fn hand_in(&self, class: &str, id: &str, deadline_ms: u64) -> Response<Bytes> {
        let deadline = deadline_ms.to_string();
        let headers = [
            ("Req-Id", id),
            ("Req-Owner", "acme"),
            ("Req-Deadline-Ms", &deadline),
            ("Idempotency-Key", &format!("key-{id}")),
            ("Envelope", "dest=7"),
        ];
        let body = format!("\0body of {id}");
        let path = format!("/{class}");
        request(self.addr, "POST", &path, &headers, body.as_bytes()).await.expect("an answer")
    }

    /// Hands the same message in until the forwarder says that it was delivered.
    pub async fn until_delivered(&self, class: &str, id: &str) {
        let delivered = async {
            while self.hand_in(class, id, 1000).await.status() != 200 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(SOON, delivered).await.expect("it is known as delivered");
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn spawn(folder: &std::path::Path, descriptors: Option<u64>) -> Child {
    let limit = descriptors.map(|most| format!("ulimit -n {most}; ")).unwrap_or_default();
    Command::new("sh")
        .args(["-c", &(limit + "exec \"$0\""), env!("CARGO_BIN_EXE_yarrowhill")])
        .env("BALANCER_CONFIG", folder.join("config.json"))
        .env("BALANCER_STATE", folder.join("state"))
        .spawn()
        .expect("the program starts")
}

/// One request on a connection of its own; `None` if no answer came.
pub async fn request(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Response<Bytes>> {
    let stream = TcpStream::connect(to).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path).header("Host", "api.internal");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body))).ok()?;
    let (parts, body) = sender.send_request(request).await.ok()?.into_parts();
    Some(Response::from_parts(parts, body.collect().await.ok()?.to_bytes()))
}

/// A target that says, byte for byte, what the test gives it.
pub struct Raw {
    pub addr: SocketAddr,
    listener: TcpListener,
}

impl Raw {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        Raw { addr: listener.local_addr().expect("it is bound"), listener }
    }

    /// The next connection.
    pub async fn accept(&self) -> RawCall {
        let accepted = timeout(SOON, self.listener.accept()).await.expect("a connection comes");
        RawCall(accepted.expect("it listens").0)
    }
}

/// A connection of the forwarder's, or a test's own to it.
pub struct RawCall(pub TcpStream);

impl RawCall {
    /// Reads one request with a `content-length`, and gives its text.
    pub async fn request(&mut self) -> String {
        let mut text = Vec::new();
        let whole = async {
            loop {
                let read = String::from_utf8_lossy(&text).into_owned();
                if let Some((head, body)) = read.split_once("\r\n\r\n") {
                    let head = head.to_lowercase();
                    let length = head.split("content-length: ").nth(1).and_then(|l| l.lines().next());
                    let length: usize = length.and_then(|l| l.parse().ok()).expect("a length");
                    if body.len() >= length {
                        return read;
                    }
                }
                assert!(self.0.read_buf(&mut text).await.expect("it is open") > 0, "closed: {read:?}");
            }
        };
        timeout(SOON, whole).await.expect("a request comes")
    }

    /// Reads one head with no body behind it, and gives its text.
    pub async fn head(&mut self) -> String {
        let mut text = Vec::new();
        let whole = async {
            while !text.ends_with(b"\r\n\r\n") {
                let read = self.0.read_buf(&mut text).await.expect("it is open");
                assert!(read > 0, "closed: {:?}", String::from_utf8_lossy(&text));
            }
        };
        timeout(SOON, whole).await.expect("a request comes");
        String::from_utf8_lossy(&text).into_owned()
    }

    pub async fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("it is open");
    }

    /// All that comes until the other side ends its sending, which it does without a reset.
    pub async fn rest_unbroken(&mut self) -> String {
        let mut text = Vec::new();
        let read = timeout(SOON, self.0.read_to_end(&mut text)).await.expect("it is closed");
        let text = String::from_utf8_lossy(&text).into_owned();
        read.unwrap_or_else(|e| panic!("{e} behind {text:?}"));
        text
    }

    /// All that comes until the other side closes.
    pub async fn rest(&mut self) -> String {
        let mut text = Vec::new();
        // A reset is a close.
        let _ = timeout(SOON, self.0.read_to_end(&mut text)).await.expect("it is closed");
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// An address whose connections do not come up until somebody accepts: its queue is full.
pub struct Jammed {
    pub addr: SocketAddr,
    listener: TcpListener,
    up: Vec<TcpStream>,
    /// The test's own, which fill the queue.
    _queued: Vec<TcpStream>,
}

impl Jammed {
    pub async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
        let listener = socket.listen(1).expect("it listens");
        let addr = listener.local_addr().expect("it is bound");
        let mut queued = Vec::new();
        while let Ok(Ok(stream)) = timeout(Duration::from_millis(150), TcpStream::connect(addr)).await {
            queued.push(stream);
        }
        Jammed { addr, listener, up: Vec::new(), _queued: queued }
    }

    /// Lets connections come up for so long: the system tries those that found the queue full again after a second.
    pub async fn let_in(&mut self, span: Duration) {
        let all = async {
            loop {
                self.up.push(self.listener.accept().await.expect("it listens").0);
            }
        };
        let _ = timeout(span, all).await;
    }

    /// How many bytes stand on the connections that have come up. One that is open and silent holds none.
    pub fn read(&self) -> usize {
        self.up.iter().map(|stream| stream.try_read(&mut [0; 4096]).unwrap_or(0)).sum()
    }
}
