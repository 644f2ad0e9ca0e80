//! The network between two processes: one direction of it is a socket that takes what the one sends, and passes it on
//! to the other from the address that the other knows the first by.

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

/// Packets on their way at once; further ones are lost, as in a router's queue.
const QUEUE: usize = 512;
/// Connections at once in one direction.
const STREAMS: usize = 64;

/// What a direction does to what it carries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinkQuality {
    /// The share of packets that are lost.
    pub loss: f64,
    /// The share that comes twice.
    #[serde(rename = "twice")]
    pub duplicate: f64,
    /// The least time on the way (ms),
    #[serde(rename = "delay")]
    pub delay_ms: f64,
    /// and what chance adds in the mean (ms), so that packets overtake each other.
    #[serde(rename = "jitter")]
    pub jitter_ms: f64,
    /// Nothing comes through: packets are lost, connections stand still.
    pub cut: bool,
    /// Connections are accepted, and nothing more is heard on them.
    pub half_open: bool,
    /// Bytes a second; none: as many as come.
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

/// What a direction has done.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub(super) carried: AtomicU64,
    pub(super) lost: AtomicU64,
    pub(super) twice: AtomicU64,
    pub(super) streams: AtomicU64,
}

struct State {
    weather: LinkQuality,
    rng: Rng,
    /// The line is busy until then.
    free: Instant,
}

/// The direction that answers go by; another one where the receiver of those has moved.
pub(super) type Back = Arc<Mutex<Relay>>;

/// One direction.
#[derive(Clone)]
pub(super) struct Relay {
    /// Where the sender finds the receiver.
    pub(super) at: SocketAddr,
    socket: Arc<UdpSocket>,
    state: Arc<Mutex<State>>,
    pub(super) counts: Arc<Counts>,
}

impl Relay {
    /// A socket of its own for UDP and a listener on the same port.
    pub(super) async fn bind(ip: [u8; 4], seed: u64) -> io::Result<(Self, TcpListener)> {
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..20 {
            let udp = UdpSocket::bind(SocketAddr::from((ip, 0))).await?;
            let at = udp.local_addr()?;
            match TcpListener::bind(at).await {
                Ok(tcp) => {
                    let (rng, free) = (Rng::seed_from_u64(seed), Instant::now());
                    let state = Arc::new(Mutex::new(State { weather: LinkQuality::default(), rng, free }));
                    let relay =
                        Relay { at, socket: Arc::new(udp), state, counts: Arc::new(Counts::default()) };
                    return Ok((relay, tcp));
                }
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    pub(super) fn weather(&self) -> LinkQuality {
        self.lock().weather
    }

    pub(super) fn set(&self, weather: LinkQuality) {
        self.lock().weather = weather;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When copies of a packet come, if any do.
    fn carry(&self, length: usize) -> Vec<Instant> {
        let mut state = self.lock();
        let State { weather, rng, free } = &mut *state;
        // Drawn for each packet whatever holds, so that one seed is one row of draws.
        let (lost, twice, first, second): (f64, f64, f64, f64) =
            (rng.random(), rng.random(), rng.random(), rng.random());
        if weather.cut || lost < weather.loss {
            self.counts.lost.fetch_add(1, Ordering::Relaxed);
            return Vec::new();
        }
        let now = Instant::now();
        let start = match weather.bytes_per_sec {
            None => now,
            Some(rate) => {
                *free = (*free).max(now) + Duration::from_secs_f64(length as f64 / rate.max(1) as f64);
                *free
            }
        };
        let way = |chance: f64| {
            let ms = weather.delay_ms - weather.jitter_ms * chance.max(1e-9).ln();
            start + Duration::from_secs_f64(ms / 1000.0)
        };
        let mut comes = vec![way(first)];
        if twice < weather.duplicate {
            self.counts.twice.fetch_add(1, Ordering::Relaxed);
            comes.push(way(second));
        }
        comes
    }

    /// Carries packets and connections to the receivers, from the address of the way back, until the task ends.
    pub(super) async fn run(self, tcp: TcpListener, to: Vec<SocketAddr>, back: Back) {
        let mut streams = JoinSet::new();
        let room = Arc::new(tokio::sync::Semaphore::new(QUEUE));
        let mut buffer = vec![0u8; 4096];
        loop {
            tokio::select! {
                got = self.socket.recv_from(&mut buffer) => {
                    let Ok((length, _)) = got else { continue };
                    for at in self.carry(length) {
                        let Ok(place) = room.clone().try_acquire_owned() else {
                            self.counts.lost.fetch_add(1, Ordering::Relaxed);
                            continue;
                        };
                        self.counts.carried.fetch_add(1, Ordering::Relaxed);
                        let from = now(&back).socket;
                        let (bytes, to) = (buffer[..length].to_vec(), to.clone());
                        tokio::spawn(async move {
                            let _place = place;
                            sleep_until(at).await;
                            for to in to {
                                // Nobody there: lost.
                                let _ = from.send_to(&bytes, to).await;
                            }
                        });
                    }
                }
                got = tcp.accept() => {
                    let Ok((stream, _)) = got else { continue };
                    while streams.try_join_next().is_some() {}
                    if streams.len() < STREAMS {
                        self.counts.streams.fetch_add(1, Ordering::Relaxed);
                        streams.spawn(carry_stream(stream, to.clone(), self.clone(), now(&back)));
                    }
                }
            }
        }
    }
}

fn now(back: &Back) -> Relay {
    back.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// A connection: bytes of each direction under the weather of that direction.
async fn carry_stream(stream: TcpStream, to: Vec<SocketAddr>, there: Relay, back: Relay) {
    if there.weather().half_open {
        // Accepted, and then silence.
        sleep(Duration::from_secs(30)).await;
        return;
    }
    let Some(to) = to.first() else { return };
    // From the host that the receiver knows the sender by.
    let connect = async {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(back.at.ip(), 0))?;
        socket.connect(*to).await
    };
    let Ok(out) = connect.await else { return };
    let (read, write) = stream.into_split();
    let (out_read, out_write) = out.into_split();
    let forth = pass(read, out_write, there);
    let back = pass(out_read, write, back);
    tokio::join!(forth, back);
}

async fn pass(
    mut from: impl tokio::io::AsyncRead + Unpin,
    mut to: impl tokio::io::AsyncWrite + Unpin,
    relay: Relay,
) {
    let mut buffer = vec![0u8; 16 << 10];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        // A cut stops bytes, as it stops packets: both ends see silence.
        while relay.weather().cut {
            sleep(Duration::from_millis(20)).await;
        }
        let weather = relay.weather();
        let mut pause = (weather.delay_ms + weather.jitter_ms) / 1000.0;
        if let Some(rate) = weather.bytes_per_sec {
            pause += length as f64 / rate.max(1) as f64;
        }
        sleep(Duration::from_secs_f64(pause)).await;
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}
