//! Exchange of full membership states between two members, over TCP: the length of each state, then the state.

use crate::clock;
use crate::codec::{MAX_FULL_STATE_BYTES, decode, encode};
use crate::handle::Handle;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use yarrowhill_membership::{FullState, MemberId};

/// Time allowed for an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent exchanges that other members began; further connections are closed unread.
pub(crate) const MAX_INCOMING: usize = 4;

/// Starts an exchange of full states with a member, as a task of its own.
pub(crate) fn start(handle: Handle, with: MemberId) {
    let Some(address) = handle.address(with) else { return };
    tokio::spawn(async move {
        let exchange = async {
            let mut stream = TcpStream::connect(address).await?;
            let local = handle.core().full_state();
            write_full_state(&mut stream, &local).await?;
            read_full_state(&mut stream).await
        };
        if let Ok(Ok(state)) = timeout(EXCHANGE_TIMEOUT, exchange).await
            && state.header.from == with
        {
            handle.core().merge_full_state(clock::now(), state);
            handle.0.wake.notify_one();
        }
    });
}

/// Answers an exchange of full states that another member began, as a task of its own.
pub(crate) fn accept(handle: Handle, mut stream: TcpStream, from: SocketAddr, permits: &Arc<Semaphore>) {
    let permit = permits.clone().try_acquire_owned();
    let (true, Ok(permit)) = (handle.is_member_host(from), permit) else {
        handle.0.unknown_senders.fetch_add(1, Ordering::Relaxed);
        return;
    };
    tokio::spawn(async move {
        let _permit = permit;
        let exchange = async {
            let state = read_full_state(&mut stream).await?;
            let local = {
                let mut core = handle.core();
                if !core.merge_full_state(clock::now(), state) {
                    return Err(io::ErrorKind::PermissionDenied.into());
                }
                core.full_state()
            };
            handle.0.wake.notify_one();
            write_full_state(&mut stream, &local).await
        };
        let _ = timeout(EXCHANGE_TIMEOUT, exchange).await;
    });
}

async fn write_full_state(stream: &mut TcpStream, state: &FullState) -> io::Result<()> {
    let bytes = encode(state, MAX_FULL_STATE_BYTES).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&[&length.to_be_bytes()[..], &bytes].concat()).await
}

async fn read_full_state(stream: &mut TcpStream) -> io::Result<FullState> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_FULL_STATE_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    // Grows as bytes arrive, so that a length alone does not allocate memory.
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    decode(&bytes, MAX_FULL_STATE_BYTES).map_err(io::Error::other)
}
