//! Idle connections to endpoints, and how the task of a call returns its connection.

use crate::connection::Connection;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, watch};
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
    /// Connections that rest after a call, the longest first.
    pub(crate) resting: VecDeque<Arc<Resting>>,
    /// Upper bound of `idle`, `opening` and `resting` together.
    pub(crate) max_idle: usize,
}

/// Returns the connection of a call to the pool.
pub(crate) struct CheckIn {
    pub(crate) state: Arc<Mutex<PoolState>>,
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
}

impl CheckIn {
    /// Reserves a place for a connection that rests. If there is no room, the longest idle connection is
    /// closed; if there is none, the connection that rests the longest ends its rest.
    pub(crate) fn begin_rest(&self) -> RestingPlace {
        let mut state = lock(&self.state);
        if state.is_full()
            && !state.close_longest_idle()
            && let Some(longest) = state.resting.front()
        {
            longest.place_needed.notify_one();
        }
        let resting = Arc::new(Resting {
            endpoint: self.endpoint,
            place_needed: Notify::new(),
            is_closing: watch::Sender::new(false),
        });
        state.resting.push_back(resting.clone());
        RestingPlace { state: self.state.clone(), resting }
    }

    /// Keeps a connection that has rested, unless idle connections to its endpoint were closed meanwhile.
    pub(crate) fn put_back_rested(self, place: &RestingPlace, connection: Connection) {
        connection.discard_surplus();
        let mut state = lock(&self.state);
        state.end_rest(&place.resting);
        if connection.is_open() && !*place.resting.is_closing.borrow() {
            state.put_idle(self.endpoint, self.address, connection);
        }
    }

    /// Keeps a connection for a later call, or closes it.
    pub(crate) fn put_back(self, connection: Option<Connection>) {
        if let Some(connection) = connection {
            connection.discard_surplus();
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
            if state.is_full() {
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

/// A connection that rests after a call.
#[derive(Debug)]
pub(crate) struct Resting {
    endpoint: EndpointId,
    /// Notified when another connection needs the place.
    place_needed: Notify,
    /// True once the connection is to be closed after its rest at the latest.
    is_closing: watch::Sender<bool>,
}

/// Place of a connection that rests after a call; dropping it frees the place.
pub(crate) struct RestingPlace {
    state: Arc<Mutex<PoolState>>,
    resting: Arc<Resting>,
}

impl RestingPlace {
    /// Returns when another connection needs the place.
    pub(crate) async fn needed(&self) {
        self.resting.place_needed.notified().await;
    }

    /// Returns when the connection is to be closed, like the idle ones to its endpoint.
    pub(crate) async fn closing(&self) {
        // The sender lives as long as this place.
        let _ = self.resting.is_closing.subscribe().wait_for(|is_closing| *is_closing).await;
    }
}

impl Drop for RestingPlace {
    fn drop(&mut self) {
        lock(&self.state).end_rest(&self.resting);
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
    fn is_full(&self) -> bool {
        self.idle + self.opening + self.resting.len() >= self.max_idle
    }

    /// Frees the place of a connection that rested, if it is not free already.
    fn end_rest(&mut self, ended: &Arc<Resting>) {
        self.resting.retain(|resting| !Arc::ptr_eq(resting, ended));
    }

    /// Closes the idle connections to an endpoint, and those that rest, each as soon as its last call is
    /// settled.
    pub(crate) fn close_idle(&mut self, endpoint: EndpointId) {
        let idle = self.endpoints.get_mut(&endpoint);
        self.idle -= idle.map_or(0, |idle| idle.connections.drain(..).count());
        for resting in self.resting.iter().filter(|resting| resting.endpoint == endpoint) {
            resting.is_closing.send_replace(true);
        }
    }

    /// Closes the connection that has been idle for the longest time. Returns false if none is idle.
    fn close_longest_idle(&mut self) -> bool {
        let with_idle = self.endpoints.values_mut().filter(|idle| !idle.connections.is_empty());
        let Some(longest) = with_idle.min_by_key(|idle| idle.connections[0].0) else { return false };
        longest.connections.remove(0);
        self.idle -= 1;
        true
    }

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
        if !self.is_full()
            && let Some(idle) = self.endpoints.get_mut(&endpoint).filter(|idle| idle.address == address)
        {
            idle.connections.push((Instant::now(), connection));
            self.idle += 1;
        }
    }
}
