//! Stand-ins for the platform's agent, partners and clients, and the forwarder as a process. Standard library only;
//! each case includes this file as a module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    /// prctl(2), with two arguments.
    fn prctl(option: i32, argument: u64) -> i32;
}

/// prctl's option for the signal that a process gets when its parent ends, and that signal: SIGKILL.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Milliseconds since the start of the case.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0
}

/// Opens the record.
pub fn open_record(path: &Path) {
    now();
    let file = File::create(path).expect("the record can be written");
    RECORD.set(Mutex::new(file)).ok().expect("one record");
}

/// Writes a line to the record, and returns its time.
pub fn record(text: &str) -> f64 {
    let at = now();
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{at:10.1} {text}");
    }
    at
}

pub fn sleep_ms(ms: f64) {
    if ms > 0.0 {
        thread::sleep(Duration::from_secs_f64(ms / 1000.0));
    }
}

pub fn sleep_until(at: f64) {
    sleep_ms(at - now());
}

/// Whether the case is to be played with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// A small generator of random numbers (SplitMix64) with a fixed seed.
pub struct Random(pub u64);

impl Random {
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Time to the next event of a Poisson process (ms).
    pub fn gap(&mut self, per_second: f64) -> f64 {
        -(1.0 - self.unit()).ln() / per_second * 1000.0
    }
}

/// A request or response: first line, headers in lower case, body.
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v)
    }
}

/// Reads a message. `None` at the end of the stream, on an error or a time-out.
pub fn read_message(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Message> {
    let head_end = loop {
        if let Some(n) = unread.windows(4).position(|w| w == b"\r\n\r\n") {
            break n;
        }
        read_more(stream, unread)?;
    };
    let head = String::from_utf8_lossy(&unread[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let line = lines.next()?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while unread.len() < head_end + 4 + length {
        read_more(stream, unread)?;
    }
    let body = unread[head_end + 4..head_end + 4 + length].to_vec();
    unread.drain(..head_end + 4 + length);
    Some(Message { line, headers, body })
}

fn read_more(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 16384];
    match stream.read(&mut buffer) {
        Ok(n) if n > 0 => {
            unread.extend_from_slice(&buffer[..n]);
            Some(())
        }
        _ => None,
    }
}

pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).is_ok()
}

/// Waits until the peer closes the connection, for at most `ms`. Returns whether it did.
pub fn wait_closed(stream: &mut TcpStream, ms: f64) -> bool {
    let until = now() + ms;
    let mut buffer = [0; 4096];
    while now() < until {
        let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(((until - now()) / 1000.0).max(0.001))));
        match stream.read(&mut buffer) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return true,
        }
    }
    false
}

/// One line of the list of targets.
#[derive(Clone)]
pub struct Line {
    pub uid: String,
    pub address: SocketAddr,
    pub kind: String,
    pub dest: u64,
    pub state: String,
    pub zone: String,
    pub hint: f64,
}

impl Line {
    pub fn new(uid: &str, address: SocketAddr, dest: u64, kind: &str, zone: &str) -> Self {
        let (uid, kind, zone) = (uid.to_owned(), kind.to_owned(), zone.to_owned());
        Line { uid, address, kind, dest, state: "in_service".to_owned(), zone, hint: 1.0 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"{}","pod_group":{},"state":"{}","capacity_hint":{},"boot_ms":0}}"#,
            self.uid, self.address, self.zone, self.kind, self.dest, self.state, self.hint
        )
    }
}

/// The list in discovery's form.
pub fn list_json(rev: u64, all: bool, lines: &[Line]) -> String {
    let lines: Vec<String> = lines.iter().map(Line::json).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, lines.join(","))
}

struct AgentState {
    rev: u64,
    /// Each line with the revision of its last change.
    lines: Vec<(u64, Line)>,
    silent: bool,
}

/// The agent on a forwarder's machine: list, watches, notices.
#[derive(Clone)]
pub struct Agent {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<(Mutex<AgentState>, Condvar)>,
    /// Notices: message, outcome, time.
    pub notices: Arc<Mutex<Vec<(String, String, f64)>>>,
}

impl Agent {
    pub fn start(name: &str, lines: Vec<Line>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = AgentState { rev: 1, lines: lines.into_iter().map(|l| (1, l)).collect(), silent: false };
        let agent = Agent {
            name: name.to_owned(),
            address: listener.local_addr().expect("bound"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            notices: Arc::default(),
        };
        let served = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = served.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    /// Sets the lines of some targets, as one change of the list.
    pub fn change(&self, lines: Vec<Line>) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        for line in lines {
            record(&format!(
                "list {} rev {rev}: {} at {} dest {} {}",
                self.name, line.uid, line.address, line.dest, line.state
            ));
            state.lines.retain(|(_, l)| l.uid != line.uid);
            state.lines.push((rev, line));
        }
        self.state.1.notify_all();
    }

    /// Discovery is down, or is back: the agent answers no question for the list meanwhile.
    pub fn set_silent(&self, silent: bool) {
        self.state.0.lock().unwrap().silent = silent;
        record(&format!("agent {} silent {silent}", self.name));
        self.state.1.notify_all();
    }

    /// The whole list as it stands: version and lines.
    pub fn list(&self) -> (u64, Vec<Line>) {
        let state = self.state.0.lock().unwrap();
        let lines = state.lines.iter().filter(|(_, l)| l.state != "terminated").map(|(_, l)| l.clone());
        (state.rev, lines.collect())
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut unread = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut unread) {
            if request.line.starts_with("POST /v1/notices") {
                for text in String::from_utf8_lossy(&request.body).lines().filter(|l| !l.is_empty()) {
                    let field = |name: &str| {
                        let rest = text.split(&format!("\"{name}\":\"")).nth(1).unwrap_or("");
                        rest.split('"').next().unwrap_or("").to_owned()
                    };
                    let at = record(&format!("notice {} {text}", self.name));
                    self.notices.lock().unwrap().push((field("message"), field("outcome"), at));
                }
                if !answer(&mut stream, "204 No Content", "", "") {
                    return;
                }
                continue;
            }
            let number = |name: &str| -> Option<u64> {
                let rest = request.line.split(name).nth(1)?;
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
            };
            let (index, wait) = (number("index="), number("wait="));
            let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0).min(60_000));
            let mut state = self.state.0.lock().unwrap();
            while state.silent || (index.is_some_and(|i| state.rev <= i) && Instant::now() < until) {
                let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(20));
                state = self.state.1.wait_timeout(state, left).unwrap().0;
            }
            let lines: Vec<Line> = match index {
                Some(i) => state.lines.iter().filter(|(rev, _)| *rev > i).map(|(_, l)| l.clone()).collect(),
                None => state
                    .lines
                    .iter()
                    .filter(|(_, l)| l.state != "terminated")
                    .map(|(_, l)| l.clone())
                    .collect(),
            };
            let (rev, text) = (state.rev, list_json(state.rev, index.is_none(), &lines));
            drop(state);
            if !answer(&mut stream, "200 OK", "", &text) {
                return;
            }
            if !lines.is_empty() {
                let states: Vec<String> = lines.iter().map(|l| format!("{}={}", l.uid, l.state)).collect();
                record(&format!("told {} rev {rev}: {}", self.name, states.join(" ")));
            }
        }
    }
}

/// Listens at an address, and passes each connection to `serve` in a thread of its own until `stop` is set.
pub fn listen(
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("the address is free");
    let bound = listener.local_addr().expect("bound");
    listener.set_nonblocking(true).expect("a listener");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let serve = serve.clone();
                    thread::spawn(move || serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
    bound
}

/// The clients of one forwarder. They keep connections, and open more when all are busy.
#[derive(Clone)]
pub struct Clients {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<TcpStream>>>,
    next: Arc<AtomicU64>,
    prefix: String,
    /// Message, status of the answer (0 for none), time of the sending, deadline (ms).
    pub answers: Arc<Mutex<Vec<(String, u16, f64, f64)>>>,
}

impl Clients {
    pub fn new(address: SocketAddr, prefix: &str) -> Self {
        Clients {
            address,
            idle: Arc::default(),
            next: Arc::default(),
            prefix: prefix.to_owned(),
            answers: Arc::default(),
        }
    }

    /// Hands in a message in a thread of its own, and returns its id.
    pub fn hand_in(&self, class: &str, owner: &str, dest: u64, deadline_ms: u64) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}{number:015x}", self.prefix);
        let (clients, class, owner, name) = (self.clone(), class.to_owned(), owner.to_owned(), id.clone());
        thread::spawn(move || {
            let text = format!(
                "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {name}\r\nReq-Owner: {owner}\r\nReq-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: k{name}\r\nContent-Length: 64\r\nEnvelope: dest={dest}\r\n\r\n{}",
                "m".repeat(64)
            );
            let sent = record(&format!("hand-in {name} {class} dest {dest} deadline {deadline_ms}"));
            let status = clients.exchange(&text);
            record(&format!("answer {name} {status}"));
            clients.answers.lock().unwrap().push((name, status, sent, deadline_ms as f64));
        });
        id
    }

    /// Sends one request and returns the status of its answer, 0 if there was none within 400 ms.
    fn exchange(&self, text: &str) -> u16 {
        loop {
            let kept = self.idle.lock().unwrap().pop();
            let is_kept = kept.is_some();
            let stream =
                kept.or_else(|| TcpStream::connect_timeout(&self.address, Duration::from_millis(400)).ok());
            let Some(mut stream) = stream else { return 0 };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
            let since = now();
            let written = stream.write_all(text.as_bytes()).is_ok();
            let response = if written { read_message(&mut stream, &mut Vec::new()) } else { None };
            match response {
                Some(response) => {
                    if response.header("connection") != "close" {
                        self.idle.lock().unwrap().push(stream);
                    }
                    return response.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
                }
                // The close of a kept connection crossed the request, which was not read: once more on a new one.
                None if is_kept && now() - since < 390.0 => continue,
                None => return 0,
            }
        }
    }
}

/// A forwarder, started by the `run` of the deploy file.
pub struct Forwarder {
    pub name: String,
    pub address: SocketAddr,
    root: PathBuf,
    folder: PathBuf,
    process: Option<Child>,
    starts: u32,
}

impl Forwarder {
    /// Prepares a forwarder; `folder` is a new folder of its own.
    pub fn new(name: &str, root: &Path, folder: &Path) -> Self {
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = free.local_addr().expect("bound");
        fs::create_dir_all(folder.join("state")).expect("a temporary folder");
        let (root, folder) = (root.to_owned(), folder.to_owned());
        Forwarder { name: name.to_owned(), address, root, folder, process: None, starts: 0 }
    }

    /// Writes the configuration: `settings` as JSON, `known` as a list in discovery's form.
    pub fn configure(&mut self, discovery: SocketAddr, known: &str, settings: &str) {
        let text = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{discovery}","seed":"8c1f30d27a5be96{}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{known},"settings":{settings}}}"#,
            self.name, self.address, self.starts
        );
        fs::write(self.folder.join("config.json"), text).expect("the folder is writable");
    }

    /// Starts the process and waits until it is ready. Returns false if it is not within 10 s.
    pub fn start(&mut self) -> bool {
        let deploy = fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let run =
            deploy.lines().find(|l| l.starts_with("run = ")).and_then(|l| l.split('"').nth(1)).expect("run");
        let log = File::options().create(true).append(true).open(self.folder.join("log.txt")).expect("a log");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", run])
            .current_dir(&self.root)
            .env("BALANCER_NAME", &self.name)
            .env("BALANCER_LISTEN", self.address.to_string())
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("BALANCER_STATE", self.folder.join("state"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // The forwarder ends with this program, also if that is killed. All are started by its first thread.
        // SAFETY: prctl is a system call that allocates nothing and takes no lock.
        unsafe {
            command.pre_exec(|| {
                if prctl(PR_SET_PDEATHSIG, SIGKILL) == 0 {
                    Ok(())
                } else {
                    Err(std::io::Error::last_os_error())
                }
            })
        };
        let process = command.spawn().expect("the forwarder starts");
        record(&format!("start {} pid {}", self.name, process.id()));
        self.starts += 1;
        self.process = Some(process);
        let until = now() + 10_000.0;
        while now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
                let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                let ready = read_message(&mut stream, &mut Vec::new());
                if ready.is_some_and(|r| r.line.contains(" 200")) {
                    record(&format!("ready {}", self.name));
                    return true;
                }
            }
            sleep_ms(10.0);
        }
        false
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            record(&format!("kill {}", self.name));
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// SIGTERM, and SIGKILL 3.7 s later if the process still runs then. Returns when it has ended.
    pub fn terminate(&mut self) {
        if let Some(mut process) = self.process.take() {
            record(&format!("term {}", self.name));
            let _ = Command::new("kill").args(["-TERM", &process.id().to_string()]).status();
            let until = now() + 3700.0;
            while now() < until {
                if let Ok(Some(status)) = process.try_wait() {
                    record(&format!("ended {} {status}", self.name));
                    return;
                }
                sleep_ms(10.0);
            }
            let _ = process.kill();
            let _ = process.wait();
            record(&format!("killed {}", self.name));
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_crashed(&mut self) -> bool {
        self.process.as_mut().is_some_and(|p| matches!(p.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A folder for the forwarders of this case.
pub fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}
