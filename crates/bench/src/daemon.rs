//! Compares the daemon with the pass-through: the same clients, the same endpoint, each program on one core.

use indicatif::ProgressBar;
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use yarrowhill_standins::{
    Class, ConfigParams, Discovery, EndpointLine, Ledger, Resources, configuration, free_address,
};

/// Body size of every message.
const BODY_BYTES: usize = 200;
/// Maximum time until a program accepts connections.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum duration of a round; a longer one fails.
const ROUND_TIMEOUT: Duration = Duration::from_secs(300);

/// Measured cost of a round.
struct Cost {
    messages_per_second: f64,
    /// CPU time per message (microseconds).
    cpu_micros: f64,
}

pub(crate) fn compare(messages: u64, clients: u64, rounds: u64) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    runtime.block_on(run_rounds(messages, clients, rounds))
}

async fn run_rounds(messages: u64, clients: u64, rounds: u64) -> Result<(), Box<dyn Error>> {
    let delivered = Arc::new(AtomicU64::new(0));
    let endpoint = endpoint(delivered.clone()).await?;
    let bar = ProgressBar::new(rounds * 2);
    let mut costs: [Vec<Cost>; 2] = [Vec::new(), Vec::new()];
    for _ in 0..rounds {
        for (kind, costs) in costs.iter_mut().enumerate() {
            let listen = free_address()?;
            let folder = std::env::temp_dir().join(format!("yarrowhill-bench-{}", std::process::id()));
            fs::create_dir_all(folder.join("state"))?;
            let lines = [EndpointLine::new("s", endpoint, 7, "plain", 1e6)];
            let discovery = Discovery::start(lines.to_vec(), Ledger::default()).await?;
            let config = configuration(&config_params(), listen, discovery.addr, &lines).to_string();
            // Raises the limits of journal size, open messages and sockets, which must not throttle this
            // comparison.
            let config = config
                .replace("\"disk_mb\":3.0", "\"disk_mb\":64")
                .replace("\"openCap\":300", "\"openCap\":20000");
            let config = config.replace("\"sockets\":256", "\"sockets\":1024");
            fs::write(folder.join("config.json"), config)?;
            let mut child = spawn(kind, listen, endpoint, &folder)?;
            let cost = run_round(listen, &child, messages, clients, &delivered).await;
            child.kill()?;
            child.wait()?;
            fs::remove_dir_all(&folder)?;
            costs.push(cost?);
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    println!(
        "{messages} messages of {BODY_BYTES} bytes, {clients} clients, one core; \
         median of {rounds} alternating rounds"
    );
    let [bare, daemon] = costs.map(median);
    println!(
        "bare pass-through: {:8.0} messages per second, {:6.1} us CPU per message",
        bare.messages_per_second, bare.cpu_micros
    );
    println!(
        "daemon:            {:8.0} messages per second, {:6.1} us CPU per message",
        daemon.messages_per_second, daemon.cpu_micros
    );
    println!("CPU per message, bare / daemon: {:.2}", bare.cpu_micros / daemon.cpu_micros);
    Ok(())
}

fn config_params() -> ConfigParams {
    ConfigParams {
        classes: vec![Class { name: "auth-notice", idempotency: "token", deadline_ms: 20_000 }],
        key_ttl_ms: 15_000.0,
        goal_time_ms: 3000.0,
        slots: 128,
        fail_back: [2.0, 3000.0, 0.17, 13_000.0],
        seed: 1,
        resources: Resources::default(),
    }
}

fn median(mut list: Vec<Cost>) -> Cost {
    list.sort_by(|a, b| a.cpu_micros.total_cmp(&b.cpu_micros));
    list.swap_remove(list.len() / 2)
}

/// Starts a program. Both run on core 0, one after the other, so that neither gets a faster core.
fn spawn(kind: usize, listen: SocketAddr, to: SocketAddr, folder: &Path) -> Result<Child, Box<dyn Error>> {
    let own = std::env::current_exe()?;
    let mut command = Command::new("taskset");
    command.args(["-c", "0"]);
    if kind == 0 {
        command.arg(&own).arg("passthrough").arg(listen.to_string()).arg(to.to_string());
    } else {
        let program: PathBuf = own.with_file_name("yarrowhill");
        command.arg(program);
        command.env("BALANCER_CONFIG", folder.join("config.json"));
        command.env("BALANCER_STATE", folder.join("state"));
    }
    Ok(command.stdin(Stdio::null()).stdout(Stdio::null()).spawn()?)
}

async fn run_round(
    to: SocketAddr,
    child: &Child,
    messages: u64,
    clients: u64,
    delivered: &AtomicU64,
) -> Result<Cost, Box<dyn Error>> {
    let ready = async {
        while TcpStream::connect(to).await.is_err() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(START_TIMEOUT, ready).await?;
    let (before, cpu, start) = (delivered.load(Ordering::Relaxed), cpu(child.id())?, Instant::now());
    let mut tasks = JoinSet::new();
    for client in 0..clients {
        let share = messages / clients;
        tasks.spawn(submit_messages(to, client, share));
    }
    let all = async {
        while let Some(task) = tasks.join_next().await {
            task??;
        }
        // Waits for accepted messages that are not delivered yet, so that their cost is included.
        let sent = messages / clients * clients;
        while delivered.load(Ordering::Relaxed) < before + sent {
            sleep(Duration::from_millis(5)).await;
        }
        Ok::<_, Box<dyn Error>>(sent)
    };
    let sent = timeout(ROUND_TIMEOUT, all).await?? as f64;
    let took = start.elapsed().as_secs_f64();
    let cpu_micros = (self::cpu(child.id())? - cpu) * 1e6 / sent;
    Ok(Cost { messages_per_second: sent / took, cpu_micros })
}

/// Runs one client: one connection, one request at a time. A refused message is submitted again.
async fn submit_messages(to: SocketAddr, client: u64, share: u64) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (body, mut answer) = (vec![b'm'; BODY_BYTES], vec![0; 4096]);
    for n in 0..share {
        loop {
            let head = format!(
                "POST /auth-notice HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {client:x}-{n:x}\r\nReq-Owner: acme\r\n\
                 Req-Deadline-Ms: 20000\r\nIdempotency-Key: 5c0f6e1a2b3d4c59{client:08x}{n:08x}\r\n\
                 Envelope: dest=7\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            );
            stream.write_all(&[head.as_bytes(), &body].concat()).await?;
            let mut read = 0;
            while !answer[..read].windows(4).any(|w| w == b"\r\n\r\n") {
                match stream.read(&mut answer[read..]).await? {
                    0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                    more => read += more,
                }
            }
            if answer.starts_with(b"HTTP/1.1 2") {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Starts an endpoint that answers every request immediately, and returns its address.
async fn endpoint(delivered: Arc<AtomicU64>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let delivered = delivered.clone();
            tokio::spawn(async move {
                let (mut buffer, mut text) = (vec![0; 8192], Vec::new());
                while let Ok(read @ 1..) = stream.read(&mut buffer).await {
                    text.extend_from_slice(&buffer[..read]);
                    let Some(head) = text.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
                    if text.len() < head + 4 + BODY_BYTES {
                        continue;
                    }
                    text.clear();
                    delivered.fetch_add(1, Ordering::Relaxed);
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    if stream.write_all(answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(addr)
}

/// Returns the CPU time that a process has used, user and system (seconds).
fn cpu(pid: u32) -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rest = stat.rsplit_once(')').ok_or("no process name in /proc/PID/stat")?.1;
    let field = |n: usize| {
        rest.split_whitespace()
            .nth(n)
            .and_then(|f| f.parse::<f64>().ok())
            .ok_or("no CPU time in /proc/PID/stat")
    };
    // Fields 14 and 15 of proc(5), in ticks of 10 ms.
    Ok((field(11)? + field(12)?) / 100.0)
}
