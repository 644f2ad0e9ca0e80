//! Access to a running member for the rest of the process.

use crate::clock;
use crate::document::Document;
use crate::status::{DutiesStatus, KnowledgeStatus, LimitsStatus, Status};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use yarrowhill_duties::{
    self as duties, Duties, HeldDuty, OperatorRequest, OperatorRequestError, Reason, StepError, VoterSet,
};
use yarrowhill_knowledge::{Admission, CallOutcome, InitialSync, OutageDetector, WaitTable};
use yarrowhill_membership::{MemberId, Membership, MembershipState, Micros, Permits, Roster, RosterError};
use yarrowhill_rights::{SharedLimits, retry_limit_id};

/// Maximum number of duty events in the history.
const MAX_HISTORY: usize = 64;

/// The state of a [`Node`](crate::Node) that its task and the rest of the process share.
pub(crate) struct Shared {
    pub(crate) core: Mutex<Membership>,
    pub(crate) limits: Mutex<SharedLimits>,
    pub(crate) waits: Mutex<WaitTable>,
    pub(crate) outages: Mutex<OutageDetector>,
    pub(crate) duties: Mutex<Duties>,
    /// Recent duty events by duty ID, oldest first.
    pub(crate) history: Mutex<VecDeque<(u64, String)>>,
    /// Whether outages are shared with other members and recorded.
    pub(crate) share_outages: bool,
    /// Requests a snapshot from other members until one has arrived completely.
    pub(crate) initial_sync: Mutex<InitialSync>,
    pub(crate) addresses: Mutex<BTreeMap<MemberId, SocketAddr>>,
    /// Wakes the node's task, because there is something to send or a timer has changed.
    pub(crate) wake: Notify,
    pub(crate) senders: watch::Sender<usize>,
    /// Number of malformed packets.
    pub(crate) malformed: AtomicU64,
    /// Number of packets that did not come from the address of their sender, and of connections that came
    /// from unknown hosts or exceeded the maximum.
    pub(crate) unknown_senders: AtomicU64,
}

/// Access to a [`Node`](crate::Node) for the rest of the process.
#[derive(Clone)]
pub struct Handle(pub(crate) Arc<Shared>);

impl Handle {
    pub(crate) fn core(&self) -> MutexGuard<'_, Membership> {
        self.0.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what this process may do now, by the clock read in this call. Call it as the last step before
    /// sending: a process that was stopped since its last input then gets the permits of one whose state is
    /// not known.
    pub fn permits(&self) -> Permits {
        self.core().permits(clock::now())
    }

    pub(crate) fn shared_limits(&self) -> MutexGuard<'_, SharedLimits> {
        self.0.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn waits(&self) -> MutexGuard<'_, WaitTable> {
        self.0.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn initial_sync(&self) -> MutexGuard<'_, InitialSync> {
        self.0.initial_sync.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn outages(&self) -> MutexGuard<'_, OutageDetector> {
        self.0.outages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether a call to a destination may begin now, by the waits that the destination returned to
    /// any member, by the outages that members found, and by the shared limits. Call it as the last step
    /// before the first byte. `is_retry`: every message in the call has been attempted before.
    /// `was_deferred`: this call was deferred before.
    ///
    /// # Errors
    ///
    /// The call must be deferred; the error is the delay after which to ask again.
    pub fn begin(&self, dest: u64, is_retry: bool, was_deferred: bool) -> Result<(), Duration> {
        let now = clock::now();
        let limits = [dest, retry_limit_id(dest)];
        let limits = &limits[..1 + usize::from(is_retry)];
        let wait = self.waits().wait(now, dest);
        let admission = match wait {
            Some(wait) => Admission::Defer(wait),
            None if self.0.share_outages => self.outages().admit(now, dest),
            None => Admission::Fraction(1.0),
        };
        let fraction = match admission {
            Admission::Fraction(fraction) => fraction,
            Admission::Probe => 1.0,
            Admission::Defer(wait) => {
                if !was_deferred {
                    self.shared_limits().record_demand(now, limits);
                }
                return Err(Duration::from_micros(wait));
            }
        };
        let begun = self.shared_limits().try_begin(now, limits, fraction, was_deferred);
        if begun.is_err() {
            if admission == Admission::Probe {
                self.outages().cancel_probe(dest);
            }
            if !was_deferred {
                self.0.wake.notify_one();
            }
        }
        begun.map_err(Duration::from_micros)
    }

    /// Records that a destination asked this forwarder to wait for `duration`.
    pub fn record_wait(&self, dest: u64, duration: Duration) {
        let (now, duration) = (clock::now(), Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX));
        self.waits().record_wait(now, dest, duration);
        if self.0.share_outages {
            self.outages().record_shutdown(now, dest, now.saturating_add(duration));
        }
        self.0.wake.notify_one();
    }

    /// Records the outcome of a call that began `took` ago and has just ended.
    pub fn record_call_end(&self, dest: u64, took: Duration, outcome: CallOutcome) {
        let now = clock::now();
        let began = now.saturating_sub(Micros::try_from(took.as_micros()).unwrap_or(Micros::MAX));
        if outcome == CallOutcome::Served {
            self.waits().record_success(now, dest, began);
        }
        if self.0.share_outages {
            let mut outages = self.outages();
            outages.record_call_end(now, dest, began, outcome);
            let has_updates = outages.has_updates(now);
            drop(outages);
            // Without updates there is nothing to send.
            if has_updates {
                self.0.wake.notify_one();
            }
        }
    }

    pub(crate) fn duties(&self) -> MutexGuard<'_, Duties> {
        self.0.duties.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a duty if this process holds it now, by the clock read in this call. Call it again as the last
    /// step before each act under the duty. Returns `None` while another process runs under the same member
    /// name, and once this member is leaving.
    pub fn held_duty(&self, name: &str) -> Option<HeldDuty> {
        let now = clock::now();
        if matches!(self.core().state(now), MembershipState::DuplicateName | MembershipState::Leaving) {
            return None;
        }
        self.duties().held(now, duties::Duty::new(name).id())
    }

    /// Returns whether an act of the given duration may begin now under a held duty.
    pub fn may_act(&self, held: &HeldDuty, duration: Duration) -> bool {
        held.may_act(clock::now(), Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX))
    }

    /// Records the progress made under a held duty as its next step, and returns the step's number.
    ///
    /// # Errors
    ///
    /// The duty is no longer held under that token, the previous step is not decided yet, or `progress` is
    /// too long.
    pub fn record_step(&self, held: &HeldDuty, progress: Vec<u8>) -> Result<u64, StepError> {
        let step = self.duties().record_step(clock::now(), held, progress);
        self.0.wake.notify_one();
        step
    }

    /// Carries out an operator's request about a duty.
    ///
    /// # Errors
    ///
    /// There is no such duty, it has no holder, or the member is not present.
    pub fn operator_request(&self, duty: &str, request: OperatorRequest) -> Result<(), OperatorRequestError> {
        let result = self.duties().operator_request(clock::now(), duty, request);
        self.0.wake.notify_one();
        result
    }

    /// Reports the duties as this member knows them.
    pub fn duties_status(&self) -> DutiesStatus {
        let (roster, now) = (self.roster(), clock::now());
        let history = self.0.history.lock().unwrap_or_else(PoisonError::into_inner);
        let history: Vec<(u64, String)> = history.iter().cloned().collect();
        DutiesStatus::new(&self.duties(), now, &roster, &history)
    }

    /// Reports the waits and outages of destinations as this member knows them.
    pub fn knowledge_status(&self) -> KnowledgeStatus {
        let (roster, now) = (self.roster(), clock::now());
        let is_syncing = self.initial_sync().is_pending(now);
        KnowledgeStatus::new(&self.waits(), &self.outages(), now, &roster, is_syncing)
    }

    /// Reports the shared limits as this member knows them.
    pub fn limits_status(&self) -> LimitsStatus {
        let roster = self.roster();
        let shared_limits = self.shared_limits();
        LimitsStatus::new(&shared_limits, clock::now(), &roster)
    }

    /// Reports the membership as this member knows it.
    pub fn status(&self) -> Status {
        let dropped =
            [self.0.malformed.load(Ordering::Relaxed), self.0.unknown_senders.load(Ordering::Relaxed)];
        Status::new(&self.core(), clock::now(), dropped)
    }

    /// Returns a channel with the number of senders that shared limits are divided among.
    pub fn senders(&self) -> watch::Receiver<usize> {
        self.0.senders.subscribe()
    }

    /// Applies another fleet document, with a roster that may succeed the current one, or with the same
    /// roster and other addresses or limits.
    ///
    /// # Errors
    ///
    /// The roster may not succeed the current one, or lacks this member; nothing is changed then.
    pub fn apply_document(&self, document: Document) -> Result<(), RosterError> {
        let mut core = self.core();
        if document.roster.reference() != core.roster().reference() {
            core.change_roster(clock::now(), document.roster)?;
        }
        self.shared_limits().set_limits(clock::now(), core.roster().len(), &document.limits);
        self.duties().set_voters(clock::now(), voter_set(core.roster()));
        *self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner) = document.addresses;
        self.0.wake.notify_one();
        Ok(())
    }

    /// Announces to the other members that this process is shutting down, and releases its duties.
    pub fn leave(&self) {
        self.core().leave(clock::now());
        self.duties().release_all(clock::now(), Reason::Leaving);
        self.0.wake.notify_one();
    }

    /// Returns the roster in force.
    pub fn roster(&self) -> Roster {
        self.core().roster().clone()
    }

    /// Logs a change of a duty and adds it to the history.
    pub(crate) fn log_duty_event(&self, event: &duties::Event) {
        let name = |id: u64| {
            let duties = self.duties();
            duties
                .duties()
                .find(|(other, _)| *other == id)
                .map_or("?".to_owned(), |(_, duty)| duty.name.clone())
        };
        let (duty, text) = match *event {
            duties::Event::Acquired { duty, token, step } => {
                (duty, format!("acquired under token {token} after {step} steps"))
            }
            duties::Event::Expired { duty, token } => {
                (duty, format!("lost under token {token}: lease expired"))
            }
            duties::Event::Released { duty, token, reason } => {
                (duty, format!("released under token {token}: {reason:?}"))
            }
            duties::Event::StepDecided { .. } => return,
            duties::Event::VotingStarted => return tracing::info!("duties: this member votes"),
            duties::Event::VotingSuspended => {
                return tracing::warn!(
                    "duties: this member may have lost promises and does not vote until it has recovered"
                );
            }
        };
        tracing::info!(duty = name(duty), "duties: {text}");
        let mut history = self.0.history.lock().unwrap_or_else(PoisonError::into_inner);
        if history.len() >= MAX_HISTORY {
            history.pop_front();
        }
        history.push_back((duty, text));
    }

    pub(crate) fn address(&self, id: MemberId) -> Option<SocketAddr> {
        self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner).get(&id).copied()
    }

    pub(crate) fn member_at(&self, from: SocketAddr) -> Option<MemberId> {
        let addresses = self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.iter().find(|(_, a)| **a == from).map(|(id, _)| *id)
    }

    pub(crate) fn is_member_host(&self, from: SocketAddr) -> bool {
        let addresses = self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.values().any(|a| a.ip() == from.ip())
    }
}

/// Returns the voters for duties: those of the roster, and of the previous one where the roster is joint.
pub(crate) fn voter_set(roster: &Roster) -> VoterSet {
    let ids = |ids: Vec<MemberId>| ids.into_iter().map(|id| id.0).collect();
    let (current, previous) = roster.electorate();
    VoterSet { current: ids(current), previous: previous.map(ids) }
}
