//! How calls leave the engine.

use crate::call::Call;
use crate::input::Input;
use std::net::SocketAddr;
use tokio::sync::mpsc::Sender;
use yarrowhill_policy::api::EndpointId;

/// Carries calls to endpoints, and keeps connections to them.
///
/// A transport never sends a request twice by itself, and tells the end of every attempt of every call, once.
pub trait Transport {
    /// Makes a call and tells of its ends as [`Input::CallUpdate`].
    fn start_call(&mut self, call: Call, results: Sender<Input>);

    /// From now on idle connections to an endpoint may be kept to this address, or none at all. Those to
    /// another address are closed.
    fn set_endpoint_address(&mut self, endpoint: EndpointId, address: Option<SocketAddr>);

    /// Closes the idle connections to an endpoint.
    fn close_idle(&mut self, endpoint: EndpointId);

    /// Lets go of idle connections that are too old or broken; called once a turn.
    fn prune_idle(&mut self);
}
