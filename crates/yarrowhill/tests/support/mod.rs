//! Runs the real program between small stand-ins for targets, discovery and clients, over loopback sockets.
#![allow(missing_docs)]
// Each test file uses only a part of this module.
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
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use std::{env, fs, io, process};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use yarrowhill_journal::{Accepted, Durability, Journal, Options, Record};

/// Upper bound on each wait of a test.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A request that a stand-in received. Its connection stays silent until it is answered.
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

    /// Closes the connection without an answer.
    pub fn close_connection(self) {
        let _ = self.reply.send(None);
    }

    /// Returns the body after passing the call to `then`.
    pub fn take_body(self, then: impl FnOnce(Self)) -> Bytes {
        let body = self.body.clone();
        then(self);
        body
    }

    /// Performs `act`, which closes the connection, and waits until it is closed.
    pub async fn wait_closed_after(self, act: impl FnOnce()) {
        act();
        self.wait_closed().await;
    }

    /// Waits until the peer has closed the connection.
    pub async fn wait_closed(mut self) {
        timeout(TIMEOUT, self.reply.closed()).await.expect("the call is cancelled in time");
    }
}

/// HTTP server whose answers are given by the test.
pub struct Stub {
    pub addr: SocketAddr,
    calls: mpsc::UnboundedReceiver<Call>,
    accepted: Arc<AtomicUsize>,
    listening: AbortHandle,
}

impl Stub {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("the listener is bound");
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

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Stops listening and returns the address, at which connections are now refused.
    pub async fn stop_listening(self) -> SocketAddr {
        self.listening.abort();
        while TcpStream::connect(self.addr).await.is_ok() {
            sleep(Duration::from_millis(1)).await;
        }
        self.addr
    }

    pub async fn next(&mut self) -> Call {
        timeout(TIMEOUT, self.calls.recv()).await.expect("a call arrives in time").expect("the stub runs")
    }

    /// Returns the next call, if one arrives within the time.
    pub async fn next_within(&mut self, duration: Duration) -> Option<Call> {
        timeout(duration, self.calls.recv()).await.ok().flatten()
    }

    /// Returns whether no call arrives within the time.
    pub async fn stays_quiet(&mut self, duration: Duration) -> bool {
        timeout(duration, self.calls.recv()).await.is_err()
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

/// Stand-in for discovery, which holds watch requests until a list is pushed, and passes notices on to the
/// test.
pub struct Discovery {
    pub addr: SocketAddr,
    lists: mpsc::UnboundedSender<Value>,
    notices: mpsc::UnboundedReceiver<Call>,
    is_silent: Arc<AtomicBool>,
}

impl Discovery {
    pub async fn start() -> Self {
        let mut stub = Stub::start().await;
        let addr = stub.addr;
        let (lists, mut pushed) = mpsc::unbounded_channel::<Value>();
        let (pass_on, notices) = mpsc::unbounded_channel();
        let is_silent = Arc::new(AtomicBool::new(false));
        let silent = is_silent.clone();
        tokio::spawn(async move {
            // All lists that were pushed, in order, and the request that waits for the next one.
            let (mut pushed_lists, mut watch): (Vec<Value>, Option<Call>) = (Vec::new(), None);
            loop {
                tokio::select! {
                    Some(call) = stub.calls.recv() => match call.path.starts_with("/api/targets") {
                        true => watch = Some(call),
                        false => drop(pass_on.send(call)),
                    },
                    Some(list) = pushed.recv() => pushed_lists.push(list),
                    else => return,
                }
                let Some(call) = watch.take_if(|_| !silent.load(Ordering::Relaxed)) else { continue };
                let index = call.path.split("index=").nth(1).and_then(|i| i.split('&').next());
                let index: Option<u64> = index.and_then(|i| i.parse().ok());
                let known = index.and_then(|i| pushed_lists.iter().rposition(|list| list["rev"] == i));
                match pushed_lists.get(known.map_or(0, |known| known + 1)) {
                    Some(list) => call.answer_with(200, &[], &list.to_string()),
                    // A request that does not wait gets an empty list at once.
                    None if call.path.ends_with("&wait=0") => {
                        let empty = format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, index.unwrap_or(0));
                        call.answer_with(200, &[], &empty);
                    }
                    None => watch = Some(call),
                }
            }
        });
        Discovery { addr, lists, notices, is_silent }
    }

    /// Sets whether requests for the list stay unanswered. Notices are answered all the same.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }

    pub fn push(&self, rev: u64, targets: Vec<Value>) {
        let _ = self.lists.send(json!({"rev": rev, "all": false, "targets": targets}));
    }

    pub fn push_full_list(&self, rev: u64, targets: Vec<Value>) {
        let _ = self.lists.send(json!({"rev": rev, "all": true, "targets": targets}));
    }

    pub async fn next_notice(&mut self) -> Call {
        timeout(TIMEOUT, self.notices.recv()).await.expect("a notice arrives in time").expect("the stub runs")
    }

    /// Returns the next batch of notices, after acknowledging it.
    pub async fn notices(&mut self) -> Vec<Value> {
        let call = self.next_notice().await;
        assert_eq!(call.path, "/v1/notices");
        let text = call.take_body(|call| call.answer(204));
        let lines = text.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        lines.map(|line| serde_json::from_slice(line).expect("one JSON object per line")).collect()
    }

    /// Returns the next notice, which is the only one of its batch.
    pub async fn notice(&mut self) -> Value {
        let mut notices = self.notices().await;
        assert_eq!(notices.len(), 1, "{notices:?}");
        notices.remove(0)
    }

    /// Returns whether no notice arrives within the time.
    pub async fn stays_quiet(&mut self, duration: Duration) -> bool {
        timeout(duration, self.notices.recv()).await.is_err()
    }
}

pub fn target(uid: &str, addr: SocketAddr, dest: u64, model: &str, state: &str) -> Value {
    json!({"uid": uid, "endpoint": addr.to_string(), "az": "a", "model": model, "pod_group": dest,
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

/// Returns a configuration whose addresses are not in use.
pub fn example() -> Value {
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    config(unused, unused, &[])
}

/// The real program with its own folder.
pub struct Forwarder {
    pub addr: SocketAddr,
    folder: PathBuf,
    process: Child,
    /// Limit of the system on its descriptors; if none, that of the test applies.
    descriptors: Option<u64>,
}

impl Forwarder {
    /// Starts the program with the usual configuration after `change`, and waits until it is ready.
    pub async fn start(discovery: &Discovery, known: &[Value], change: impl FnOnce(&mut Value)) -> Self {
        Forwarder::start_within(None, discovery, known, change).await
    }

    /// Starts the program as [`Forwarder::start`] does, with a limit of the system on its descriptors.
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
        // The loopback address is unique to this program, so that no other process takes the port before it
        // starts.
        let pid = process::id();
        let unique_addr = format!("127.{}.{}.{}:0", 1 + pid / 250 % 250, 1 + pid % 250, 1 + number);
        let free = std::net::TcpListener::bind(unique_addr).expect("a free port");
        let addr = free.local_addr().expect("the listener is bound");
        drop(free);
        let mut config = config(addr, discovery.addr, known);
        change(&mut config);
        fs::write(folder.join("config.json"), config.to_string()).expect("the folder is writable");
        let process = spawn(&folder, descriptors);
        let forwarder = Forwarder { addr, folder, process, descriptors };
        forwarder.wait_ready().await;
        forwarder
    }

    async fn wait_ready(&self) {
        let ready = async {
            while request(self.addr, "GET", "/-/ready", &[], b"").await.is_none_or(|r| r.status() != 200) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, ready).await.expect("the forwarder becomes ready in time");
    }

    pub async fn restart(&mut self) {
        self.process = spawn(&self.folder, self.descriptors);
        self.wait_ready().await;
    }

    /// Changes the configuration file, which the next start or SIGHUP reads.
    pub fn edit_config(&self, change: impl FnOnce(&mut Value)) {
        let path = self.folder.join("config.json");
        let text = fs::read(&path).expect("the file exists");
        let mut config = serde_json::from_slice(&text).expect("valid JSON");
        change(&mut config);
        fs::write(&path, config.to_string()).expect("the folder is writable");
    }

    /// Sends SIGSTOP and waits until the process is stopped.
    pub async fn pause(&self) {
        self.signal("-STOP");
        let stat = PathBuf::from(format!("/proc/{}/stat", self.process.id()));
        let stopped = async {
            while !fs::read_to_string(&stat).expect("the process runs").contains(") T ") {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(TIMEOUT, stopped).await.expect("the process stops in time");
    }

    /// Returns the number of open descriptors of the process.
    pub fn descriptors(&self) -> u64 {
        let open = fs::read_dir(format!("/proc/{}/fd", self.process.id())).expect("the process runs");
        open.count() as u64
    }

    /// Returns what counts against the memory limit of the process (bytes): its own memory, and the files of its
    /// state folder.
    pub fn memory_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.expect("the process runs");
        let own = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let own = own.and_then(|v| v.trim().strip_suffix(" kB")?.parse::<u64>().ok()).expect("a size in kB");
        let files = fs::read_dir(self.folder.join("state")).expect("the folder exists");
        let lengths = files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len()));
        own * 1024 + lengths.sum::<u64>()
    }

    /// Sets the limit of the system on descriptors of the running process.
    pub fn set_descriptor_limit(&self, max: u64) {
        let args = ["--pid".to_owned(), self.process.id().to_string(), format!("--nofile={max}:")];
        assert!(Command::new("prlimit").args(args).status().expect("prlimit runs").success());
    }

    /// Returns the CPU time that the process has used (ticks of 10 ms).
    pub fn cpu_ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id())).expect("the process runs");
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        fields.split(' ').skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum()
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        self.process.kill().and_then(|()| self.process.wait()).expect("the process runs");
    }

    pub fn send_sigterm(&self) {
        self.signal("-TERM");
    }

    pub fn send_sighup(&self) {
        self.signal("-HUP");
    }

    /// Changes the configuration file and sends SIGHUP.
    pub fn reload(&self, change: impl FnOnce(&mut Value)) {
        self.edit_config(change);
        self.signal("-HUP");
    }

    fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill runs").success());
    }

    pub async fn wait_exit(&mut self) -> ExitStatus {
        let exit = async {
            loop {
                match self.process.try_wait().expect("the process is a child") {
                    Some(status) => return status,
                    None => sleep(Duration::from_millis(5)).await,
                }
            }
        };
        timeout(TIMEOUT, exit).await.expect("the forwarder exits in time")
    }

    pub fn journal(&self) -> PathBuf {
        self.folder.join("state/journal")
    }

    /// Waits until the journal has the record that a message is closed: its notice, if any, was acknowledged.
    pub async fn wait_until_closed(&self, id: &str) {
        let record = format!("{{\"Over\":[\"{id}\",").into_bytes();
        let is_closed = || {
            let journal = fs::read(self.journal()).expect("a journal");
            journal.windows(record.len()).any(|part| part == record)
        };
        let closed = async {
            while !is_closed() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, closed).await.expect("the message is closed in time");
    }

    /// Writes messages for destination 7 to the journal as accepted and never sent. The process must not be
    /// running.
    pub fn fill_journal(&self, messages: u64, time_left: Duration) {
        let now =
            SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970").as_millis() as u64;
        let options = Options { max_bytes: 1 << 32, durability: Durability::Process };
        let (mut journal, _) =
            Journal::open(&self.folder.join("state"), options, now).expect("the journal opens");
        let accepted = |n: u64| Accepted {
            id: format!("open-{n}"),
            class: "unsafe".into(),
            tenant: Some("acme".into()),
            dest: 7,
            key: None,
            deadline: now + time_left.as_millis() as u64,
            body: Bytes::from_static(b"body"),
        };
        let records: Vec<Record> = (0..messages).map(|n| Record::Accepted(accepted(n))).collect();
        for turn in records.chunks(1000) {
            journal.commit(turn, now).expect("the journal has room");
        }
    }

    /// Submits a message for destination 7 and returns the answer.
    pub async fn submit(&self, class: &str, id: &str, deadline_ms: u64) -> Response<Bytes> {
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

    /// Submits the same message until the forwarder answers that it was delivered.
    pub async fn wait_until_delivered(&self, class: &str, id: &str) {
        let delivered = async {
            while self.submit(class, id, 1000).await.status() != 200 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, delivered).await.expect("the message is reported as delivered in time");
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
    let limit = descriptors.map(|max| format!("ulimit -n {max}; ")).unwrap_or_default();
    Command::new("sh")
        .args(["-c", &(limit + "exec \"$0\""), env!("CARGO_BIN_EXE_yarrowhill")])
        .env("BALANCER_CONFIG", folder.join("config.json"))
        .env("BALANCER_STATE", folder.join("state"))
        .spawn()
        .expect("the program starts")
}

/// Sends one request on its own connection. Returns `None` if there is no answer.
pub async fn request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Response<Bytes>> {
    let stream = TcpStream::connect(addr).await.ok()?;
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

/// Target that sends, byte for byte, what the test gives it.
pub struct RawServer {
    pub addr: SocketAddr,
    listener: TcpListener,
}

impl RawServer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        RawServer { addr: listener.local_addr().expect("the listener is bound"), listener }
    }

    /// Returns the next connection.
    pub async fn accept(&self) -> RawConnection {
        let accepted = timeout(TIMEOUT, self.listener.accept()).await.expect("a connection arrives in time");
        RawConnection(accepted.expect("the listener is open").0)
    }
}

/// A connection from the forwarder, or from the test to it.
pub struct RawConnection(pub TcpStream);

impl RawConnection {
    /// Reads one request with a `content-length` and returns its text.
    pub async fn request(&mut self) -> String {
        let mut text = Vec::new();
        let complete = async {
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
                assert!(
                    self.0.read_buf(&mut text).await.expect("the connection is open") > 0,
                    "closed: {read:?}"
                );
            }
        };
        timeout(TIMEOUT, complete).await.expect("a complete request arrives in time")
    }

    /// Reads one head without a body and returns its text.
    pub async fn head(&mut self) -> String {
        let mut text = Vec::new();
        let complete = async {
            while !text.ends_with(b"\r\n\r\n") {
                let read = self.0.read_buf(&mut text).await.expect("the connection is open");
                assert!(read > 0, "closed: {:?}", String::from_utf8_lossy(&text));
            }
        };
        timeout(TIMEOUT, complete).await.expect("a complete request arrives in time");
        String::from_utf8_lossy(&text).into_owned()
    }

    pub async fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("the connection is open");
    }

    /// Reads until the peer closes the connection, and panics if it resets it.
    pub async fn read_to_clean_end(&mut self) -> String {
        let mut text = Vec::new();
        let read =
            timeout(TIMEOUT, self.0.read_to_end(&mut text)).await.expect("the connection is closed in time");
        let text = String::from_utf8_lossy(&text).into_owned();
        read.unwrap_or_else(|e| panic!("{e} after {text:?}"));
        text
    }

    /// Reads until the peer closes or resets the connection.
    pub async fn read_to_end(&mut self) -> String {
        let mut text = Vec::new();
        // A reset counts as a close.
        let _ =
            timeout(TIMEOUT, self.0.read_to_end(&mut text)).await.expect("the connection is closed in time");
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Address whose listen backlog is full: connections to it are established only once earlier ones are
/// accepted.
pub struct FullBacklog {
    pub addr: SocketAddr,
    listener: TcpListener,
    accepted: Vec<TcpStream>,
    /// Connections of the test that fill the backlog.
    _queued: Vec<TcpStream>,
}

impl FullBacklog {
    pub async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
        let listener = socket.listen(1).expect("the socket listens");
        let addr = listener.local_addr().expect("the listener is bound");
        let mut queued = Vec::new();
        while let Ok(Ok(stream)) = timeout(Duration::from_millis(150), TcpStream::connect(addr)).await {
            queued.push(stream);
        }
        FullBacklog { addr, listener, accepted: Vec::new(), _queued: queued }
    }

    /// Accepts connections for this time. The system retries those that found the backlog full after a
    /// second.
    pub async fn accept_for(&mut self, duration: Duration) {
        let accept_all = async {
            loop {
                self.accepted.push(self.listener.accept().await.expect("the listener is open").0);
            }
        };
        let _ = timeout(duration, accept_all).await;
    }

    /// Reads what has arrived on the accepted connections, and returns the number of bytes.
    pub fn received_bytes(&self) -> usize {
        self.accepted.iter().map(|stream| stream.try_read(&mut [0; 4096]).unwrap_or(0)).sum()
    }
}
