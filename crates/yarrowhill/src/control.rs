//! What operators ask a running forwarder: over its control socket, as text or JSON.

use serde_json::Value;
use std::error::Error;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;
use yarrowhill_fleet::{
    DutiesStatus, KnowledgeStatus, LimitStatus, LimitsStatus, MemberStatus, NamedDuty, NamedLimit,
    NamedOutage, NamedWait, Refusals, Status, VoteStatus, ask,
};

/// Between two looks of `--watch`.
const LOOK: Duration = Duration::from_secs(1);

/// Where the control socket is: as named, in the state folder as named, or in that of the environment.
pub fn socket(named: Option<PathBuf>, state: Option<PathBuf>) -> Result<PathBuf, Box<dyn Error>> {
    if let Some(path) = named {
        return Ok(path);
    }
    let state = state.or_else(|| std::env::var_os("BALANCER_STATE").map(PathBuf::from));
    let state = state.ok_or("name the forwarder: --state FOLDER, --socket PATH or BALANCER_STATE")?;
    Ok(state.join(yarrowhill::CONTROL_SOCKET))
}

/// Shows who is there, once or again and again.
pub fn members(socket: &Path, watch: bool, json: bool) -> Result<(), Box<dyn Error>> {
    show(socket, "members", watch, json, |told| Ok(text(&serde_json::from_value(told)?)))
}

/// Shows how the shared limits stand, once or again and again.
pub fn limits(socket: &Path, watch: bool, json: bool) -> Result<(), Box<dyn Error>> {
    show(socket, "limits", watch, json, |told| Ok(limits_text(&serde_json::from_value(told)?)))
}

/// Shows duties, once or again and again.
pub fn duties(socket: &Path, watch: bool, json: bool) -> Result<(), Box<dyn Error>> {
    show(socket, "duties", watch, json, |told| Ok(duties_text(&serde_json::from_value(told)?)))
}

/// Passes on what an operator wants of a duty.
pub fn wish(socket: &Path, what: &str, duty: &str, member: Option<&str>) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let with = serde_json::json!({"duty": duty, "member": member});
    runtime.block_on(ask(socket, what, with))?;
    println!("{duty}: asked; `yarrowhill duties` tells what comes of it");
    Ok(())
}

fn duties_text(status: &DutiesStatus) -> String {
    let mut text = format!(
        "{:24} {:16} {:>9} {:>8} {:>8} {:>6} {:16} next\n",
        "duty", "holder", "token", "left", "known", "steps", "pinned to"
    );
    for NamedDuty { duty, holder_name, pinned_name, ranked_names: ranks_names, history, .. } in &status.duties
    {
        let seconds = |ms: u64| ms as f64 / 1000.0;
        let _ = writeln!(
            text,
            "{:24} {:16} {:>9} {:>6.1} s {:>6.1} s {:>6} {:16} {}",
            duty.name,
            holder_name.as_deref().unwrap_or("nobody"),
            duty.token,
            seconds(duty.left_ms),
            seconds(duty.age_ms),
            duty.step,
            pinned_name.as_deref().unwrap_or("-"),
            ranks_names.join(", ")
        );
        for told in history.iter().take(5) {
            let _ = writeln!(text, "    {told}");
        }
    }
    if status.duties.is_empty() {
        text.push_str("the fleet's document names no duty\n");
    }
    let vote = match status.vote {
        VoteStatus::Voting => "its word counts",
        VoteStatus::Checking => "asks the others whether its folder is the last one",
        VoteStatus::Silent => "may have forgotten what it promised, and is silent for a while",
        VoteStatus::Recovering => "may have forgotten what it promised, and learns from the others",
        VoteStatus::NonVoter => "no voter",
    };
    let _ = writeln!(text, "as a voter: {vote}");
    text
}

/// Shows what is known of destinations, once or again and again.
pub fn knowledge(socket: &Path, watch: bool, json: bool) -> Result<(), Box<dyn Error>> {
    show(socket, "knowledge", watch, json, |told| Ok(knowledge_text(&serde_json::from_value(told)?)))
}

fn knowledge_text(status: &KnowledgeStatus) -> String {
    let mut text = format!("{:>11} {:>9} {:>9} told to\n", "destination", "waits", "heard");
    for NamedWait { wait: known, origin_name } in &status.waits {
        let seconds = |micros: u64| micros as f64 / 1e6;
        let _ = writeln!(
            text,
            "{:>11} {:>7.1} s {:>7.1} s {}",
            known.dest,
            seconds(known.remaining),
            seconds(known.age),
            origin_name.as_deref().unwrap_or("?")
        );
    }
    if status.waits.is_empty() {
        text.push_str("no destination told anybody to wait\n");
    }
    for NamedOutage { outage, reporter_names: found_names, prober_name: tries_name } in &status.outages {
        let since = outage.since as f64 / 1e6;
        let _ = match outage.capacity_fraction {
            0.0 => writeln!(
                text,
                "{:>11} is down for {since:.1} s, found by {}; {} tries",
                outage.dest,
                found_names.join(", "),
                tries_name.as_deref().unwrap_or("whoever has calls")
            ),
            part => {
                writeln!(text, "{:>11} is back for {since:.1} s: {part:.2} of its limit now", outage.dest)
            }
        };
    }
    if status.is_syncing {
        text.push_str("has just started: nobody has told it yet what holds\n");
    }
    if status.rejected > 0 {
        let _ = writeln!(text, "not believed: {} words", status.rejected);
    }
    text
}

/// Tells why calls to a destination begin or are held now, once or again and again.
pub fn explain(socket: &Path, dest: u64, watch: bool, json: bool) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        loop {
            let limits: LimitsStatus = serde_json::from_value(ask(socket, "limits", Value::Null).await?)?;
            let known: KnowledgeStatus =
                serde_json::from_value(ask(socket, "knowledge", Value::Null).await?)?;
            let limit = limits.limits.iter().find(|named| named.limit.limit == dest);
            let waits: Vec<&NamedWait> = known.waits.iter().filter(|w| w.wait.dest == dest).collect();
            let outage = known.outages.iter().find(|o| o.outage.dest == dest);
            if json {
                println!(
                    "{}",
                    serde_json::json!({"dest": dest, "limit": limit, "waits": waits, "outage": outage})
                );
            } else {
                if let Some(NamedOutage { outage, prober_name: tries_name, .. }) = outage {
                    match (outage.capacity_fraction, tries_name.as_deref().unwrap_or("whoever has calls")) {
                        (0.0, tries) => {
                            println!("{dest}: down; {tries} tries, and the others go by its word")
                        }
                        (part, _) => println!("{dest}: back, and getting warm: {part:.2} of its limit now"),
                    }
                }
                print!("{}", reasons(dest, limit, &waits));
            }
            if !watch {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
    })
}

fn reasons(dest: u64, limit: Option<&NamedLimit>, waits: &[&NamedWait]) -> String {
    let mut text = String::new();
    for NamedWait { wait: known, origin_name } in waits {
        let _ = writeln!(
            text,
            "{dest}: told {} to wait, heard {:.1} s ago; held for {:.1} s more, unless it serves a call of ours",
            origin_name.as_deref().unwrap_or("somebody"),
            known.age as f64 / 1e6,
            known.remaining as f64 / 1e6
        );
    }
    let Some(NamedLimit { limit, coordinator_name: keeper_name }) = limit else {
        let _ = writeln!(text, "{dest}: no limit that is shared; the module decides alone");
        return text;
    };
    let LimitStatus {
        calls,
        right,
        floor,
        lent,
        borrowed,
        demand,
        floor_usable_in_ms: starts_ms,
        begun,
        delayed: held,
        ..
    } = limit;
    let _ = writeln!(
        text,
        "{dest}: {calls:.2} calls a second for all, {right:.2} of them here, {demand:.2} asked for"
    );
    let _ = writeln!(text, "  {begun} calls have begun, {held} were held back for a time or for good");
    if *starts_ms > 0 {
        let span = *starts_ms as f64 / 1000.0;
        let _ = writeln!(
            text,
            "  its floor of {floor:.2} counts from {span:.1} s on: an earlier life may have lent it"
        );
    } else if *lent > 0.0 {
        let _ = writeln!(text, "  {lent:.2} of its floor of {floor:.2} are lent");
    }
    if *borrowed > 0.0 {
        let keeper = keeper_name.as_deref().unwrap_or("its keeper");
        let _ = writeln!(text, "  {borrowed:.2} are borrowed, by {keeper}");
    }
    if demand > right {
        let _ = writeln!(text, "  held now: more is asked for than it may send");
    }
    text
}

fn show(
    socket: &Path,
    what: &str,
    watch: bool,
    json: bool,
    text: impl Fn(Value) -> Result<String, Box<dyn Error>>,
) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        loop {
            let told = ask(socket, what, Value::Null).await?;
            if json {
                println!("{told}");
            } else {
                print!("{}", text(told)?);
            }
            if !watch {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
    })
}

fn limits_text(status: &LimitsStatus) -> String {
    let mut text = format!(
        "{:>11} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} keeper\n",
        "destination", "limit", "may send", "floor", "lent", "borrowed", "demand", "begun", "held back"
    );
    for NamedLimit { limit, coordinator_name: keeper_name } in &status.limits {
        let LimitStatus { calls, right, floor, lent, borrowed, demand, begun, delayed: held, .. } = limit;
        let _ = write!(
            text,
            "{:>11} {calls:>9.2} {right:>9.2} {floor:>9.2} {lent:>9.2} {borrowed:>9.2} {demand:>9.2} {begun:>9} {held:>9} {}",
            limit.limit,
            keeper_name.as_deref().unwrap_or("-")
        );
        if let Some([out, pool]) = limit.coordinated {
            let _ = write!(text, ", keeps {pool:.2} and grants {out:.2}");
        }
        if limit.floor_usable_in_ms > 0 {
            let _ = write!(text, ", its floor from {:.1} s on", limit.floor_usable_in_ms as f64 / 1000.0);
        }
        text.push('\n');
    }
    let Refusals { unknown, stale, excessive: absurd } = status.refused;
    if status.refused != Refusals::default() {
        let _ = writeln!(
            text,
            "not believed: {unknown} words about unknown limits, {stale} of another life, {absurd} promises of more than there is"
        );
    }
    text
}

fn text(status: &Status) -> String {
    let Status {
        name,
        incarnation,
        state: standing,
        view,
        view_size: there,
        roster_size: roster,
        senders,
        permits,
        ..
    } = status;
    let mut text = format!(
        "{name} ({incarnation}) is {standing}: {there} of {roster} in view {view}, roster {}\n",
        status.roster_version
    );
    let yes = |may| if may { "yes" } else { "no" };
    let _ = writeln!(
        text,
        "takes on {}, sends on {}, holds duties {}, applies configuration {}, ready {}; limits shared by {senders}",
        yes(permits.accept_messages),
        yes(permits.send_calls),
        yes(permits.hold_duty),
        yes(permits.configure),
        yes(permits.ready)
    );
    let _ = writeln!(
        text,
        "{:16} {:8} {:>8} {:9} {:>8} {:>8} {:16} {:>9} in view",
        "member", "zone", "boot", "state", "since", "heard", "by", "support"
    );
    status.members.iter().for_each(|member| row(&mut text, member));
    let [strangers, words, support] = status.rejected;
    let [spoilt, unknown] = status.dropped;
    if status.rejected != [0; 3] || status.dropped != [0; 2] {
        let _ = writeln!(
            text,
            "not believed: {strangers} packets and {unknown} addresses of strangers, {spoilt} spoilt, {words} words, {support} supports"
        );
    }
    text
}

fn row(text: &mut String, member: &MemberStatus) {
    let span = |ms: u64| match ms {
        0..10_000 => format!("{:.1} s", ms as f64 / 1000.0),
        10_000..600_000 => format!("{} s", ms / 1000),
        _ => format!("{} min", ms / 60_000),
    };
    let MemberStatus { name, zone, incarnation, health: state, .. } = member;
    let heard = member.last_received_ms.map_or("never".to_owned(), span);
    let support = match (member.votes, member.support_ms) {
        (false, _) => "-".to_owned(),
        (true, 0) => "none".to_owned(),
        (true, ms) => span(ms),
    };
    let _ = write!(
        text,
        "{name:16} {zone:8} {incarnation:>8} {:9} {:>8} {heard:>8} {:16} {support:>9} {}",
        state.name(),
        span(member.since_ms),
        member.source.as_deref().unwrap_or("-"),
        if member.in_view { "yes" } else { "no" }
    );
    match &member.other_roster {
        Some(theirs) => drop(writeln!(text, "  goes by roster {theirs}")),
        None => text.push('\n'),
    }
}
