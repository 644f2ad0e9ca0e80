//! Status reports of a forwarder about its fleet, for operators.

use serde::{Deserialize, Serialize};
use yarrowhill_duties::{Duties, DutyStatus, VoteStatus};
use yarrowhill_knowledge::{KnownWait, Outage, OutageDetector, WaitTable};
use yarrowhill_membership::{
    Health, MemberId, Membership, MembershipState, Micros, Permits, Rejected, Roster,
};
use yarrowhill_rights::{LimitStatus, Refusals, SharedLimits};

/// A member as the reporting forwarder knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub name: String,
    /// Zone of the member.
    pub zone: String,
    /// Whether the member is a voter of the roster, so that its support counts.
    pub votes: bool,
    /// Boot number and refutations of the record in force.
    pub incarnation: String,
    /// Health of the member.
    #[serde(rename = "state")]
    pub health: Health,
    /// Time since the health last changed here (ms).
    pub since_ms: u64,
    /// Time since the last packet of the member arrived (ms); `None` if none has.
    #[serde(rename = "heard_ms")]
    pub last_received_ms: Option<u64>,
    /// Member that reported the record in force.
    #[serde(rename = "by")]
    pub source: Option<String>,
    /// Time left of the member's support for the forwarder's view (ms).
    pub support_ms: u64,
    /// Whether the member is in the stable view.
    pub in_view: bool,
    /// Version and hash of the member's roster, if it differs from the forwarder's.
    pub other_roster: Option<String>,
}

/// Membership as a forwarder knows it at one point in time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Version of the report's format.
    pub version: u32,
    /// Time of the report (microseconds of `CLOCK_BOOTTIME`, which only processes of one machine share).
    pub at: Micros,
    /// Time until which `state` holds if nothing more is received.
    #[serde(rename = "until")]
    pub state_until: Micros,
    /// Name of the forwarder.
    pub name: String,
    /// Boot number and refutations of the forwarder.
    pub incarnation: String,
    /// Membership state of the forwarder.
    #[serde(rename = "standing")]
    pub state: MembershipState,
    /// What the forwarder may do in this state.
    pub permits: Permits,
    /// ID of the forwarder's stable view.
    pub view: String,
    /// Number of members in the stable view.
    #[serde(rename = "there")]
    pub view_size: usize,
    /// Number of members in the roster.
    #[serde(rename = "roster")]
    pub roster_size: usize,
    /// Version and hash of the roster.
    pub roster_version: String,
    /// Number of senders that shared limits are divided among.
    pub senders: usize,
    /// The members of the roster, the forwarder included, by name.
    pub members: Vec<MemberStatus>,
    /// Numbers of rejected inputs: packets of unknown senders, implausible updates, and grants of support
    /// that were not requested or are of an earlier boot.
    #[serde(rename = "refused")]
    pub rejected: [u64; 3],
    /// Numbers of dropped packets: malformed ones, and those from addresses of no member.
    pub dropped: [u64; 2],
}

impl Status {
    /// Reports the state of `core`. `dropped` counts packets that were dropped before they reached it.
    pub fn new(core: &Membership, now: Micros, dropped: [u64; 2]) -> Self {
        let roster = core.roster();
        let name = |id: MemberId| roster.name_of(id).unwrap_or("?").to_owned();
        let ago = |at: Micros| now.saturating_sub(at) / 1000;
        let local_roster = roster.reference();
        let voters: Vec<MemberId> = roster.voters().collect();
        let mut members: Vec<MemberStatus> = roster
            .members()
            .map(|(id, config)| {
                let entry = core.members().find(|(other, _)| *other == id).map(|(_, e)| e);
                let record = entry.map_or(core.local_record(), |e| e.record);
                let other_roster = entry.and_then(|e| e.roster).filter(|r| *r != local_roster);
                MemberStatus {
                    name: config.name.clone(),
                    zone: config.zone.clone(),
                    votes: voters.contains(&id),
                    incarnation: record.incarnation.to_string(),
                    health: record.health,
                    since_ms: entry.map_or(0, |e| ago(e.since)),
                    last_received_ms: entry.map_or(Some(0), |e| e.last_received.map(ago)),
                    source: entry.and_then(|e| e.source).map(name),
                    support_ms: core.support_until(id).saturating_sub(now) / 1000,
                    in_view: core.view().members.contains_key(&id),
                    other_roster: other_roster.map(|r| format!("{}:{:016x}", r.version, r.hash)),
                }
            })
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let Rejected { unknown_senders, updates, support } = core.rejected();
        Status {
            version: 1,
            at: now,
            state_until: core.state_until(),
            name: name(core.local_id()),
            incarnation: core.local_record().incarnation.to_string(),
            state: core.state(now),
            permits: core.permits(now),
            view: core.view().id.to_string(),
            view_size: core.view().members.len(),
            roster_size: roster.len(),
            roster_version: format!("{}:{:016x}", local_roster.version, local_roster.hash),
            senders: core.senders(now),
            members,
            rejected: [unknown_senders, updates, support],
            dropped,
        }
    }
}

/// A shared limit as the member knows it, with its coordinator's name.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NamedLimit {
    /// State of the limit.
    #[serde(flatten)]
    pub limit: LimitStatus,
    /// Name of the member that this member takes for the limit's coordinator.
    #[serde(rename = "keeper_name")]
    pub coordinator_name: Option<String>,
}

/// The shared limits as the member knows them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LimitsStatus {
    /// Version of the report's format.
    pub version: u32,
    /// Time of the report (microseconds of `CLOCK_BOOTTIME`).
    pub at: Micros,
    /// State of each limit.
    pub limits: Vec<NamedLimit>,
    /// Numbers of refused payloads.
    pub refused: Refusals,
}

impl LimitsStatus {
    /// Reports the state of `sharing`.
    pub fn new(sharing: &SharedLimits, now: Micros, roster: &Roster) -> Self {
        let named = |limit: LimitStatus| {
            let name = limit.coordinator.and_then(|id| roster.name_of(MemberId(id)));
            NamedLimit { coordinator_name: name.map(str::to_owned), limit }
        };
        let limits = sharing.status(now).into_iter().map(named).collect();
        LimitsStatus { version: 1, at: now, limits, refused: sharing.refusals() }
    }
}

/// A wait in force at a destination, with the name of its origin.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NamedWait {
    /// The wait.
    #[serde(flatten)]
    pub wait: KnownWait,
    /// Name of the member that the destination asked to wait.
    pub origin_name: Option<String>,
}

/// A duty as the member knows it, with names of members.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NamedDuty {
    /// State of the duty.
    #[serde(flatten)]
    pub duty: DutyStatus,
    /// Name of the holder.
    pub holder_name: Option<String>,
    /// Name of the member that the duty is pinned to.
    pub pinned_name: Option<String>,
    /// Names of the members that should hold the duty, best first.
    #[serde(rename = "ranks_names")]
    pub ranked_names: Vec<String>,
    /// Time until which the reporting member holds the duty (microseconds of `CLOCK_BOOTTIME`); `None` if it
    /// does not hold it.
    pub held_until: Option<Micros>,
    /// Recent events of the duty at this member, latest first.
    pub history: Vec<String>,
}

/// The duties as the member knows them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DutiesStatus {
    /// Version of the report's format.
    pub version: u32,
    /// Time of the report (microseconds of `CLOCK_BOOTTIME`).
    pub at: Micros,
    /// Whether the member votes.
    pub vote: VoteStatus,
    /// State of each duty.
    pub duties: Vec<NamedDuty>,
}

impl DutiesStatus {
    /// Reports the state of `duties`. `history` holds recent events by duty ID, oldest first.
    pub fn new(duties: &Duties, now: Micros, roster: &Roster, history: &[(u64, String)]) -> Self {
        let name = |id: u64| roster.name_of(MemberId(id)).unwrap_or("?").to_owned();
        let ids: std::collections::BTreeMap<String, u64> =
            duties.duties().map(|(id, duty)| (duty.name.clone(), id)).collect();
        let named = |duty: DutyStatus| {
            let id = ids.get(&duty.name).copied().unwrap_or(0);
            let events = history.iter().rev().filter(|(other, _)| *other == id).map(|(_, text)| text.clone());
            NamedDuty {
                holder_name: duty.holder.map(name),
                pinned_name: duty.pinned.map(name),
                ranked_names: duty.ranks.iter().map(|id| name(*id)).collect(),
                held_until: duties.held(now, id).map(|held| held.until),
                history: events.collect(),
                duty,
            }
        };
        let list = duties.status(now).into_iter().map(named).collect();
        DutiesStatus { version: 1, at: now, vote: duties.vote_status(), duties: list }
    }
}

/// A destination that is down or recovering, with names of members.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NamedOutage {
    /// State of the outage.
    #[serde(flatten)]
    pub outage: Outage,
    /// Names of the members that found the destination down.
    #[serde(rename = "found_names")]
    pub reporter_names: Vec<String>,
    /// Name of the member that probes the destination.
    #[serde(rename = "tries_name")]
    pub prober_name: Option<String>,
}

/// Waits and outages of destinations as the forwarder knows them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnowledgeStatus {
    /// Version of the report's format.
    pub version: u32,
    /// Time of the report (microseconds of `CLOCK_BOOTTIME`).
    pub at: Micros,
    /// Waits in force.
    pub waits: Vec<NamedWait>,
    /// Destinations that are down or recovering.
    #[serde(default)]
    pub outages: Vec<NamedOutage>,
    /// Whether the forwarder has just started and still waits for a complete snapshot from another member.
    #[serde(rename = "newcomer")]
    pub is_syncing: bool,
    /// Number of rejected reports.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl KnowledgeStatus {
    /// Reports the state of `waits` and `outages`. `is_syncing`: a snapshot is still awaited.
    pub fn new(
        waits: &WaitTable,
        outages: &OutageDetector,
        now: Micros,
        roster: &Roster,
        is_syncing: bool,
    ) -> Self {
        let named = |wait: KnownWait| {
            let origin_name = roster.name_of(MemberId(wait.origin)).map(str::to_owned);
            NamedWait { wait, origin_name }
        };
        let named_waits = waits.status(now).into_iter().map(named).collect();
        let name = |id: u64| roster.name_of(MemberId(id)).unwrap_or("?").to_owned();
        let named = |outage: Outage| NamedOutage {
            reporter_names: outage.reporters.iter().map(|(id, _)| name(*id)).collect(),
            prober_name: outage.prober.map(name),
            outage,
        };
        let named_outages = outages.status(now).into_iter().map(named).collect();
        let rejected = waits.rejected() + outages.rejected();
        KnowledgeStatus {
            version: 1,
            at: now,
            waits: named_waits,
            outages: named_outages,
            is_syncing,
            rejected,
        }
    }
}
