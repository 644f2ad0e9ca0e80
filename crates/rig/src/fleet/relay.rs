//! The network between two processes. A relay is one direction of it: a socket that receives what one process
//! sends, and forwards it to the other from the address that the receiver has configured for the sender.

use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use yarrowhill_standins::Rng;

/// Maximum number of packets in transit; further packets are lost, as in a router's queue.
const MAX_QUEUED_PACKETS: usize = 512;
/// Maximum number of concurrent connections in one direction.
const MAX_CONNECTIONS: usize = 64;

/// Network conditions of one direction.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinkQuality {
    /// Share of packets that are lost.
    pub loss: f64,
    /// Share of packets that are duplicated.
    #[serde(rename = "twice")]
    pub duplicate: f64,
    /// Minimum latency (ms).
    #[serde(rename = "delay")]
    pub delay_ms: f64,
    /// Mean of the random latency that is added (ms, exponentially distributed), so that packets are
    /// reordered.
    #[serde(rename = "jitter")]
    pub jitter_ms: f64,
    /// Whether the direction is cut: packets are lost and connections stall.
    pub cut: bool,
    /// Whether connections are accepted but carry no data.
    pub half_open: bool,
    /// Bandwidth in bytes per second; `None` is unlimited.
    #[serde(rename = "bytes")]
    pub bytes_per_sec: Option<u64>,
}

impl Default for LinkQuality {
    fn default() -> Self {
        LinkQuality {
            loss: 0.0,
            duplicate: 0.0,
            delay_ms: 0.0,
            jitter_ms: 0.0,
            cut: false,
            half_open: false,
            bytes_per_sec: None,
        }
    }
}

/// Traffic counters of one direction.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub(super) forwarded: AtomicU64,
    pub(super) lost: AtomicU64,
    pub(super) duplicated: AtomicU64,
    pub(super) connections: AtomicU64,
}

struct State {
    quality: LinkQuality,
    rng: Rng,
    /// Time until which the bandwidth is used up.
    free_at: Instant,
}

/// The relay of the opposite direction; replaced when the process at its end moves to another address.
pub(super) type ReverseRelay = Arc<Mutex<Relay>>;

/// One direction between two processes.
#[derive(Clone)]
pub(super) struct Relay {
    /// Address at which the sender reaches the receiver.
    pub(super) addr: SocketAddr,
    socket: Arc<UdpSocket>,
    state: Arc<Mutex<State>>,
    pub(super) counts: Arc<Counts>,
}

impl Relay {
    /// Binds a UDP socket, and a TCP listener on the same port.
    pub(super) async fn bind(ip: [u8; 4], seed: u64) -> io::Result<(Self, TcpListener)> {
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..20 {
            let udp = UdpSocket::bind(SocketAddr::from((ip, 0))).await?;
            let addr = udp.local_addr()?;
            match TcpListener::bind(addr).await {
                Ok(tcp) => {
                    let (rng, free_at) = (Rng::seed_from_u64(seed), Instant::now());
                    let state = Arc::new(Mutex::new(State { quality: LinkQuality::default(), rng, free_at }));
                    let relay =
                        Relay { addr, socket: Arc::new(udp), state, counts: Arc::new(Counts::default()) };
                    return Ok((relay, tcp));
                }
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    pub(super) fn quality(&self) -> LinkQuality {
        self.lock().quality
    }

    pub(super) fn set_quality(&self, quality: LinkQuality) {
        self.lock().quality = quality;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns when the packet and its duplicate arrive; empty if the packet is lost.
    fn arrival_times(&self, length: usize) -> Vec<Instant> {
        let mut state = self.lock();
        let State { quality, rng, free_at } = &mut *state;
        // Drawn for each packet under all conditions, so that a seed always gives the same sequence of draws.
        let (loss, duplicate, first, second): (f64, f64, f64, f64) =
            (rng.random(), rng.random(), rng.random(), rng.random());
        if quality.cut || loss < quality.loss {
            self.counts.lost.fetch_add(1, Ordering::Relaxed);
            return Vec::new();
        }
        let now = Instant::now();
        let start = match quality.bytes_per_sec {
            None => now,
            Some(rate) => {
                *free_at = (*free_at).max(now) + Duration::from_secs_f64(length as f64 / rate.max(1) as f64);
                *free_at
            }
        };
        let arrival = |draw: f64| {
            let ms = quality.delay_ms - quality.jitter_ms * draw.max(1e-9).ln();
            start + Duration::from_secs_f64(ms / 1000.0)
        };
        let mut arrivals = vec![arrival(first)];
        if duplicate < quality.duplicate {
            self.counts.duplicated.fetch_add(1, Ordering::Relaxed);
            arrivals.push(arrival(second));
        }
        arrivals
    }

    /// Forwards packets and connections to the receivers, from the address of the reverse direction, until
    /// the task is aborted.
    pub(super) async fn run(self, tcp: TcpListener, to: Vec<SocketAddr>, reverse: ReverseRelay) {
        let mut connections = JoinSet::new();
        let permits = Arc::new(tokio::sync::Semaphore::new(MAX_QUEUED_PACKETS));
        let mut buffer = vec![0u8; 4096];
        loop {
            tokio::select! {
                got = self.socket.recv_from(&mut buffer) => {
                    let Ok((length, _)) = got else { continue };
                    for at in self.arrival_times(length) {
                        let Ok(permit) = permits.clone().try_acquire_owned() else {
                            self.counts.lost.fetch_add(1, Ordering::Relaxed);
                            continue;
                        };
                        self.counts.forwarded.fetch_add(1, Ordering::Relaxed);
                        let from = current(&reverse).socket;
                        let (bytes, to) = (buffer[..length].to_vec(), to.clone());
                        tokio::spawn(async move {
                            let _permit = permit;
                            sleep_until(at).await;
                            for to in to {
                                // The packet is lost if no process listens there.
                                let _ = from.send_to(&bytes, to).await;
                            }
                        });
                    }
                }
                got = tcp.accept() => {
                    let Ok((stream, _)) = got else { continue };
                    while connections.try_join_next().is_some() {}
                    if connections.len() < MAX_CONNECTIONS {
                        self.counts.connections.fetch_add(1, Ordering::Relaxed);
                        let reverse = current(&reverse);
                        connections.spawn(forward_connection(stream, to.clone(), self.clone(), reverse));
                    }
                }
            }
        }
    }
}

/// Returns the relay that is the reverse direction now.
fn current(reverse: &ReverseRelay) -> Relay {
    reverse.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// Forwards a connection; the bytes of each direction are subject to the link quality of that direction.
async fn forward_connection(stream: TcpStream, to: Vec<SocketAddr>, forward: Relay, reverse: Relay) {
    if forward.quality().half_open {
        // Keeps the accepted connection open and sends nothing.
        sleep(Duration::from_secs(30)).await;
        return;
    }
    let Some(to) = to.first() else { return };
    // Connects from the IP address that the receiver has configured for the sender.
    let connect = async {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(reverse.addr.ip(), 0))?;
        socket.connect(*to).await
    };
    let Ok(out) = connect.await else { return };
    let (read, write) = stream.into_split();
    let (out_read, out_write) = out.into_split();
    tokio::join!(copy_bytes(read, out_write, forward), copy_bytes(out_read, write, reverse));
}

async fn copy_bytes(
    mut from: impl tokio::io::AsyncRead + Unpin,
    mut to: impl tokio::io::AsyncWrite + Unpin,
    relay: Relay,
) {
    let mut buffer = vec![0u8; 16 << 10];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        // A cut stalls the bytes: both ends of the connection receive nothing until it heals.
        while relay.quality().cut {
            sleep(Duration::from_millis(20)).await;
        }
        let quality = relay.quality();
        let mut pause = (quality.delay_ms + quality.jitter_ms) / 1000.0;
        if let Some(rate) = quality.bytes_per_sec {
            pause += length as f64 / rate.max(1) as f64;
        }
        sleep(Duration::from_secs_f64(pause)).await;
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}
