//! The engine's transport over HTTP/1.1: one task for each call, and a pool of idle connections.

use crate::body_memory::BodyMemory;
use crate::calls::{self, CallContext};
use crate::gate_handle::GateHandle;
use crate::idle::{CheckIn, IdleConnections, PoolState, lock};
use crate::listed::ListedAddresses;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use yarrowhill_engine::{Call, Input, Transport};
use yarrowhill_policy::api::EndpointId;

/// An idle connection is closed earlier than the peer's idle timeout by the timeout divided by this, so
/// that no request crosses the peer's close.
const IDLE_MARGIN_DIVISOR: u32 = 8;

/// Default of the limit on the memory for bodies of responses.
const DEFAULT_BODY_BYTES: usize = 4 << 20;

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
    context: CallContext,
}

impl Pool {
    /// Creates a pool of at most `max_idle` idle connections, each kept for a little less than the peers'
    /// idle timeout `idle_timeout`.
    pub fn new(max_idle: usize, idle_timeout: Duration) -> Self {
        let state =
            PoolState { endpoints: HashMap::new(), idle: 0, opening: 0, resting: VecDeque::new(), max_idle };
        let max_idle_age = idle_timeout - idle_timeout / IDLE_MARGIN_DIVISOR;
        let context = CallContext {
            gate: GateHandle::default(),
            bodies: BodyMemory::new(DEFAULT_BODY_BYTES),
            listed: None,
        };
        Pool { state: Arc::new(Mutex::new(state)), max_idle_age, context }
    }

    /// Sets the limit (KiB) of the memory for bodies of responses.
    #[must_use]
    pub fn with_body_memory(mut self, body_kib: usize) -> Self {
        self.context.bodies = BodyMemory::new(body_kib * 1024);
        self
    }

    /// Sets the listed addresses: a call is written only to one where its destination has an endpoint.
    #[must_use]
    pub fn with_listed_addresses(mut self, listed: ListedAddresses) -> Self {
        self.context.listed = Some(listed);
        self
    }

    /// Sets a gate that is consulted just before the first byte of each call.
    #[cfg(feature = "gate")]
    #[must_use]
    pub fn with_gate(mut self, gate: Option<Arc<dyn yarrowhill_engine::Gate>>) -> Self {
        self.context.gate = GateHandle::new(gate);
        self
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        lock(&self.state)
    }
}

impl Transport for Pool {
    fn start_call(&mut self, call: Call, results: Sender<Input>) {
        let (endpoint, address) = (call.endpoint, call.address);
        let idle = self.lock().take_idle(endpoint, address);
        let check_in = CheckIn { state: self.state.clone(), endpoint, address };
        tokio::spawn(calls::run(call, idle, results, check_in, self.context.clone()));
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
        self.lock().close_idle(endpoint);
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
