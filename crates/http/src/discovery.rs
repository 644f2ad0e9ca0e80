//! Keeps the endpoint list current with successive long-poll watches. The private module `schedule` decides
//! when to send the next request and for which version.
//!
//! A request that is late stays open while the next one is sent (`attempts`), and the list in any response is used
//! unless a newer one has been received (`list_age`).

mod list_age;
mod list_request;

use crate::attempts::{AttemptId, Attempts, EndedAttempt};
use crate::body_memory::BodyMemory;
use crate::connection::{Connection, RESPONSE_TIMEOUT};
use crate::listed::ListedAddresses;
use crate::schedule::{FailureKind, Schedule};
use list_age::ListAge;
use list_request::{ListRequest, ListResponse, WatchError};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::error::SendError;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use yarrowhill_engine::{EndpointList, Input};

/// Maximum number of open requests to a local agent, to which they cost nothing.
const MAX_OPEN_AT_AGENT: usize = 4;
/// Maximum number of open requests of one forwarder to a shared discovery service, which has to answer those of
/// all forwarders when it is available again.
const MAX_OPEN_AT_SHARED_SERVICE: usize = 2;

/// Parameters of the watch on the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct WatchConfig {
    /// Version of the list that is known at the start.
    pub version: u64,
    /// Number of forwarders that poll the same discovery service, this one included; `None` where a local
    /// agent receives pushed updates, which cost the service nothing.
    pub forwarders: Option<usize>,
    /// Seed of the random numbers that spread the requests.
    pub seed: u64,
    /// Maximum length of a list in bytes, and of all lists that are being received.
    pub max_list_bytes: usize,
}

/// Watches the endpoint list without end and passes each new list to the engine in the order received. Calls know
/// the addresses in it by `listed` before the engine does. When the address changes, the requests to the old
/// address are cancelled and the full list is requested from the new one, because the old service may have fallen
/// behind.
pub async fn watch(
    address: watch::Receiver<SocketAddr>,
    config: WatchConfig,
    listed: ListedAddresses,
    engine: Sender<Input>,
) {
    let mut watcher = Watcher::new(address, config, listed, engine);
    while watcher.step().await.is_ok() {}
}

/// The engine has ended.
#[derive(Debug)]
struct EngineEnded;

impl From<SendError<Input>> for EngineEnded {
    fn from(_: SendError<Input>) -> Self {
        EngineEnded
    }
}

/// The newest request, until its response is late.
#[derive(Debug)]
struct CurrentRequest {
    id: AttemptId,
    sent_at: Instant,
    timeout: Duration,
    begun_at: watch::Receiver<Option<Instant>>,
}

impl CurrentRequest {
    /// Returns when the response is late: it has not begun in time, or is not complete soon after its begin.
    async fn late(&mut self) {
        let begun_at = async {
            let begun_at = self.begun_at.wait_for(Option::is_some).await;
            begun_at.ok().and_then(|at| *at)
        };
        tokio::select! {
            () = sleep_until(self.sent_at + self.timeout) => {}
            Some(begun_at) = begun_at => sleep_until(begun_at + RESPONSE_TIMEOUT).await,
        }
    }
}

/// What the watch waits for.
#[derive(Debug)]
enum Event {
    /// Discovery has another address.
    Moved,
    /// A request has ended.
    Ended(Box<EndedAttempt<ListResponse>>),
    /// The response to the current request is late.
    Late,
    /// The next request is due.
    Due,
}

/// State of the watch on the endpoint list.
#[derive(Debug)]
struct Watcher {
    address: watch::Receiver<SocketAddr>,
    listed: ListedAddresses,
    engine: Sender<Input>,
    schedule: Schedule<ChaCha8Rng>,
    /// Version of the list in force; `None` if it is from another address of discovery.
    known_version: Option<u64>,
    /// When discovery last returned the list in force or a newer one; before that, the start.
    confirmed_at: Instant,
    requests: Attempts<ListResponse>,
    current: Option<CurrentRequest>,
    /// When the next request is sent.
    next_at: Option<Instant>,
    /// Connection for the next request.
    idle: Option<Connection>,
    max_list_bytes: usize,
    /// Memory for the lists that are being received.
    lists: Arc<BodyMemory>,
}

impl Watcher {
    fn new(
        address: watch::Receiver<SocketAddr>,
        config: WatchConfig,
        listed: ListedAddresses,
        engine: Sender<Input>,
    ) -> Self {
        let WatchConfig { version, forwarders, seed, max_list_bytes } = config;
        let mut schedule = Schedule::new(forwarders, version, ChaCha8Rng::seed_from_u64(seed));
        let max_open = if forwarders.is_some() { MAX_OPEN_AT_SHARED_SERVICE } else { MAX_OPEN_AT_AGENT };
        let now = Instant::now();
        let next_at = Some(now + schedule.initial_delay());
        Watcher {
            address,
            listed,
            engine,
            schedule,
            known_version: Some(version),
            confirmed_at: now,
            requests: Attempts::new(max_open),
            current: None,
            next_at,
            idle: None,
            max_list_bytes,
            lists: BodyMemory::new(max_list_bytes),
        }
    }

    /// Waits for the next event and handles it.
    async fn step(&mut self) -> Result<(), EngineEnded> {
        match self.next_event().await {
            Event::Moved => self.move_to_new_address().await?,
            Event::Ended(ended) => self.ended(*ended).await?,
            Event::Late => self.late(),
            Event::Due => self.send_request(),
        }
        Ok(())
    }

    async fn next_event(&mut self) -> Event {
        tokio::select! {
            biased;
            Ok(()) = self.address.changed() => Event::Moved,
            ended = self.requests.next_ended() => Event::Ended(Box::new(ended)),
            Some(()) = late(&mut self.current) => Event::Late,
            Some(()) = due(self.next_at) => Event::Due,
        }
    }

    async fn move_to_new_address(&mut self) -> Result<(), EngineEnded> {
        self.forget_versions();
        self.schedule.address_changed();
        self.next_at = Some(Instant::now());
        Ok(self.engine.send(Input::DiscoveryMoved).await?)
    }

    fn send_request(&mut self) {
        let to = *self.address.borrow_and_update();
        let request = self.schedule.next_request();
        tracing::debug!(%to, ask = ?request, "asks discovery");
        let (begin, begun_at) = watch::channel(None);
        let list_request = ListRequest {
            to,
            request,
            known_version: self.known_version,
            idle: self.idle.take(),
            max_list_bytes: self.max_list_bytes,
            lists: self.lists.clone(),
            begun_at: begin,
        };
        let id = self.requests.start(list_request.run());
        self.current =
            Some(CurrentRequest { id, sent_at: Instant::now(), timeout: request.timeout, begun_at });
        self.next_at = None;
    }

    /// The current request stays open, and another one follows.
    fn late(&mut self) {
        let Some(CurrentRequest { sent_at, .. }) = self.current.take() else { return };
        let elapsed = sent_at.elapsed();
        let to = *self.address.borrow();
        let (open, unconfirmed) = (self.requests.open_count(), self.confirmed_at.elapsed());
        tracing::warn!(
            "discovery request to {to} is late: no complete response within {elapsed:.1?}; {open} requests are \
             open, the list in force was confirmed {unconfirmed:.1?} ago"
        );
        self.schedule_after_failure(FailureKind::Unavailable, elapsed);
    }

    fn schedule_after_failure(&mut self, kind: FailureKind, elapsed: Duration) {
        let delay = self.schedule.failed(kind, elapsed);
        self.next_at = Some(Instant::now() + delay);
    }

    async fn ended(&mut self, ended: EndedAttempt<ListResponse>) -> Result<(), EngineEnded> {
        let EndedAttempt { id, started_at, output } = ended;
        let is_current = self.current.take_if(|current| current.id == id).is_some();
        let ListResponse { to, known_version, is_reused, connection, list } = output;
        let elapsed = started_at.elapsed();
        let result = list.and_then(|list| self.classify(list, known_version, is_reused));
        match result {
            Ok((age, list)) => {
                self.requests.answered(elapsed);
                if !is_current {
                    tracing::warn!(
                        "discovery request to {to} was answered after {elapsed:.1?}, behind a later request: list {} \
                         ({age:?})",
                        list.version
                    );
                }
                self.apply(age, list).await?;
                self.continue_watch(is_current, connection);
            }
            Err(e) => {
                tracing::warn!("discovery request to {to} failed: {e}");
                let are_versions_lost = matches!(e, WatchError::VersionsLost(_));
                if are_versions_lost {
                    self.forget_versions();
                }
                // Otherwise another request has been sent since, or is due.
                if is_current || are_versions_lost {
                    // After a response with an error status the connection is still usable.
                    self.idle = connection.filter(|_| matches!(e, WatchError::Status(_)));
                    self.schedule_after_failure(e.kind(), elapsed);
                }
            }
        }
        Ok(())
    }

    /// Returns a list with its age, or why it cannot be used.
    fn classify(
        &self,
        list: EndpointList,
        known_at_request: Option<u64>,
        is_reused: bool,
    ) -> Result<(ListAge, EndpointList), WatchError> {
        match ListAge::new(list.version, self.known_version, known_at_request, is_reused) {
            ListAge::Copy => Err(WatchError::Copy(list.version)),
            // Changes since a version that discovery does not know.
            ListAge::VersionsLost if !list.is_full => Err(WatchError::VersionsLost(list.version)),
            age => Ok((age, list)),
        }
    }

    /// Gives up the open requests: their responses may be from before discovery lost versions or moved.
    fn forget_versions(&mut self) {
        self.requests.give_up_all();
        (self.current, self.idle, self.known_version) = (None, None, None);
    }

    /// Passes a list on unless it is outdated.
    async fn apply(&mut self, age: ListAge, list: EndpointList) -> Result<(), EngineEnded> {
        tracing::debug!(rev = list.version, all = list.is_full, lines = ?list.endpoints, ?age, "list");
        if age == ListAge::Outdated {
            return Ok(());
        }
        if age == ListAge::VersionsLost {
            self.forget_versions();
        }
        self.known_version = Some(list.version);
        self.confirmed_at = Instant::now();
        self.listed.apply(&list);
        Ok(self.engine.send(Input::List(list)).await?)
    }

    /// Continues the watch after a response, on its connection, unless a request that continues it is open or due.
    fn continue_watch(&mut self, is_current: bool, connection: Option<Connection>) {
        let Some(version) = self.known_version else { return };
        let has_request = self.current.is_some() || self.next_at.is_some();
        if self.schedule.is_watching() && has_request && !is_current {
            self.schedule.received(version);
            return;
        }
        self.schedule.succeeded(version);
        self.current = None;
        self.idle = connection;
        self.next_at = Some(Instant::now());
    }
}

/// Returns when the response to the current request is late, or at once if there is no such request.
async fn late(current: &mut Option<CurrentRequest>) -> Option<()> {
    current.as_mut()?.late().await;
    Some(())
}

/// Returns at a time, or at once if there is none.
async fn due(at: Option<Instant>) -> Option<()> {
    sleep_until(at?).await;
    Some(())
}
