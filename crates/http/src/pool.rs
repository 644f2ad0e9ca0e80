//! The transport over HTTP/1.1: calls as tasks, and the idle connections between them.

use crate::calls;
use crate::connection::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::Instant;
#[cfg(feature = "gate")]
use yarrowhill_engine::CallResult;
use yarrowhill_engine::{Call, Input, Transport};
#[cfg(feature = "gate")]
use yarrowhill_policy::api::DestId;
use yarrowhill_policy::api::EndpointId;

/// An idle connection is given up this part of the peer's limit early: a request must not cross its closing.
const IDLE_MARGIN: u32 = 8;

/// Makes calls over HTTP/1.1, one task each, and keeps connections between them.
///
/// ```
/// use std::time::Duration;
/// // At most 16 idle connections, each for a little less than 5 s.
/// let pool = yarrowhill_http::Pool::new(16, Duration::from_secs(5));
/// ```
#[derive(Debug)]
pub struct Pool {
    shared: Arc<Mutex<Shared>>,
    idle_limit: Duration,
    gate: Gated,
}

/// The gate, in builds that have one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gated {
    #[cfg(feature = "gate")]
    gate: Option<Arc<dyn yarrowhill_engine::Gate>>,
}

#[cfg(feature = "gate")]
impl Gated {
    pub(crate) fn new(gate: Option<Arc<dyn yarrowhill_engine::Gate>>) -> Self {
        Gated { gate }
    }

    pub(crate) fn may_send(&self) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.may_send())
    }

    pub(crate) fn begin(&self, dest: DestId, further: bool, again: bool) -> Result<(), Duration> {
        self.gate.as_ref().map_or(Ok(()), |gate| gate.admit_call(dest, further, again))
    }

    pub(crate) fn ended(&self, dest: DestId, took: Duration, how: CallResult) {
        self.gate.iter().for_each(|gate| gate.call_ended(dest, took, how));
    }

    pub(crate) fn may_take_on(&self) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.may_accept())
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.is_ready())
    }
}

#[cfg(not(feature = "gate"))]
impl Gated {
    pub(crate) const fn may_send(&self) -> bool {
        true
    }

    pub(crate) const fn may_take_on(&self) -> bool {
        true
    }

    pub(crate) const fn is_ready(&self) -> bool {
        true
    }
}

#[derive(Debug)]
struct Shared {
    endpoints: HashMap<EndpointId, Kept>,
    /// Idle connections over all endpoints, and those that come up with no call waiting for them; the most of both.
    idle: usize,
    late: usize,
    idle_most: usize,
}

/// Where a call's connection goes when the call needs it no longer.
pub(crate) struct CheckIn {
    shared: Arc<Mutex<Shared>>,
    endpoint: EndpointId,
    to: SocketAddr,
}

impl CheckIn {
    /// Keeps a connection for a later call, or closes it.
    pub(crate) fn now(self, connection: Option<Connection>) {
        if let Some(connection) = connection {
            lock(&self.shared).keep(self.endpoint, self.to, connection);
        }
    }

    /// Lets a connection come up that no call waits for any longer, and keeps it then. Where there are as many as may be
    /// it is given up.
    pub(crate) fn once_up(self, opening: impl Future<Output = Option<Connection>> + Send + 'static) {
        {
            let mut shared = lock(&self.shared);
            if shared.idle + shared.late >= shared.idle_most {
                return;
            }
            shared.late += 1;
        }
        tokio::spawn(async move {
            let open = opening.await;
            lock(&self.shared).late -= 1;
            self.now(open);
        });
    }
}

/// Idle connections to one endpoint.
#[derive(Debug)]
struct Kept {
    to: SocketAddr,
    idle: Vec<(Instant, Connection)>,
}

impl Pool {
    /// Keeps at most `idle_most` idle connections, each for a little less than the peers' `idle_close`.
    pub fn new(idle_most: usize, idle_close: Duration) -> Self {
        let shared = Shared { endpoints: HashMap::new(), idle: 0, late: 0, idle_most };
        let idle_limit = idle_close - idle_close / IDLE_MARGIN;
        Pool { shared: Arc::new(Mutex::new(shared)), idle_limit, gate: Gated::default() }
    }

    /// The same with a gate that is looked at just before the first byte of each call.
    #[cfg(feature = "gate")]
    #[must_use]
    pub fn with_gate(mut self, gate: Option<Arc<dyn yarrowhill_engine::Gate>>) -> Self {
        self.gate = Gated::new(gate);
        self
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        lock(&self.shared)
    }
}

/// A task that panicked while it held the lock has left the counts as they were.
fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn take(&mut self, endpoint: EndpointId, to: SocketAddr) -> Option<Connection> {
        let kept = self.endpoints.get_mut(&endpoint).filter(|kept| kept.to == to)?;
        let (_, connection) = kept.idle.pop()?;
        self.idle -= 1;
        Some(connection)
    }

    /// Keeps a connection, unless its endpoint has moved or gone since, or there are enough of them.
    fn keep(&mut self, endpoint: EndpointId, to: SocketAddr, connection: Connection) {
        if self.idle + self.late < self.idle_most
            && let Some(kept) = self.endpoints.get_mut(&endpoint).filter(|kept| kept.to == to)
        {
            kept.idle.push((Instant::now(), connection));
            self.idle += 1;
        }
    }
}

impl Transport for Pool {
    fn start_call(&mut self, call: Call, results: Sender<Input>) {
        let (endpoint, to) = (call.endpoint, call.address);
        let idle = self.lock().take(endpoint, to);
        let check_in = CheckIn { shared: self.shared.clone(), endpoint, to };
        tokio::spawn(calls::make(call, idle, results, self.gate.clone(), check_in));
    }

    fn set_endpoint_address(&mut self, endpoint: EndpointId, keep: Option<SocketAddr>) {
        let mut shared = self.lock();
        let known = shared.endpoints.get(&endpoint).map(|kept| kept.to);
        if known == keep {
            return;
        }
        let closed = match keep {
            Some(to) => shared.endpoints.insert(endpoint, Kept { to, idle: Vec::new() }),
            None => shared.endpoints.remove(&endpoint),
        };
        shared.idle -= closed.map_or(0, |kept| kept.idle.len());
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        let mut shared = self.lock();
        let closed = shared.endpoints.get_mut(&endpoint).map_or(0, |kept| kept.idle.drain(..).count());
        shared.idle -= closed;
    }

    fn prune_idle(&mut self) {
        let limit = self.idle_limit;
        let mut shared = self.lock();
        let mut idle = 0;
        for kept in shared.endpoints.values_mut() {
            kept.idle.retain(|(since, c)| c.is_open() && since.elapsed() < limit);
            idle += kept.idle.len();
        }
        shared.idle = idle;
    }
}
