//! What a forwarder tells of its fleet.

use serde::{Deserialize, Serialize};
use yarrowhill_duties::{Duties, DutyStatus, VoteStatus};
use yarrowhill_knowledge::{KnownWait, Outage, OutageDetector, WaitTable};
use yarrowhill_membership::{
    Health, MemberId, Membership, MembershipState, Micros, Permits, Rejected, Roster,
};
use yarrowhill_rights::{LimitStatus, Refusals, SharedLimits};

/// A member as this forwarder knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether its support counts.
    pub votes: bool,
    /// Boot and round of the word that counts.
    pub incarnation: String,
    /// How it stands.
    #[serde(rename = "state")]
    pub health: Health,
    /// For how long it has stood so here (ms).
    pub since_ms: u64,
    /// How long ago a packet of its own came (ms); none ever.
    #[serde(rename = "heard_ms")]
    pub last_received_ms: Option<u64>,
    /// Who told the word that counts.
    #[serde(rename = "by")]
    pub source: Option<String>,
    /// How much longer its support for this forwarder's view holds (ms).
    pub support_ms: u64,
    /// Whether it is in the stable view.
    pub in_view: bool,
    /// It goes by another roster than this forwarder: version and hash.
    pub other_roster: Option<String>,
}

/// What a forwarder tells of its fleet, at one moment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The form of this record.
    pub version: u32,
    /// When (microseconds of `CLOCK_BOOTTIME`: comparable between processes of one machine alone).
    pub at: Micros,
    /// Until when the standing holds if nothing more is heard.
    #[serde(rename = "until")]
    pub state_until: Micros,
    /// The forwarder's name.
    pub name: String,
    /// Its boot and round.
    pub incarnation: String,
    /// How it stands.
    #[serde(rename = "standing")]
    pub state: MembershipState,
    /// What follows.
    pub permits: Permits,
    /// Its stable view.
    pub view: String,
    /// Members in it.
    #[serde(rename = "there")]
    pub view_size: usize,
    /// Members in the roster.
    #[serde(rename = "roster")]
    pub roster_size: usize,
    /// The roster's version and hash.
    pub roster_version: String,
    /// Among how many what all share is divided.
    pub senders: usize,
    /// The members, itself too.
    pub members: Vec<MemberStatus>,
    /// What came and was not believed: packets of strangers, impossible words, support that was not asked for,
    #[serde(rename = "refused")]
    pub rejected: [u64; 3],
    /// bytes that are no packet, and packets from addresses that are no member's.
    pub dropped: [u64; 2],
}

impl Status {
    /// What a member knows at a moment. `dropped` counts what never reached it.
    pub fn new(core: &Membership, now: Micros, dropped: [u64; 2]) -> Self {
        let roster = core.roster();
        let name = |id: MemberId| roster.name_of(id).unwrap_or("?").to_owned();
        let ago = |at: Micros| now.saturating_sub(at) / 1000;
        let mine = roster.reference();
        let voters: Vec<MemberId> = roster.voters().collect();
        let mut members: Vec<MemberStatus> = roster
            .members()
            .map(|(id, seat)| {
                let entry = core.members().find(|(other, _)| *other == id).map(|(_, e)| e);
                let record = entry.map_or(core.local_record(), |e| e.record);
                let other = entry.and_then(|e| e.roster).filter(|r| *r != mine);
                MemberStatus {
                    name: seat.name.clone(),
                    zone: seat.zone.clone(),
                    votes: voters.contains(&id),
                    incarnation: record.incarnation.to_string(),
                    health: record.health,
                    since_ms: entry.map_or(0, |e| ago(e.since)),
                    last_received_ms: entry.map_or(Some(0), |e| e.last_received.map(ago)),
                    source: entry.and_then(|e| e.source).map(name),
                    support_ms: core.support_until(id).saturating_sub(now) / 1000,
                    in_view: core.view().members.contains_key(&id),
                    other_roster: other.map(|r| format!("{}:{:016x}", r.version, r.hash)),
                }
            })
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let Rejected { unknown_senders: strangers, updates: words, support } = core.rejected();
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
            roster_version: format!("{}:{:016x}", mine.version, mine.hash),
            senders: core.senders(now),
            members,
            rejected: [strangers, words, support],
            dropped,
        }
    }
}

/// How one shared limit stands here, with its keeper's name.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NamedLimit {
    /// The limit as it stands.
    #[serde(flatten)]
    pub limit: LimitStatus,
    /// Whom this member takes for its keeper.
    #[serde(rename = "keeper_name")]
    pub coordinator_name: Option<String>,
}

/// How the shared limits stand here.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LimitsStatus {
    /// The form of this record.
    pub version: u32,
    /// When (microseconds of `CLOCK_BOOTTIME`).
    pub at: Micros,
    /// Each of them.
    pub limits: Vec<NamedLimit>,
    /// Words that were not believed.
    pub refused: Refusals,
}

impl LimitsStatus {
    /// What a member knows at a moment.
    pub fn new(sharing: &SharedLimits, now: Micros, roster: &Roster) -> Self {
        let named = |limit: LimitStatus| {
            let name = limit.coordinator.and_then(|id| roster.name_of(MemberId(id)));
            NamedLimit { coordinator_name: name.map(str::to_owned), limit }
        };
        let limits = sharing.status(now).into_iter().map(named).collect();
        LimitsStatus { version: 1, at: now, limits, refused: sharing.refusals() }
    }
}

/// What is known of a destination, with the name of whom it was told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NamedWait {
    /// What is known.
    #[serde(flatten)]
    pub wait: KnownWait,
    /// Who was told.
    pub origin_name: Option<String>,
}

/// A duty as it stands here, with names.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NamedDuty {
    /// As it stands.
    #[serde(flatten)]
    pub duty: DutyStatus,
    /// Who holds it.
    pub holder_name: Option<String>,
    /// To whom it is pinned.
    pub pinned_name: Option<String>,
    /// Who should hold it, in this order.
    #[serde(rename = "ranks_names")]
    pub ranked_names: Vec<String>,
    /// It is held by the one that tells this, until then (microseconds of `CLOCK_BOOTTIME`).
    pub held_until: Option<Micros>,
    /// How its terms went lately, as far as this member was told, the last one first.
    pub history: Vec<String>,
}

/// What a forwarder tells of duties.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DutiesStatus {
    /// The form of this record.
    pub version: u32,
    /// When (microseconds of `CLOCK_BOOTTIME`).
    pub at: Micros,
    /// How its own vote stands.
    pub vote: VoteStatus,
    /// Each duty.
    pub duties: Vec<NamedDuty>,
}

impl DutiesStatus {
    /// What a member knows at a moment; `history` by duty.
    pub fn new(duties: &Duties, now: Micros, roster: &Roster, history: &[(u64, String)]) -> Self {
        let name = |id: u64| roster.name_of(MemberId(id)).unwrap_or("?").to_owned();
        let ids: std::collections::BTreeMap<String, u64> =
            duties.duties().map(|(id, duty)| (duty.name.clone(), id)).collect();
        let named = |duty: DutyStatus| {
            let id = ids.get(&duty.name).copied().unwrap_or(0);
            let told = history.iter().rev().filter(|(of, _)| *of == id).map(|(_, text)| text.clone());
            NamedDuty {
                holder_name: duty.holder.map(name),
                pinned_name: duty.pinned.map(name),
                ranked_names: duty.ranks.iter().map(|id| name(*id)).collect(),
                held_until: duties.held(now, id).map(|held| held.until),
                history: told.collect(),
                duty,
            }
        };
        let list = duties.status(now).into_iter().map(named).collect();
        DutiesStatus { version: 1, at: now, vote: duties.vote_status(), duties: list }
    }
}

/// How a destination stands that is not simply up, with names.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NamedOutage {
    /// How it stands.
    #[serde(flatten)]
    pub outage: Outage,
    /// Who found it down.
    #[serde(rename = "found_names")]
    pub reporter_names: Vec<String>,
    /// Who tries.
    #[serde(rename = "tries_name")]
    pub prober_name: Option<String>,
}

/// What a forwarder knows of destinations.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnowledgeStatus {
    /// The form of this record.
    pub version: u32,
    /// When (microseconds of `CLOCK_BOOTTIME`).
    pub at: Micros,
    /// Waits that hold.
    pub waits: Vec<NamedWait>,
    /// Outages that hold, and returns.
    #[serde(default)]
    pub outages: Vec<NamedOutage>,
    /// It has just started, and nobody has told it yet what holds.
    #[serde(rename = "newcomer")]
    pub is_syncing: bool,
    /// Words that were not believed.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl KnowledgeStatus {
    /// What a member knows at a moment.
    pub fn new(
        knowledge: &WaitTable,
        outages: &OutageDetector,
        now: Micros,
        roster: &Roster,
        is_syncing: bool,
    ) -> Self {
        let named = |wait: KnownWait| {
            let origin_name = roster.name_of(MemberId(wait.origin)).map(str::to_owned);
            NamedWait { wait, origin_name }
        };
        let waits = knowledge.status(now).into_iter().map(named).collect();
        let name = |id: u64| roster.name_of(MemberId(id)).unwrap_or("?").to_owned();
        let named = |outage: Outage| NamedOutage {
            reporter_names: outage.reporters.iter().map(|(id, _)| name(*id)).collect(),
            prober_name: outage.prober.map(name),
            outage,
        };
        let outages_now = outages.status(now).into_iter().map(named).collect();
        let rejected = knowledge.rejected() + outages.rejected();
        KnowledgeStatus { version: 1, at: now, waits, outages: outages_now, is_syncing, rejected }
    }
}
