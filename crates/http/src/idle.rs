//! Idle connections to endpoints, and how the task of a call returns its connection.

use crate::connection::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;
use yarrowhill_policy::api::EndpointId;

/// The idle connections to all endpoints, and their number.
#[derive(Debug)]
pub(crate) struct PoolState {
    pub(crate) endpoints: HashMap<EndpointId, IdleConnections>,
    /// Number of idle connections to all endpoints.
    pub(crate) idle: usize,
    /// Number of connections that are being opened although no call waits for them.
    pub(crate) opening: usize,
    /// Upper bound of `idle` and `opening` together.
    pub(crate) max_idle: usize,
}

/// Returns the connection of a call to the pool.
pub(crate) struct CheckIn {
    pub(crate) state: Arc<Mutex<PoolState>>,
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
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
pub(crate) struct IdleConnections {
    pub(crate) address: SocketAddr,
    pub(crate) connections: Vec<(Instant, Connection)>,
}

/// Locks the state, ignoring poisoning: a task that panics while it holds the lock leaves the counts
/// consistent.
pub(crate) fn lock(state: &Mutex<PoolState>) -> MutexGuard<'_, PoolState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PoolState {
    /// Takes the connection to an endpoint that was used last, if the endpoint still has this address.
    pub(crate) fn take_idle(&mut self, endpoint: EndpointId, address: SocketAddr) -> Option<Connection> {
        let idle = self.endpoints.get_mut(&endpoint).filter(|idle| idle.address == address)?;
        let (_, connection) = idle.connections.pop()?;
        self.idle -= 1;
        Some(connection)
    }

    /// Keeps a connection, unless its endpoint has changed its address or been removed since, or the pool is
    /// full.
    pub(crate) fn put_idle(&mut self, endpoint: EndpointId, address: SocketAddr, connection: Connection) {
        if self.idle + self.opening < self.max_idle
            && let Some(idle) = self.endpoints.get_mut(&endpoint).filter(|idle| idle.address == address)
        {
            idle.connections.push((Instant::now(), connection));
            self.idle += 1;
        }
    }
}
