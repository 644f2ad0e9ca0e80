//! The interface through which calls leave the engine.

use crate::call::Call;
use crate::input::Input;
use std::net::SocketAddr;
use tokio::sync::mpsc::Sender;
use yarrowhill_policy::api::EndpointId;

/// Makes calls to endpoints, and keeps connections to them.
///
/// A transport never sends a request twice on its own, and reports the end of every attempt of every call
/// exactly once.
pub trait Transport {
    /// Starts a call, and reports the ends of its attempts as [`Input::CallUpdate`].
    fn start_call(&mut self, call: Call, results: Sender<Input>);

    /// Sets the address to which idle connections to an endpoint may be kept, or forbids them. Idle
    /// connections to another address are closed.
    fn set_endpoint_address(&mut self, endpoint: EndpointId, address: Option<SocketAddr>);

    /// Closes the idle connections to an endpoint.
    fn close_idle(&mut self, endpoint: EndpointId);

    /// Closes idle connections that are too old or broken. Called once a turn.
    fn prune_idle(&mut self);
}
