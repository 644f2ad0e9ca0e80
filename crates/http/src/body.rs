//! Reads the bodies of requests and responses.
//!
//! The HTTP parser passes on each read of a socket as a slice of its read buffer, and cannot use the buffer again
//! while the slice lives. A collection of slices would hold a buffer for each piece, however short it is.
//! Therefore each piece is copied, or only visited, and released before the next one is read.

use crate::body_memory::{BodyMemory, CompleteBody, OutOfMemory};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// The connection ended, or the framing is invalid.
    #[error("the body breaks off: {0}")]
    Broken(#[from] hyper::Error),
    /// It is not complete within its time limit.
    #[error("the body is not complete in time")]
    TimedOut,
    /// The memory for bodies is needed for others.
    #[error("there is no memory for the body")]
    OutOfMemory,
}

impl From<OutOfMemory> for BodyError {
    fn from(_: OutOfMemory) -> Self {
        BodyError::OutOfMemory
    }
}

/// Reads a body of at most `max_bytes` into `memory` within `time_limit`.
pub(crate) async fn collect(
    body: Incoming,
    max_bytes: usize,
    time_limit: Duration,
    memory: &Arc<BodyMemory>,
) -> Result<CompleteBody, BodyError> {
    let read_all = collect_patiently(body, max_bytes, time_limit, memory);
    timeout(time_limit, read_all).await.map_err(|_| BodyError::TimedOut)?
}

/// Reads a body of at most `max_bytes` into `memory`. If it is too slow to be complete within `usual_time`, it is
/// evicted when others need the memory.
pub(crate) async fn collect_patiently(
    mut body: Incoming,
    max_bytes: usize,
    usual_time: Duration,
    memory: &Arc<BodyMemory>,
) -> Result<CompleteBody, BodyError> {
    let announced = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    let buffer = memory.begin(announced.map_or(max_bytes, |bytes| bytes.min(max_bytes)), usual_time);
    tokio::select! {
        biased;
        () = buffer.evicted() => return Err(BodyError::OutOfMemory),
        read = visit(&mut body, max_bytes, |piece| Ok(buffer.append(piece)?)) => read?,
    }
    Ok(buffer.complete()?)
}

/// Reads a body of at most `max_bytes` and passes each piece to `visitor`. Trailers are ignored.
pub(crate) async fn visit(
    body: &mut Incoming,
    max_bytes: usize,
    mut visitor: impl FnMut(&Bytes) -> Result<(), BodyError>,
) -> Result<(), BodyError> {
    let mut left = max_bytes;
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else { continue };
        left = left.checked_sub(piece.len()).ok_or(BodyError::TooLong)?;
        visitor(&piece)?;
    }
    Ok(())
}
