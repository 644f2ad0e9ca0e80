//! The engine's transport over HTTP/1.1: one task for each call, and a pool of idle connections.

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

/// An idle connection is closed earlier than the peer's idle timeout by the timeout divided by this, so
/// that no request crosses the peer's close.
const IDLE_MARGIN_DIVISOR: u32 = 8;

/// Makes calls over HTTP/1.1, each in its own task, and keeps idle connections for later calls.
///
/// ```
/// use std::time::Duration;
/// // At most 16 idle connections, each kept for a little less than 5 s.
/// let pool = yarrowhill_http::Pool::new(16, Duration::from_secs(5));
/// ```
#[derive(Debug)]
pub struct Pool {
    state: Arc<Mutex<PoolState>>,
    max_idle_age: Duration,
    gate: GateHandle,
}

/// The gate, which is optional and exists only in builds with the feature `gate`.
#[derive(Clone, Debug, Default)]
pub(crate) struct GateHandle {
    #[cfg(feature = "gate")]
    gate: Option<Arc<dyn yarrowhill_engine::Gate>>,
}

#[cfg(feature = "gate")]
impl GateHandle {
    pub(crate) fn new(gate: Option<Arc<dyn yarrowhill_engine::Gate>>) -> Self {
        GateHandle { gate }
    }

    pub(crate) fn may_send(&self) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.may_send())
    }

    pub(crate) fn admit_call(&self, dest: DestId, is_retry: bool, was_delayed: bool) -> Result<(), Duration> {
        self.gate.as_ref().map_or(Ok(()), |gate| gate.admit_call(dest, is_retry, was_delayed))
    }

    pub(crate) fn call_ended(&self, dest: DestId, elapsed: Duration, result: CallResult) {
        self.gate.iter().for_each(|gate| gate.call_ended(dest, elapsed, result));
    }

    pub(crate) fn may_accept(&self) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.may_accept())
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.is_ready())
    }
}

#[cfg(not(feature = "gate"))]
impl GateHandle {
    pub(crate) const fn may_send(&self) -> bool {
        true
    }

    pub(crate) const fn may_accept(&self) -> bool {
        true
    }

    pub(crate) const fn is_ready(&self) -> bool {
        true
    }
}

#[derive(Debug)]
struct PoolState {
    endpoints: HashMap<EndpointId, IdleConnections>,
    /// Number of idle connections to all endpoints.
    idle: usize,
    /// Number of connections that are being opened although no call waits for them.
    opening: usize,
    /// Upper bound of `idle` and `opening` together.
    max_idle: usize,
}

/// Returns the connection of a call to the pool.
pub(crate) struct CheckIn {
    state: Arc<Mutex<PoolState>>,
    endpoint: EndpointId,
    address: SocketAddr,
}

impl CheckIn {
    /// Keeps a connection for a later call, or closes it.
    pub(crate) fn put_back(self, connection: Option<Connection>) {
        if let Some(connection) = connection {
            lock(&self.state).put_idle(self.endpoint, self.address, connection);
        }
    }

    /// Continues to open a connection that no call waits for any longer, and then keeps it. Abandons it if
    /// the pool is full.
    pub(crate) fn put_back_once_open(
        self,
        opening: impl Future<Output = Option<Connection>> + Send + 'static,
    ) {
        {
            let mut state = lock(&self.state);
            if state.idle + state.opening >= state.max_idle {
                return;
            }
            state.opening += 1;
        }
        tokio::spawn(async move {
            let open = opening.await;
            lock(&self.state).opening -= 1;
            self.put_back(open);
        });
    }
}

/// Idle connections to one endpoint, with the time at which each became idle.
#[derive(Debug)]
struct IdleConnections {
    address: SocketAddr,
    connections: Vec<(Instant, Connection)>,
}

impl Pool {
    /// Creates a pool of at most `max_idle` idle connections, each kept for a little less than the peers'
    /// idle timeout `idle_timeout`.
    pub fn new(max_idle: usize, idle_timeout: Duration) -> Self {
        let state = PoolState { endpoints: HashMap::new(), idle: 0, opening: 0, max_idle };
        let max_idle_age = idle_timeout - idle_timeout / IDLE_MARGIN_DIVISOR;
        Pool { state: Arc::new(Mutex::new(state)), max_idle_age, gate: GateHandle::default() }
    }

    /// Sets a gate that is consulted just before the first byte of each call.
    #[cfg(feature = "gate")]
    #[must_use]
    pub fn with_gate(mut self, gate: Option<Arc<dyn yarrowhill_engine::Gate>>) -> Self {
        self.gate = GateHandle::new(gate);
        self
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        lock(&self.state)
    }
}

/// Locks the state, ignoring poisoning: a task that panics while it holds the lock leaves the counts
/// consistent.
fn lock(state: &Mutex<PoolState>) -> MutexGuard<'_, PoolState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PoolState {
    fn take_idle(&mut self, endpoint: EndpointId, address: SocketAddr) -> Option<Connection> {
        let idle = self.endpoints.get_mut(&endpoint).filter(|idle| idle.address == address)?;
        let (_, connection) = idle.connections.pop()?;
        self.idle -= 1;
        Some(connection)
    }

    /// Keeps a connection, unless its endpoint has changed its address or been removed since, or the pool is
    /// full.
    fn put_idle(&mut self, endpoint: EndpointId, address: SocketAddr, connection: Connection) {
        if self.idle + self.opening < self.max_idle
            && let Some(idle) = self.endpoints.get_mut(&endpoint).filter(|idle| idle.address == address)
        {
            idle.connections.push((Instant::now(), connection));
            self.idle += 1;
        }
    }
}

impl Transport for Pool {
    fn start_call(&mut self, call: Call, results: Sender<Input>) {
        let (endpoint, address) = (call.endpoint, call.address);
        let idle = self.lock().take_idle(endpoint, address);
        let check_in = CheckIn { state: self.state.clone(), endpoint, address };
        tokio::spawn(calls::run(call, idle, results, self.gate.clone(), check_in));
    }

    fn set_endpoint_address(&mut self, endpoint: EndpointId, address: Option<SocketAddr>) {
        let mut state = self.lock();
        let known = state.endpoints.get(&endpoint).map(|idle| idle.address);
        if known == address {
            return;
        }
        let closed = match address {
            Some(address) => {
                state.endpoints.insert(endpoint, IdleConnections { address, connections: Vec::new() })
            }
            None => state.endpoints.remove(&endpoint),
        };
        state.idle -= closed.map_or(0, |idle| idle.connections.len());
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        let mut state = self.lock();
        let idle = state.endpoints.get_mut(&endpoint);
        let closed = idle.map_or(0, |idle| idle.connections.drain(..).count());
        state.idle -= closed;
    }

    fn prune_idle(&mut self) {
        let max_idle_age = self.max_idle_age;
        let mut state = self.lock();
        let mut total = 0;
        for idle in state.endpoints.values_mut() {
            idle.connections
                .retain(|(since, connection)| connection.is_open() && since.elapsed() < max_idle_age);
            total += idle.connections.len();
        }
        state.idle = total;
    }
}
