//! Stand-ins of the second review's cases: platform (discovery and notices), clients, the forwarder's process
//! and the record of a run. Standard library only. The endpoints are in the cases, since they differ.

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns true if the run leaves out its disruption.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|v| v == "0")
}

/// The record of a run: one line for each event, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Opens the file that the first argument names.
    pub fn open() -> Arc<Record> {
        let path = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no record file given"));
        let file = File::create(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let secs = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{secs:9.3} {}", text.as_ref());
    }
}

/// Ends the run because it cannot be carried out. The guards end the forwarders.
pub fn cannot_run(why: &str) -> ! {
    say(&format!("cannot run: {why}"));
    exit(2);
}

/// Prints a line, wherever standard output leads.
pub fn say(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Ends the forwarders, and the run with its verdict.
pub fn finish<F>(record: &Record, forwarders: F, broken: &[String]) -> ! {
    drop(forwarders);
    for line in broken {
        record.line(format!("BROKEN {line}"));
        say(&format!("broken: {line}"));
    }
    let verdict = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
    record.line(verdict);
    say(verdict);
    exit(i32::from(!broken.is_empty()));
}

/// Ends a run that takes too long, or whose script is gone.
pub fn watchdog(limit: Duration) {
    let (begin, script) = (Instant::now(), std::os::unix::process::parent_id());
    thread::spawn(move || {
        while begin.elapsed() < limit && std::os::unix::process::parent_id() == script {
            thread::sleep(ms(50));
        }
        cannot_run("the run took too long, or its script has ended");
    });
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
}

// ---- HTTP ----

/// A request as it was read.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte was read, and when its last one was.
    pub first_byte: Instant,
    pub last_byte: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let first_byte = Instant::now();
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let mut words = line.split_whitespace();
    words.next();
    let path = words.next().unwrap_or("").to_owned();
    let (mut headers, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { path, headers, body, first_byte, last_byte: Instant::now() }))
}

/// Writes an answer in one go.
pub fn answer(stream: &TcpStream, status: u16, headers: &[(&str, &str)], body: &str) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
    text += "\r\n";
    text += body;
    let mut stream = stream;
    stream.write_all(text.as_bytes())
}

/// Listens at a free port, and calls `serve` on a thread of its own for each connection.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let addr = listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string()));
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    addr
}

// ---- Platform ----

/// An entry of the list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub addr: SocketAddr,
    pub dest: u64,
    pub kind: &'static str,
    pub zone: &'static str,
    pub state: &'static str,
    pub hint: f64,
}

impl Target {
    fn json(&self) -> String {
        let Target { uid, addr, dest, kind, zone, state, hint } = self;
        format!(
            "{{\"uid\":\"{uid}\",\"endpoint\":\"{addr}\",\"az\":\"{zone}\",\"model\":\"{kind}\",\
             \"pod_group\":{dest},\"state\":\"{state}\",\"capacity_hint\":{hint:.1},\"boot_ms\":0}}"
        )
    }
}

#[derive(Default)]
struct Lists {
    rev: u64,
    /// Entry and the version that changed it, by uid.
    entries: BTreeMap<String, (u64, Target)>,
    /// When each request for the list is answered, after its time.
    delay: Duration,
    silent: bool,
}

/// Discovery's agent, and the platform's ear for notices.
pub struct Platform {
    pub addr: SocketAddr,
    lists: Mutex<Lists>,
    changed: Condvar,
    /// First notice of each message: when it came, and its outcome.
    pub notices: Mutex<HashMap<String, (Instant, String)>>,
    /// Number of the requests for the list that are being served.
    pub open: AtomicU64,
    record: Arc<Record>,
}

impl Platform {
    pub fn start(record: &Arc<Record>, targets: &[Target]) -> Arc<Platform> {
        let entries = targets.iter().map(|t| (t.uid.clone(), (41, t.clone()))).collect();
        let lists = Lists { rev: 41, entries, ..Lists::default() };
        let slot: Arc<Mutex<Option<Arc<Platform>>>> = Arc::default();
        let found = slot.clone();
        let addr = listen(move |stream| {
            let platform = found.lock().expect("not poisoned").clone();
            if let Some(platform) = platform {
                let _ = platform.serve(stream);
            }
        });
        let platform = Arc::new(Platform {
            addr,
            lists: Mutex::new(lists),
            changed: Condvar::new(),
            notices: Mutex::default(),
            open: AtomicU64::new(0),
            record: record.clone(),
        });
        *slot.lock().expect("not poisoned") = Some(platform.clone());
        platform
    }

    /// From now on each answer with a list comes so much later.
    pub fn set_delay(&self, delay: Duration) {
        self.lists.lock().expect("not poisoned").delay = delay;
        self.record.line(format!("discovery answers {} ms later from now on", delay.as_millis()));
    }

    /// Sets whether discovery is down: the agent is silent. At the return it answers what waits.
    pub fn set_silent(&self, silent: bool) {
        self.lists.lock().expect("not poisoned").silent = silent;
        self.changed.notify_all();
    }

    /// Changes entries of the list and returns when the agent had them.
    pub fn push(&self, targets: &[Target]) -> Instant {
        let mut lists = self.lists.lock().expect("not poisoned");
        lists.rev += 1;
        let rev = lists.rev;
        for target in targets {
            self.record.line(format!("list {rev}: {} {} {}", target.uid, target.addr, target.state));
            lists.entries.insert(target.uid.clone(), (rev, target.clone()));
        }
        let at = Instant::now();
        drop(lists);
        self.changed.notify_all();
        at
    }

    pub fn list(&self) -> String {
        let lists = self.lists.lock().expect("not poisoned");
        list_json(&lists, None)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_request(&mut reader)? {
            if request.path.starts_with("/v1/notices") {
                self.take_notices(&request);
                answer(&stream, 204, &[], "")?;
                continue;
            }
            let number = |name: &str| {
                let query = request.path.split_once('?').map_or("", |(_, query)| query);
                let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
                value.and_then(|v| v.parse::<u64>().ok())
            };
            self.open.fetch_add(1, Ordering::SeqCst);
            let written = self.answer_list(&stream, number("index"), number("wait").unwrap_or(0));
            self.open.fetch_sub(1, Ordering::SeqCst);
            written?;
        }
        Ok(())
    }

    fn answer_list(&self, stream: &TcpStream, index: Option<u64>, wait: u64) -> io::Result<()> {
        let until = Instant::now() + ms(wait.min(60_000));
        let mut lists = self.lists.lock().expect("not poisoned");
        loop {
            let now = Instant::now();
            let is_due = index.is_none_or(|index| lists.rev > index) || now >= until;
            if is_due && !lists.silent {
                break;
            }
            if lists.silent && has_closed(stream) {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let wait = if lists.silent { ms(2) } else { until.saturating_duration_since(now).max(ms(1)) };
            lists = self.changed.wait_timeout(lists, wait).expect("not poisoned").0;
        }
        let delay = lists.delay;
        if !delay.is_zero() {
            drop(lists);
            thread::sleep(delay);
            lists = self.lists.lock().expect("not poisoned");
        }
        let (rev, body) = (lists.rev, list_json(&lists, index));
        drop(lists);
        let written = answer(stream, 200, &[("Content-Type", "application/json")], &body);
        if index != Some(rev) {
            self.record.line(format!("discovery wrote list {rev}: {written:?}"));
        }
        written
    }

    fn take_notices(&self, request: &Request) {
        let text = String::from_utf8_lossy(&request.body);
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let field = |name: &str| {
                let rest = line.split_once(&format!("\"{name}\":\"")).map_or("", |(_, rest)| rest);
                rest.split('"').next().unwrap_or("").to_owned()
            };
            self.record.line_at(request.last_byte, format!("notice {line}"));
            let mut notices = self.notices.lock().expect("not poisoned");
            notices.entry(field("message")).or_insert((request.last_byte, field("outcome")));
        }
    }
}

/// Returns true if the peer has closed its connection and sent nothing before.
pub fn has_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(ms(1)));
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_read_timeout(None);
    match peeked {
        Ok(count) => count == 0,
        Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
    }
}

fn list_json(lists: &Lists, index: Option<u64>) -> String {
    let newer = |changed: u64| index.is_none_or(|index| changed > index);
    let entries = lists.entries.values().filter(|(changed, _)| newer(*changed));
    // A whole list does not name what is gone.
    let entries = entries.filter(|(_, t)| index.is_some() || t.state != "terminated");
    let entries: Vec<String> = entries.map(|(_, target)| target.json()).collect();
    format!("{{\"rev\":{},\"all\":{},\"targets\":[{}]}}", lists.rev, index.is_none(), entries.join(","))
}

// ---- The forwarder ----

/// The forwarder's process, with its folder.
pub struct Forwarder {
    pub addr: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    /// Ends the program if this process is gone: it waits for the end of its standard input.
    guard: Option<Child>,
}

impl Forwarder {
    /// Starts the program as the deploy file says, and waits until it is ready.
    pub fn start(record: &Record, platform: &Platform, settings: &str, limits: &str) -> Forwarder {
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("yarrowhill-review-{}-{number}", std::process::id()));
        fs::create_dir_all(folder.join("state")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let pid = std::process::id();
        let free = TcpListener::bind(format!("127.{}.{}.{}:0", 1 + pid / 250 % 250, 1 + pid % 250, 7 + number));
        let addr = free.and_then(|l| l.local_addr()).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{addr}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be9{:02x}\",\
             \"limits\":{limits},\"known\":{},\"settings\":{settings}}}",
            platform.addr,
            0x64 + number,
            platform.list()
        );
        fs::write(folder.join("config.json"), config).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut forwarder = Forwarder { addr, folder, child: None, guard: None };
        forwarder.run(record);
        forwarder
    }

    /// Starts the program in its folder.
    pub fn run(&mut self, record: &Record) {
        let log = File::options().create(true).append(true).open(self.folder.join("log"));
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", "exec target/release/yarrowhill"])
            .env("BALANCER_NAME", "n0")
            .env("BALANCER_LISTEN", self.addr.to_string())
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("BALANCER_STATE", self.folder.join("state"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let guard = Command::new("/bin/sh")
            .args(["-c", "read -r line; kill -KILL \"$0\"; rm -rf \"$1\"", &child.id().to_string()])
            .arg(&self.folder)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        self.guard = Some(guard.unwrap_or_else(|e| cannot_run(&e.to_string())));
        self.child = Some(child);
        record.line(format!("forwarder starts at {}", self.addr));
        let until = Instant::now() + ms(20_000);
        while !self.is_ready() {
            if Instant::now() > until {
                cannot_run("the forwarder is not ready in time");
            }
            thread::sleep(ms(20));
        }
        record.line("forwarder is ready");
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.addr, ms(500)) else { return false };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let mut line = String::new();
        let asked = (&stream).write_all(b"GET /-/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n");
        asked.is_ok() && BufReader::new(&stream).read_line(&mut line).is_ok() && line.contains(" 200 ")
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns true if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns what the process holds of its memory limit, in bytes: its own memory, and the files of its folder,
    /// which count as memory (DEPLOY, "Limits"). Pages of the program's file are left out.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let anon = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let anon = anon.and_then(|v| v.trim().trim_end_matches(" kB").trim().parse::<u64>().ok()).unwrap_or(0);
        let files = fs::read_dir(self.folder.join("state")).into_iter().flatten().flatten();
        let files: u64 = files.filter_map(|file| file.metadata().ok()).map(|m| m.len()).sum();
        anon * 1024 + files
    }

    /// Watches the memory for a time, as the platform does: over `limit_mb` the process is killed. Returns the
    /// most that it held, and whether it was killed.
    pub fn watch_memory(&mut self, record: &Record, limit_mb: u64, time: Duration) -> (u64, bool) {
        let until = Instant::now() + time;
        let mut most = 0;
        while Instant::now() < until {
            let held = self.memory();
            if held > most + (1 << 20) {
                record.line(format!("forwarder holds {:.1} MB", held as f64 / f64::from(1 << 20)));
            }
            most = most.max(held);
            if held > limit_mb << 20 {
                record.line(format!("over {limit_mb} MB: the platform kills the forwarder"));
                self.kill(record);
                return (most, true);
            }
            thread::sleep(ms(5));
        }
        (most, false)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self, record: &Record) {
        if self.child.is_some() {
            record.line("forwarder gets SIGKILL");
            self.end();
        }
    }

    /// Ends the guard and then the process.
    fn end(&mut self) {
        for child in [self.guard.take(), self.child.take()].iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&self, record: &Record, name: &str) {
        record.line(format!("forwarder gets SIG{name}"));
        signal(self.pid(), name);
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.end();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

// ---- Clients ----

/// A message that a client hands in.
#[derive(Clone)]
pub struct Message {
    pub id: String,
    pub class: &'static str,
    pub owner: &'static str,
    pub dest: u64,
    pub deadline_ms: u64,
}

/// A client with one connection, which it keeps.
pub struct Client {
    addr: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client { addr, connection: None }
    }

    /// Hands a message in and returns the status; `None` without an answer within 400 ms.
    pub fn submit(&mut self, message: &Message) -> Option<u16> {
        // A kept connection may have been closed between two requests.
        let was_kept = self.connection.is_some();
        match self.try_submit(message) {
            Ok(status) => Some(status),
            Err(e) => {
                self.connection = None;
                let is_closed = !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
                let again = (was_kept && is_closed).then(|| self.try_submit(message).ok()).flatten();
                self.connection = self.connection.take().filter(|_| again.is_some());
                again
            }
        }
    }

    fn try_submit(&mut self, message: &Message) -> io::Result<u16> {
        let reader = match &mut self.connection {
            Some(reader) => reader,
            empty => {
                let stream = TcpStream::connect_timeout(&self.addr, ms(400))?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(ms(400)))?;
                empty.insert(BufReader::new(stream))
            }
        };
        let Message { id, class, owner, dest, deadline_ms } = message;
        let body = format!("body of {id}");
        let request = format!(
            "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Owner: {owner}\r\n\
             Req-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\
             Envelope: dest={dest}\r\n\r\n{body}",
            body.len()
        );
        reader.get_mut().write_all(request.as_bytes())?;
        let (mut status, mut length, mut closes) = (0, 0, false);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end().to_ascii_lowercase();
            if status == 0 {
                status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            } else if line.is_empty() {
                break;
            } else if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            } else if line == "connection: close" {
                closes = true;
            }
        }
        reader.read_exact(&mut vec![0; length])?;
        if closes {
            self.connection = None;
        }
        Ok(status)
    }
}

/// A message that a forwarder has taken on.
#[derive(Clone)]
pub struct Taken {
    pub message: Message,
    pub sent_at: Instant,
}

/// Clients that hand in messages at a steady pace until they are stopped.
pub struct Load {
    pub taken: Arc<Mutex<Vec<Taken>>>,
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl Load {
    /// Hands in `per_second` messages at even gaps; `next` makes the message with a number.
    pub fn start(
        record: &Arc<Record>,
        addr: SocketAddr,
        per_second: f64,
        next: impl Fn(u64) -> Message + Send + 'static,
    ) -> Load {
        Load::with_gaps(record, addr, move || 1.0 / per_second, next)
    }

    /// Hands in `per_second` messages in the mean, at random gaps.
    pub fn random(
        record: &Arc<Record>,
        addr: SocketAddr,
        per_second: f64,
        mut seed: u64,
        next: impl Fn(u64) -> Message + Send + 'static,
    ) -> Load {
        let gap = move || {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            -(1.0 - (seed >> 11) as f64 / (1u64 << 53) as f64).ln() / per_second
        };
        Load::with_gaps(record, addr, gap, next)
    }

    fn with_gaps(
        record: &Arc<Record>,
        addr: SocketAddr,
        mut gap: impl FnMut() -> f64 + Send + 'static,
        next: impl Fn(u64) -> Message + Send + 'static,
    ) -> Load {
        let (taken, stop): (Arc<Mutex<Vec<Taken>>>, Arc<AtomicBool>) = Default::default();
        let (kept, stopped, record) = (taken.clone(), stop.clone(), record.clone());
        let thread = thread::spawn(move || {
            let (jobs, queue) = std::sync::mpsc::channel::<Message>();
            let queue = Arc::new(Mutex::new(queue));
            let workers: Vec<_> = (0..16)
                .map(|_| {
                    let (queue, taken, record) = (queue.clone(), kept.clone(), record.clone());
                    thread::spawn(move || {
                        let mut client = Client::new(addr);
                        loop {
                            let job = queue.lock().expect("not poisoned").recv();
                            let Ok(message) = job else { return };
                            let sent_at = Instant::now();
                            let status = client.submit(&message);
                            record.line_at(
                                sent_at,
                                format!("client {} {} dest={} -> {status:?}", message.id, message.class, message.dest),
                            );
                            if matches!(status, Some(200 | 202)) {
                                taken.lock().expect("not poisoned").push(Taken { message, sent_at });
                            }
                        }
                    })
                })
                .collect();
            let begin = Instant::now();
            let mut due = 0.0;
            for n in 0.. {
                let at = begin + Duration::from_secs_f64(due);
                due += gap();
                thread::sleep(at.saturating_duration_since(Instant::now()));
                if stopped.load(Ordering::SeqCst) {
                    break;
                }
                let _ = jobs.send(next(n));
            }
            drop(jobs);
            for worker in workers {
                let _ = worker.join();
            }
        });
        Load { taken, stop, thread }
    }

    /// Stops the clients and returns what was taken on.
    pub fn stop(self) -> Vec<Taken> {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
        let taken = self.taken.lock().expect("not poisoned");
        taken.clone()
    }
}

// ---- Settings of the sites ----

/// Settings of `riga-head-office`, for `senders` forwarders.
pub fn riga(senders: usize, slots: usize, open: usize) -> String {
    format!(
        "{{\"classes\":[\
         {{\"name\":\"auth-notice\",\"idempotency\":\"token\",\"dedupScope\":\"all\",\"keyTtl\":15000.0,\
           \"goalTime\":3000.0,\"deadline\":28000.0,\"worth\":1.0,\"lateShare\":0.5,\"streamed\":false}},\
         {{\"name\":\"settle-order\",\"idempotency\":\"side_effect\",\"dedupScope\":\"all\",\"keyTtl\":5000.0,\
           \"goalTime\":3000.0,\"deadline\":16000.0,\"worth\":1.0,\"lateShare\":0.3,\"streamed\":false}}],\
         \"kinds\":[\"card-issuer\",\"small-partner\"],\"zone\":\"hall-a\",\"zones\":[\"hall-a\",\"hall-b\"],\
         \"me\":0,\"peersTotal\":{senders},\"round\":5.0,\"weights\":\"rough\",\"discovery\":\"push\",\
         \"realms\":[{{\"name\":\"vidzemes-stacijas\",\"quotaRps\":1000.0,\"share\":1.0}}],\
         \"report\":{{\"fields\":[\"x0\",\"x1\"],\"how\":\"inline\"}},\"overShareWorth\":0.1,\
         \"familyInfo\":{{\"batchByKind\":[20,1],\"kindApart\":[false,false],\"slots\":{slots},\"decay\":\"halves\"}},\
         \"limits\":{{\"maxAttempts\":6,\"openCap\":{open},\"connectTimeout\":1000.0,\"idleClose\":5000.0,\
           \"retryAfter\":true,\"maxRetryAfter\":3000.0,\"cancel\":true,\"mayDuplicate\":true,\"probes\":true}},\
         \"guarantees\":{{\"fallMultiple\":2.0,\"overloadFor\":3000.0,\"startCapacity\":0.17,\
           \"warmAfter\":13000.0,\"stopSendingWithin\":2000.0,\"graceToAnswer\":20.0}}}}"
    )
}

/// Settings of `hokuyo-relay`, for `senders` forwarders.
pub fn hokuyo(senders: usize, slots: usize, open: usize) -> String {
    format!(
        "{{\"classes\":[\
         {{\"name\":\"change-order\",\"idempotency\":\"token\",\"dedupScope\":\"all\",\"keyTtl\":15000.0,\
           \"goalTime\":4000.0,\"deadline\":24000.0,\"worth\":1.0,\"lateShare\":0.3,\"streamed\":false}},\
         {{\"name\":\"status-push\",\"idempotency\":\"pure\",\"dedupScope\":\"all\",\"keyTtl\":5000.0,\
           \"goalTime\":2500.0,\"deadline\":24000.0,\"worth\":2.0,\"lateShare\":0.4,\"streamed\":false}}],\
         \"kinds\":[\"airport-hubs\",\"signage-vendors\",\"shop-tenants\"],\"zone\":\"sapporo-dc1\",\
         \"zones\":[\"sapporo-dc1\"],\"me\":0,\"peersTotal\":{senders},\"round\":5.0,\"weights\":\"none\",\
         \"discovery\":\"push\",\"realms\":[{{\"name\":\"hokuyo-maps\",\"quotaRps\":1000.0,\"share\":1.0}}],\
         \"report\":{{\"fields\":[],\"how\":\"off\"}},\"overShareWorth\":0.2,\
         \"familyInfo\":{{\"batchByKind\":[10,1,1],\"kindApart\":[false,false,false],\"slots\":{slots},\"decay\":\"line\"}},\
         \"limits\":{{\"maxAttempts\":8,\"openCap\":{open},\"connectTimeout\":1500.0,\"idleClose\":15000.0,\
           \"retryAfter\":true,\"maxRetryAfter\":3000.0,\"cancel\":true,\"mayDuplicate\":false,\"probes\":true}},\
         \"guarantees\":{{\"fallMultiple\":1.5,\"overloadFor\":2000.0,\"startCapacity\":0.26,\
           \"warmAfter\":12000.0,\"stopSendingWithin\":2000.0,\"graceToAnswer\":20.0}}}}"
    )
}

/// Resource limits as on the days that are scored.
pub const LIMITS: &str = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}";
