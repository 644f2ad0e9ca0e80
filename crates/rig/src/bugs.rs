//! Known bugs, each a small patch beside the rig: the product's own text knows nothing of them. A rig that does not
//! catch them proves nothing by its silence.

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
            /// All of them.
            pub const ALL: &[Bug] = &[$(Bug::$variant,)*];

            /// Its name, also that of its patch.
            pub fn name(self) -> &'static str {
                match self { $(Bug::$variant => $text,)* }
            }

            /// The patch that plants it: a unified diff against the workspace's root.
            pub fn patch(self) -> &'static str {
                match self { $(Bug::$variant => include_str!(concat!("../bugs/", $text, ".patch")),)* }
            }
        }
    };
}

bugs! {
    /// An answer that comes when the time of a message in the call is up is believed.
    AcceptLateAnswer = "believe-an-answer-after-its-time",
    /// Whatever comes on a connection is taken for a delivery, also a copy or the rest of another answer.
    AcceptDuplicateAnswer = "believe-a-second-copy",
    /// Calls start and clients are answered before the journal is written, which then is a turn late.
    SendBeforeJournal = "send-before-the-journal",
    /// Attempts found in the journal are forgotten.
    ForgetAttempt = "forget-an-attempt-at-replay",
    /// Told waits are not passed on to the module.
    IgnoreWait = "ignore-a-wait",
    /// A connection that broke after the call was written counts as one that never came up.
    ResetNeverRan = "take-a-reset-for-no-connection",
    /// A spoilt answer counts as a call that never ran.
    MalformedNeverRan = "take-a-spoilt-answer-for-never-ran",
    /// A notice is sent once, acknowledged or not, and forgotten.
    SendNoticeOnce = "send-a-notice-once",
    /// Endpoints that drain go on being called.
    CallDrainingEndpoint = "call-a-draining-endpoint",
    /// An id that is handed in again becomes a message of its own.
    AcceptDuplicateId = "take-an-id-twice",
    /// Notices that are owed are forgotten at replay.
    ForgetOwedNotice = "forget-an-owed-notice-at-replay",
    /// Deferred messages of a batch count as delivered.
    DeferredDelivered = "take-deferred-for-accepted",
    /// A message that may have run is handed back for another try.
    ReturnPossiblyRun = "hand-back-what-may-have-run",
    /// Failures are not passed on to the module, so that it sees no outage.
    HideFailures = "hide-failures-from-the-module",
    /// The last record of every turn is not written.
    LoseLastRecord = "lose-the-last-record-of-a-turn",
    /// Beyond 4,096 ends a further one is not remembered.
    DropEnd = "drop-an-end-when-full",
    /// Of two words about a member the worse counts, however old.
    AcceptOldIncarnation = "believe-an-old-incarnation",
    /// Those that are held to be dead count as there.
    CountDeadAsPresent = "count-the-dead-as-there",
    /// Whatever is heard is the view at once.
    PublishUnsettledView = "let-a-flicker-through",
    /// Half of the voters, rounded down, are taken for a majority.
    AcceptHalfAsMajority = "take-half-for-a-majority",
    /// Support does not run out, and a process that was stopped does not notice.
    IgnorePause = "wake-without-looking",
    /// A new boot number is spoken under before it is on disk.
    SendBeforeBootStored = "speak-before-the-boot-is-on-disk",
    /// What is lent goes on being used by the lender.
    UseLentShare = "use-what-is-lent",
    /// One that starts uses its whole part at once, whatever its earlier life lent.
    ForgetPromises = "forget-promises-at-a-start",
    /// A keeper counts a promise from when it came, not from when it asked for it.
    PromiseFromArrival = "count-a-promise-from-its-arrival",
    /// A borrower counts a grant from when it came, not from when it asked for it.
    GrantFromArrival = "count-a-grant-from-its-arrival",
    /// A wait that others were told holds nothing back.
    IgnoreSharedWaits = "call-during-a-wait-of-others",
    /// In an outage everybody tries once a turn.
    ProbeFromAll = "try-all-at-once",
    /// What is back is called as before, warm or not.
    RecoverIndependently = "come-back-each-for-itself",
    /// A holder counts its lease from when a majority's answers came, not from when it asked.
    LeaseFromArrival = "count-a-lease-from-its-arrival",
    /// A holder that was stopped goes on when it wakes.
    ActAfterLease = "act-after-the-lease",
}

/// What is played against a bug.
#[derive(Clone, Debug)]
pub enum Scene {
    /// A script.
    Script(Script),
    /// A load.
    Load(Load),
    /// Several processes that know each other.
    Fleet(FleetScene),
}

impl Bug {
    /// The one of that name.
    pub fn named(name: &str) -> Option<Self> {
        Bug::ALL.iter().copied().find(|bug| bug.name() == name)
    }

    /// Whether it is one of a package without I/O: then `attack` must catch it too, without any process. What is told on of
    /// waits is kept by the gate alone.
    pub fn is_in_io_free_package(self) -> bool {
        self.is_in_outages()
            || self.is_in_duties()
            || (self.fleet().is_some() && self != Bug::IgnoreSharedWaits)
    }

    /// One of shared limits: `attack` must catch that too.
    pub fn is_in_rights(self) -> bool {
        use Bug::{ForgetPromises, GrantFromArrival, PromiseFromArrival, UseLentShare};
        matches!(self, UseLentShare | ForgetPromises | PromiseFromArrival | GrantFromArrival)
    }

    /// One of outages and returns: `attack` must catch that too.
    pub fn is_in_outages(self) -> bool {
        matches!(self, Bug::ProbeFromAll | Bug::RecoverIndependently)
    }

    /// One of duties: `attack` must catch that too.
    pub fn is_in_duties(self) -> bool {
        matches!(self, Bug::LeaseFromArrival | Bug::ActAfterLease)
    }

    /// The scene over several processes that must show a bug of duties.
    fn dutiful(self) -> Option<FleetScene> {
        use FleetAct::{Islands, Stall, Weather};
        let late = crate::fleet::LinkQuality { delay_ms: 120.0, ..Default::default() };
        let acts: Vec<_> = match self {
            // Whoever holds them is cut off again and again, while each way takes a quarter of a lease.
            Bug::LeaseFromArrival => {
                let cut = |n: usize| Islands((0..3).map(|m| usize::from(m == n)).collect());
                let cuts = (0..9).map(|n| (6000.0 + 2500.0 * n as f64, cut(n % 3)));
                std::iter::once((500.0, Weather(late))).chain(cuts).collect()
            }
            Bug::ActAfterLease => {
                (0..6).map(|n| (4000.0 + 3500.0 * n as f64, Stall(n % 3, 2000.0))).collect()
            }
            _ => return None,
        };
        Some(FleetScene { duties: 3, rate: 4.0, ..FleetScene::new(self.name(), 3, acts) })
    }

    /// The scene over several processes that must show a bug of shared limits: four lend to one that is busy, and the
    /// traffic moves to them.
    fn limited(self) -> Option<FleetScene> {
        use FleetAct::{Busy, Kill, Start, Weather};
        let late = crate::fleet::LinkQuality { delay_ms: 500.0, ..Default::default() };
        let acts = match self {
            Bug::UseLentShare => {
                (0..10).map(|n| (4000.0 + 700.0 * f64::from(n), Busy(n as usize % 2))).collect()
            }
            Bug::ForgetPromises => {
                let kills = (1..5).map(|n| (5000.0, Kill(n)));
                let starts = (1..5).map(|n| (5100.0, Start(n, StateFolder::Kept)));
                kills.chain(starts).chain([(5000.0, Busy(1))]).collect()
            }
            // Every message is half a grant late.
            Bug::PromiseFromArrival | Bug::GrantFromArrival => {
                let moves = (0..10).map(|n| (5000.0 + 900.0 * f64::from(n), Busy(n as usize % 2)));
                [(500.0, Weather(late))].into_iter().chain(moves).collect()
            }
            _ => return None,
        };
        let mut scene = FleetScene::new(self.name(), 5, acts);
        // Long grants: what goes wrong goes wrong for longer.
        scene.period_ms = 1000;
        (scene.limit, scene.busy_share, scene.rate) = (Some((60.0, Sharing::Rights)), Some(0.9), 30.0);
        scene.end_ms = 18_000.0;
        Some(scene)
    }

    /// The scene over several processes that must show it.
    fn fleet(self) -> Option<FleetScene> {
        use FleetAct::{Heal, Islands, Kill, Shut, Stall, Start};
        let cut = |of: [usize; 3]| Islands(of.to_vec());
        let acts = match self {
            // Held for dead, and then back.
            Bug::AcceptOldIncarnation => {
                vec![(300.0, Kill(1)), (4000.0, Start(1, StateFolder::Kept))]
            }
            Bug::CountDeadAsPresent => vec![(300.0, Kill(1)), (9000.0, Start(1, StateFolder::Kept))],
            // All three come one after another.
            Bug::PublishUnsettledView => vec![
                (300.0, cut([0, 1, 2])),
                (5000.0, FleetAct::Cut(0, 1)),
                (6000.0, Heal),
                (6001.0, cut([0, 0, 1])),
                (6002.0, Heal),
            ],
            Bug::AcceptHalfAsMajority => vec![(300.0, cut([0, 1, 1])), (8000.0, Heal)],
            // Stopped with the others, and woken on the other side of a cut.
            Bug::IgnorePause => {
                vec![(1500.0, Stall(0, 8000.0)), (1600.0, cut([0, 1, 1])), (14_000.0, Heal)]
            }
            // What stands in the folder is older than what the others remember.
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
            _ => return self.limited(),
        };
        Some(FleetScene::new(self.name(), 3, acts))
    }

    /// What is made for it: a calm world in which that alone goes wrong which the bug gets wrong, placed where it must
    /// show. The seed varies traffic and timing.
    pub fn scene(self, seed: u64) -> Scene {
        if let Some(scene) = self.dutiful() {
            return Scene::Fleet(FleetScene { seed, ..scene });
        }
        if self.is_in_outages()
            && let Some(scene) = outage_scenes().into_iter().next()
        {
            return Scene::Fleet(FleetScene { seed, name: self.name().to_owned(), ..scene });
        }
        if let Some(scene) = self.fleet() {
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
        let calm = |faults: Faults| vec![dest(10, true, 60.0, faults.clone()), dest(11, false, 60.0, faults)];
        let none = Faults::default();
        let down = |at, shut, duration_ms| (at, Act::Down { dest: 0, shut, duration_ms });
        let kill = |at, pause| (at, Act::Kill(pause));
        let (dests, acts) = match self {
            Bug::AcceptLateAnswer => (calm(Faults { just_in_time: 0.2, late: 0.1, ..none }), vec![]),
            Bug::AcceptDuplicateAnswer => {
                (calm(Faults { duplicate: 0.2, malformed: 0.2, reset: 0.1, ..none }), vec![])
            }
            Bug::SendBeforeJournal => (calm(none), vec![kill(900.0, 100.0), kill(1900.0, 100.0)]),
            // Calls that never answer are out when the process ends.
            Bug::ForgetAttempt => (calm(Faults { silent: 0.3, ..none }), vec![kill(1500.0, 100.0)]),
            // A shut door tells how long it stays shut.
            Bug::IgnoreWait => {
                let other = (1700.0, Act::Down { dest: 1, shut: true, duration_ms: 1200.0 });
                (calm(none), vec![down(400.0, true, 1200.0), other])
            }
            Bug::ResetNeverRan => (calm(Faults { reset: 0.3, ..none }), vec![]),
            Bug::MalformedNeverRan => (calm(Faults { malformed: 0.3, ..none }), vec![]),
            Bug::SendNoticeOnce => (calm(Faults { error: 0.3, ..none }), vec![(0.0, Act::DropNotices(2))]),
            Bug::CallDrainingEndpoint => {
                let replace = |at, dest| (at, Act::Replace { dest, endpoint: 0, drain_ms: 2500.0 });
                (calm(none), vec![replace(300.0, 0), replace(300.0, 1)])
            }
            Bug::AcceptDuplicateId | Bug::LoseLastRecord => (calm(none), vec![kill(1500.0, 100.0)]),
            // No notice is acknowledged before the process ends.
            Bug::ForgetOwedNotice => {
                (calm(Faults { error: 0.3, ..none }), vec![(0.0, Act::DropNotices(1)), kill(2500.0, 400.0)])
            }
            Bug::DeferredDelivered => (calm(Faults { mixed: 0.5, ..none }), vec![]),
            Bug::ReturnPossiblyRun => (calm(Faults { error: 0.3, reset: 0.1, ..none }), vec![]),
            Bug::HideFailures => {
                let dests = vec![dest(10, false, 40.0, none.clone()), dest(11, false, 40.0, none)];
                (dests, vec![down(600.0, true, 1000.0)])
            }
            // More ends at a time than it remembers.
            Bug::DropEnd => {
                return Scene::Load(Load {
                    seed,
                    rate: 1500.0,
                    duration_secs: 5.0,
                    resubmit_share: 0.3,
                    ..Load::default()
                });
            }
            // Those of membership have scenes of their own.
            _ => (calm(none), vec![]),
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
