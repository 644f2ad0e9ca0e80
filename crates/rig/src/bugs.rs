//! Planted bugs (mutation testing). Each is a small patch kept with the rig, so that the product's sources
//! contain no trace of it. Clean runs are evidence only if the rig catches each of these bugs.

use crate::fleet::{FleetAct, FleetScene, Sharing, StateFolder, outage_scenes};
use crate::load::Load;
use crate::script::{Act, Dest, Script};
use yarrowhill_standins::Faults;

macro_rules! bugs {
    ($($(#[$doc:meta])* $variant:ident = $text:literal,)*) => {
        /// A bug that can be planted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Bug { $($(#[$doc])* $variant,)* }

        impl Bug {
            /// All planted bugs.
            pub const ALL: &[Bug] = &[$(Bug::$variant,)*];

            /// Returns the name, which is also the file name of the patch.
            pub fn name(self) -> &'static str {
                match self { $(Bug::$variant => $text,)* }
            }

            /// Returns the patch that plants the bug: a unified diff against the root of the workspace.
            pub fn patch(self) -> &'static str {
                match self { $(Bug::$variant => include_str!(concat!("../bugs/", $text, ".patch")),)* }
            }
        }
    };
}

bugs! {
    /// An answer is accepted after the deadline of a message in the call.
    AcceptLateAnswer = "believe-an-answer-after-its-time",
    /// Anything received on a connection counts as a delivery, even a duplicate or the rest of another
    /// answer.
    AcceptDuplicateAnswer = "believe-a-second-copy",
    /// Calls start and clients are answered before the journal is written, which happens one turn late.
    SendBeforeJournal = "send-before-the-journal",
    /// Attempts found in the journal at replay are forgotten.
    ForgetAttempt = "forget-an-attempt-at-replay",
    /// Waits returned by destinations are not passed to the decision module.
    IgnoreWait = "ignore-a-wait",
    /// A connection that broke after the call was written counts as one that never came up.
    ResetNeverRan = "take-a-reset-for-no-connection",
    /// A malformed answer counts as a call that never ran.
    MalformedNeverRan = "take-a-spoilt-answer-for-never-ran",
    /// A notice is sent once, acknowledged or not, and forgotten.
    SendNoticeOnce = "send-a-notice-once",
    /// Draining endpoints are still called.
    CallDrainingEndpoint = "call-a-draining-endpoint",
    /// An id that is submitted again becomes a second message.
    AcceptDuplicateId = "take-an-id-twice",
    /// Owed notices are forgotten at replay.
    ForgetOwedNotice = "forget-an-owed-notice-at-replay",
    /// Deferred messages of a batch count as delivered.
    DeferredDelivered = "take-deferred-for-accepted",
    /// A message that may have run is returned to the client for another try.
    ReturnPossiblyRun = "hand-back-what-may-have-run",
    /// Failures are not passed to the decision module, so that it detects no outage.
    HideFailures = "hide-failures-from-the-module",
    /// The last record of every turn is not written.
    LoseLastRecord = "lose-the-last-record-of-a-turn",
    /// Beyond 4,096 remembered ends of messages, a further one is dropped.
    DropEnd = "drop-an-end-when-full",
    /// Of two updates about a member the one with the worse health wins, even with an older incarnation.
    AcceptOldIncarnation = "believe-an-old-incarnation",
    /// Members that are considered dead count as present.
    CountDeadAsPresent = "count-the-dead-as-there",
    /// Every observed state becomes the view at once, whether it is stable or not.
    PublishUnsettledView = "let-a-flicker-through",
    /// Half of the voters, rounded down, counts as a majority.
    AcceptHalfAsMajority = "take-half-for-a-majority",
    /// Support does not expire, and a process does not notice that it was paused.
    IgnorePause = "wake-without-looking",
    /// Packets are sent under a new boot number before it is on disk.
    SendBeforeBootStored = "speak-before-the-boot-is-on-disk",
    /// The lender keeps using the share that it has lent.
    UseLentShare = "use-what-is-lent",
    /// A restarted process uses its full share at once, although an earlier process may have lent it.
    ForgetLoans = "forget-promises-at-a-start",
    /// A coordinator counts a loan from its arrival instead of from its question for it.
    LoanFromArrival = "count-a-promise-from-its-arrival",
    /// A borrower counts a grant from its arrival instead of from the request for it.
    GrantFromArrival = "count-a-grant-from-its-arrival",
    /// A wait that a destination returned to another member delays no calls.
    IgnoreSharedWaits = "call-during-a-wait-of-others",
    /// During an outage every member probes the destination in each turn, instead of one member.
    ProbeFromAll = "try-all-at-once",
    /// A destination that has recovered is called at the full rate without a warm-up.
    RecoverIndependently = "come-back-each-for-itself",
    /// A holder counts its lease from the arrival of a majority's answers instead of from its request.
    LeaseFromArrival = "count-a-lease-from-its-arrival",
    /// A holder that was paused continues after its lease has expired.
    ActAfterLease = "act-after-the-lease",
}

/// What is played to show a bug.
#[derive(Clone, Debug)]
pub enum Scene {
    /// A script.
    Script(Script),
    /// A generated load.
    Load(Load),
    /// A chaos scene over a fleet of several processes.
    Fleet(FleetScene),
}

impl Bug {
    /// Returns the bug with this name.
    pub fn named(name: &str) -> Option<Self> {
        Bug::ALL.iter().copied().find(|bug| bug.name() == name)
    }

    /// Returns whether the bug is in a package without I/O: then `attack` must catch it too, without any
    /// process. This excludes [`Bug::IgnoreSharedWaits`], as only the gate enforces the waits that other
    /// members report.
    pub fn is_in_io_free_package(self) -> bool {
        self.is_in_outages()
            || self.is_in_duties()
            || (self.fleet_scene().is_some() && self != Bug::IgnoreSharedWaits)
    }

    /// Returns whether the bug concerns shared limits, so that `attack rights` must catch it too.
    pub fn is_in_rights(self) -> bool {
        use Bug::{ForgetLoans, GrantFromArrival, LoanFromArrival, UseLentShare};
        matches!(self, UseLentShare | ForgetLoans | LoanFromArrival | GrantFromArrival)
    }

    /// Returns whether the bug concerns outages and recoveries, so that `attack returns` must catch it too.
    pub fn is_in_outages(self) -> bool {
        matches!(self, Bug::ProbeFromAll | Bug::RecoverIndependently)
    }

    /// Returns whether the bug concerns duties, so that `attack duties` must catch it too.
    pub fn is_in_duties(self) -> bool {
        matches!(self, Bug::LeaseFromArrival | Bug::ActAfterLease)
    }

    /// Returns the fleet scene that must show a bug of duties.
    fn duty_scene(self) -> Option<FleetScene> {
        use FleetAct::{Islands, Stall, Weather};
        let slow_links = crate::fleet::LinkQuality { delay_ms: 120.0, ..Default::default() };
        let acts: Vec<_> = match self {
            // Cuts off each process in turn, and so the holders, while each direction takes a quarter of a
            // lease.
            Bug::LeaseFromArrival => {
                let cut = |n: usize| Islands((0..3).map(|m| usize::from(m == n)).collect());
                let cuts = (0..9).map(|n| (6000.0 + 2500.0 * n as f64, cut(n % 3)));
                std::iter::once((500.0, Weather(slow_links))).chain(cuts).collect()
            }
            Bug::ActAfterLease => {
                (0..6).map(|n| (4000.0 + 3500.0 * n as f64, Stall(n % 3, 2000.0))).collect()
            }
            _ => return None,
        };
        Some(FleetScene { duties: 3, rate: 4.0, ..FleetScene::new(self.name(), 3, acts) })
    }

    /// Returns the fleet scene that must show a bug of shared limits: four processes lend to a busy one, and
    /// then the traffic moves to them.
    fn limit_scene(self) -> Option<FleetScene> {
        use FleetAct::{Busy, Kill, Start, Weather};
        let slow_links = crate::fleet::LinkQuality { delay_ms: 500.0, ..Default::default() };
        let acts = match self {
            Bug::UseLentShare => {
                (0..10).map(|n| (4000.0 + 700.0 * f64::from(n), Busy(n as usize % 2))).collect()
            }
            Bug::ForgetLoans => {
                let kills = (1..5).map(|n| (5000.0, Kill(n)));
                let starts = (1..5).map(|n| (5100.0, Start(n, StateFolder::Kept)));
                kills.chain(starts).chain([(5000.0, Busy(1))]).collect()
            }
            // Each direction delays by half the validity of a grant.
            Bug::LoanFromArrival | Bug::GrantFromArrival => {
                let moves = (0..10).map(|n| (5000.0 + 900.0 * f64::from(n), Busy(n as usize % 2)));
                [(500.0, Weather(slow_links))].into_iter().chain(moves).collect()
            }
            _ => return None,
        };
        let mut scene = FleetScene::new(self.name(), 5, acts);
        // A long period makes grants long, so that a wrong use of them lasts longer.
        scene.period_ms = 1000;
        (scene.limit, scene.busy_share, scene.rate) = (Some((60.0, Sharing::Rights)), Some(0.9), 30.0);
        scene.end_ms = 18_000.0;
        Some(scene)
    }

    /// Returns the fleet scene that must show a bug of membership, waits or shared limits.
    fn fleet_scene(self) -> Option<FleetScene> {
        use FleetAct::{Heal, Islands, Kill, Shut, Stall, Start};
        let cut = |islands: [usize; 3]| Islands(islands.to_vec());
        let acts = match self {
            // Considered dead, then restarted.
            Bug::AcceptOldIncarnation => {
                vec![(300.0, Kill(1)), (4000.0, Start(1, StateFolder::Kept))]
            }
            Bug::CountDeadAsPresent => vec![(300.0, Kill(1)), (9000.0, Start(1, StateFolder::Kept))],
            // The links change three times within 2 ms.
            Bug::PublishUnsettledView => vec![
                (300.0, cut([0, 1, 2])),
                (5000.0, FleetAct::Cut(0, 1)),
                (6000.0, Heal),
                (6001.0, cut([0, 0, 1])),
                (6002.0, Heal),
            ],
            Bug::AcceptHalfAsMajority => vec![(300.0, cut([0, 1, 1])), (8000.0, Heal)],
            // Paused while it is in the majority, and resumed on the minority side of a cut.
            Bug::IgnorePause => {
                vec![(1500.0, Stall(0, 8000.0)), (1600.0, cut([0, 1, 1])), (14_000.0, Heal)]
            }
            // The boot number in the state folder is lower than the one that the other members remember.
            Bug::SendBeforeBootStored => vec![
                (300.0, Kill(1)),
                (1500.0, Start(1, StateFolder::Kept)),
                (4000.0, Kill(1)),
                (4100.0, cut([0, 1, 0])),
                (4200.0, Start(1, StateFolder::Emptied)),
                (5600.0, FleetAct::Disk(1, true)),
                (5700.0, Heal),
                (9000.0, FleetAct::Disk(1, false)),
            ],
            Bug::IgnoreSharedWaits => vec![(2000.0, Shut(0, 0, 6000.0))],
            _ => return self.limit_scene(),
        };
        Some(FleetScene::new(self.name(), 3, acts))
    }

    /// Returns what is played for this bug: a run whose only faults are those that the bug mishandles, placed
    /// where it must show. The seed varies traffic and timing.
    pub fn scene(self, seed: u64) -> Scene {
        if let Some(scene) = self.duty_scene() {
            return Scene::Fleet(FleetScene { seed, ..scene });
        }
        if self.is_in_outages()
            && let Some(scene) = outage_scenes().into_iter().next()
        {
            return Scene::Fleet(FleetScene { seed, name: self.name().to_owned(), ..scene });
        }
        if let Some(scene) = self.fleet_scene() {
            return Scene::Fleet(FleetScene { seed, ..scene });
        }
        let dest = |number, batches, calls_per_sec, faults| Dest {
            number,
            batches,
            endpoints: 2,
            call_ms: 30.0,
            calls_per_sec,
            faults,
        };
        let both_with =
            |faults: Faults| vec![dest(10, true, 60.0, faults.clone()), dest(11, false, 60.0, faults)];
        let no_faults = Faults::default();
        let down = |at, shut, duration_ms| (at, Act::Down { dest: 0, shut, duration_ms });
        let kill = |at, pause| (at, Act::Kill(pause));
        let (dests, acts) = match self {
            Bug::AcceptLateAnswer => {
                (both_with(Faults { just_in_time: 0.2, late: 0.1, ..no_faults }), vec![])
            }
            Bug::AcceptDuplicateAnswer => {
                (both_with(Faults { duplicate: 0.2, malformed: 0.2, reset: 0.1, ..no_faults }), vec![])
            }
            Bug::SendBeforeJournal => (both_with(no_faults), vec![kill(900.0, 100.0), kill(1900.0, 100.0)]),
            // Calls that get no answer are in flight when the process is killed.
            Bug::ForgetAttempt => (both_with(Faults { silent: 0.3, ..no_faults }), vec![kill(1500.0, 100.0)]),
            // A closed destination returns a wait until it opens.
            Bug::IgnoreWait => {
                let other = (1700.0, Act::Down { dest: 1, shut: true, duration_ms: 1200.0 });
                (both_with(no_faults), vec![down(400.0, true, 1200.0), other])
            }
            Bug::ResetNeverRan => (both_with(Faults { reset: 0.3, ..no_faults }), vec![]),
            Bug::MalformedNeverRan => (both_with(Faults { malformed: 0.3, ..no_faults }), vec![]),
            Bug::SendNoticeOnce => {
                (both_with(Faults { error: 0.3, ..no_faults }), vec![(0.0, Act::DropNotices(2))])
            }
            Bug::CallDrainingEndpoint => {
                let replace = |at, dest| (at, Act::Replace { dest, endpoint: 0, drain_ms: 2500.0 });
                (both_with(no_faults), vec![replace(300.0, 0), replace(300.0, 1)])
            }
            Bug::AcceptDuplicateId | Bug::LoseLastRecord => (both_with(no_faults), vec![kill(1500.0, 100.0)]),
            // No notice is acknowledged before the process is killed.
            Bug::ForgetOwedNotice => (
                both_with(Faults { error: 0.3, ..no_faults }),
                vec![(0.0, Act::DropNotices(1)), kill(2500.0, 400.0)],
            ),
            Bug::DeferredDelivered => (both_with(Faults { mixed: 0.5, ..no_faults }), vec![]),
            Bug::ReturnPossiblyRun => (both_with(Faults { error: 0.3, reset: 0.1, ..no_faults }), vec![]),
            Bug::HideFailures => {
                let dests = vec![dest(10, false, 40.0, no_faults.clone()), dest(11, false, 40.0, no_faults)];
                (dests, vec![down(600.0, true, 1000.0)])
            }
            // More messages end than the bug remembers.
            Bug::DropEnd => {
                return Scene::Load(Load {
                    seed,
                    rate: 1500.0,
                    duration_secs: 5.0,
                    resubmit_share: 0.3,
                    ..Load::default()
                });
            }
            // The other bugs have fleet scenes, see above.
            _ => (both_with(no_faults), vec![]),
        };
        let client_faults = if self == Bug::AcceptDuplicateId { [0.0, 0.0, 0.5] } else { [0.0; 3] };
        let rate = 80.0;
        Scene::Script(Script {
            seed,
            rate,
            dests,
            acts,
            client_faults,
            exit_at: None,
            max_file_bytes: None,
            damage: None,
            shards: 1,
        })
    }
}
