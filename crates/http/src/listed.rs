//! Which destinations have an endpoint at an address, by the newest list that has been received.
//!
//! The engine applies a list in its next turn. A call that it decided on before may be written until then, and
//! the address of an endpoint that is gone may belong to another destination's endpoint by now.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use yarrowhill_engine::{EndpointInfo, EndpointList, EndpointState};

/// The listed addresses; clones share them.
#[derive(Clone, Debug)]
pub struct ListedAddresses(Arc<Mutex<EndpointsByAddress>>);

type EndpointsByAddress = HashMap<SocketAddr, Vec<ListedEndpoint>>;

/// An endpoint that is not gone.
#[derive(Debug)]
struct ListedEndpoint {
    uid: String,
    dest: u64,
}

impl ListedAddresses {
    /// Creates the addresses of a list.
    pub fn new(list: &EndpointList) -> Self {
        let listed = ListedAddresses(Arc::default());
        listed.apply(list);
        listed
    }

    /// Applies a list, or changes to it.
    pub(crate) fn apply(&self, list: &EndpointList) {
        let mut addresses = self.lock();
        if list.is_full {
            addresses.clear();
        }
        for EndpointInfo { uid, address, dest, state, .. } in &list.endpoints {
            let endpoints = addresses.entry(*address).or_default();
            endpoints.retain(|endpoint| endpoint.uid != *uid);
            if *state != EndpointState::Terminated {
                endpoints.push(ListedEndpoint { uid: uid.clone(), dest: *dest });
            }
            if endpoints.is_empty() {
                addresses.remove(address);
            }
        }
    }

    /// Returns whether the destination has an endpoint at the address.
    pub(crate) fn contains(&self, address: SocketAddr, dest: u64) -> bool {
        let addresses = self.lock();
        addresses
            .get(&address)
            .is_some_and(|endpoints| endpoints.iter().any(|endpoint| endpoint.dest == dest))
    }

    fn lock(&self) -> MutexGuard<'_, EndpointsByAddress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
