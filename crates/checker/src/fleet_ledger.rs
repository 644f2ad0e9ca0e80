//! The ledger of a fleet's run: what the rig did, and what the processes reported; the parameters by which it
//! is judged, and breaches.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One line of a fleet's ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetEntry {
    /// Milliseconds since the start of the run, by the rig's clock.
    pub at: f64,
    /// What happened.
    pub event: FleetEvent,
}

/// What the rig did, measured, or received from a process of a fleet. Processes are named by number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetEvent {
    /// A process was started.
    Started(usize),
    /// A process ended, by a signal that it can or cannot handle.
    #[serde(rename = "Ended")]
    Exited(usize),
    /// A process was stopped, and can be resumed.
    #[serde(rename = "Stopped")]
    Paused(usize),
    /// A stopped process was resumed.
    #[serde(rename = "Woken")]
    Resumed(usize),
    /// One direction of a link was opened or cut.
    Link {
        /// The sending process.
        from: usize,
        /// The receiving process.
        to: usize,
        /// Whether packets and connections pass.
        open: bool,
    },
    /// The quality of the links changed. While it is degraded, failure detectors are not judged.
    #[serde(rename = "Weather")]
    LinkQuality {
        /// Whether there is loss, delay, or half-open connections.
        #[serde(rename = "rough")]
        degraded: bool,
    },
    /// Traffic over one direction of a link.
    #[serde(rename = "Carried")]
    Traffic {
        /// The sending process.
        from: usize,
        /// The receiving process.
        to: usize,
        /// Packets passed on.
        packets: u64,
        /// Packets lost.
        lost: u64,
        /// Connections passed on.
        #[serde(rename = "streams")]
        connections: u64,
    },
    /// The state folder of a process became full, or writable again.
    Disk {
        /// The process.
        #[serde(rename = "who")]
        process: usize,
        /// Whether the folder is full.
        full: bool,
    },
    /// A second process under the name of another was started or ended.
    #[serde(rename = "Twin")]
    Duplicate {
        /// The process whose name is duplicated.
        #[serde(rename = "who")]
        process: usize,
        /// Whether the second process runs.
        #[serde(rename = "lives")]
        running: bool,
    },
    /// The state folder of a process was found to hold this boot number.
    #[serde(rename = "Written")]
    BootStored {
        /// The process.
        #[serde(rename = "who")]
        process: usize,
        /// The boot number.
        boot: u64,
    },
    /// The first byte of a call reached an endpoint of a destination.
    Began {
        /// The calling process.
        from: usize,
        /// The destination.
        dest: u64,
    },
    /// A destination returned a wait to a process.
    #[serde(rename = "Waits")]
    WaitReturned {
        /// The process.
        #[serde(rename = "who")]
        process: usize,
        /// The destination.
        dest: u64,
        /// Duration of the wait (ms).
        #[serde(rename = "wait")]
        wait_ms: f64,
    },
    /// A destination went down for all processes, or came back with reduced capacity.
    Outage {
        /// The destination.
        dest: u64,
        /// Whether the outage is over.
        back: bool,
    },
    /// All processes were given another roster.
    Roster {
        /// Version of the roster.
        version: u64,
    },
    /// The limit that all processes share was set, for each destination.
    Limit {
        /// The limit (calls a second).
        #[serde(rename = "calls")]
        calls_per_sec: f64,
    },
    /// A process reported its state.
    #[serde(rename = "Told")]
    Claimed(Claim),
    /// A process reported that it holds a duty.
    #[serde(rename = "Holds")]
    DutyClaimed(DutyClaim),
    /// The second process under a name reported its state.
    #[serde(rename = "TwinTold")]
    DuplicateClaimed(Claim),
}

/// The state that a process reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Number of the process.
    #[serde(rename = "who")]
    pub process: usize,
    /// When the process read its state, and until when that holds if it receives nothing more (microseconds
    /// of a clock that all processes of the machine share).
    #[serde(rename = "span")]
    pub valid_us: [u64; 2],
    /// Membership state of the process.
    #[serde(rename = "standing")]
    pub membership_state: String,
    /// Whether the process may do what only one side of a partition may do.
    #[serde(rename = "acts")]
    pub may_act: bool,
    /// Whether the process accepts messages, sends messages, and is ready.
    pub serves: [bool; 3],
    /// Id of the process's view.
    pub view: String,
    /// Numbers of the voters.
    pub voters: Vec<usize>,
    /// Numbers of the members of the view.
    #[serde(rename = "there")]
    pub members: Vec<usize>,
    /// Health that the process believes each process to have, by number.
    pub states: Vec<String>,
    /// Number of senders among which the process divides what all share.
    pub senders: usize,
    /// Highest boot number that the process has received of each process, by number; 0 where it has received
    /// none.
    pub boots: Vec<u64>,
}

/// Time limits by which a fleet is judged.
#[derive(Clone, Copy, Debug)]
pub struct FleetParams {
    /// Time within which the death of a process is known to all connected processes, and after which no
    /// connected process is believed dead.
    pub detect_ms: f64,
    /// The same time for a process that is connected to at most half of the fleet: a process that receives
    /// nothing suspects itself first and probes more slowly.
    pub detect_minority_ms: f64,
    /// Time within which all connected processes hold one view, from when the deaths are known.
    pub agree_ms: f64,
    /// Minimum time between two changes of a view: a change is one step, without flapping.
    pub settle_ms: f64,
    /// Time after the end of a duplicate process during which what was received from it still counts.
    pub duplicate_expiry_ms: f64,
    /// Waits at least this long do not stem from a rate limit, and all processes obey them.
    pub long_wait_ms: f64,
    /// Time within which all processes know of a long wait.
    pub wait_spread_ms: f64,
    /// Number of duties, and the time (ms since the start of the run) from which on each must be claimed: all
    /// faults have ended by then.
    pub duties: (usize, f64),
    /// Parameters for judging destinations that were down.
    pub recovery: ColdStart,
    /// Allowance for the lateness of the rig's own clocks.
    pub clock_slack_ms: f64,
}

/// A property of a fleet that did not hold.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBreach {
    /// Time of the breach (ms since the start of the run).
    pub at: f64,
    /// Description of the breach.
    pub text: String,
}

impl fmt::Display for FleetBreach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {:.0} ms: {}", self.at, self.text)
    }
}

/// A process's statement that it holds a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyClaim {
    /// Number of the process.
    #[serde(rename = "who")]
    pub process: usize,
    /// Boot number of the process, added by the rig: a new start counts as another process.
    #[serde(rename = "life")]
    pub boot: usize,
    /// Name of the duty.
    pub duty: String,
    /// Fencing token under which the duty is held.
    pub token: u64,
    /// When the process read its state, and until when it holds the duty without a further renewal
    /// (microseconds of a clock that all processes of the machine share).
    #[serde(rename = "span")]
    pub valid_us: [u64; 2],
    /// Steps of progress so far.
    pub step: u64,
}

/// Parameters for judging a destination that was down.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time after which all processes know of an outage.
    #[serde(rename = "found")]
    pub detect_ms: f64,
    /// Share of its capacity that the destination has right after the outage.
    #[serde(rename = "start")]
    pub start_capacity: f64,
    /// Time after the outage at which the destination has its full capacity.
    #[serde(rename = "warm")]
    pub warm_up_ms: f64,
    /// Interval at which one process may probe the destination during the outage.
    #[serde(rename = "tries")]
    pub probe_interval_ms: f64,
    /// Allowance for the lateness of the rig's clocks.
    #[serde(rename = "late")]
    pub clock_slack_ms: f64,
}
