//! Operator commands that query a running forwarder over its control socket and print the answer as text or
//! JSON.

use serde_json::Value;
use std::error::Error;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;
use yarrowhill_fleet::{
    DutiesStatus, KnowledgeStatus, LimitStatus, LimitsStatus, MemberStatus, NamedDuty, NamedLimit,
    NamedOutage, NamedWait, Refusals, Status, VoteStatus, ask,
};

/// Interval between two queries with `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the path of the control socket: the path given, else the socket in the state folder given, else in
/// the state folder of the environment.
pub fn socket(path: Option<PathBuf>, state: Option<PathBuf>) -> Result<PathBuf, Box<dyn Error>> {
    if let Some(path) = path {
        return Ok(path);
    }
    let state = state.or_else(|| std::env::var_os("BALANCER_STATE").map(PathBuf::from));
    let state = state.ok_or("no forwarder given: set --state FOLDER, --socket PATH or BALANCER_STATE")?;
    Ok(state.join(yarrowhill::CONTROL_SOCKET))
}

/// Shows the members of the fleet, once or periodically.
pub fn members(socket: &Path, watch: bool, json: bool) -> Result<(), Box<dyn Error>> {
    show(socket, "members", watch, json, |answer| Ok(members_text(&serde_json::from_value(answer)?)))
}

/// Shows the shared limits, once or periodically.
pub fn limits(socket: &Path, watch: bool, json: bool) -> Result<(), Box<dyn Error>> {
    show(socket, "limits", watch, json, |answer| Ok(limits_text(&serde_json::from_value(answer)?)))
}

/// Shows the duties, once or periodically.
pub fn duties(socket: &Path, watch: bool, json: bool) -> Result<(), Box<dyn Error>> {
    show(socket, "duties", watch, json, |answer| Ok(duties_text(&serde_json::from_value(answer)?)))
}

/// Sends an operator request on a duty.
pub fn request_duty(
    socket: &Path,
    question: &str,
    duty: &str,
    member: Option<&str>,
) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let args = serde_json::json!({"duty": duty, "member": member});
    runtime.block_on(ask(socket, question, args))?;
    println!("{duty}: request sent; `yarrowhill duties` shows its effect");
    Ok(())
}

fn duties_text(status: &DutiesStatus) -> String {
    let mut text = format!(
        "{:24} {:16} {:>9} {:>8} {:>8} {:>6} {:16} next\n",
        "duty", "holder", "token", "left", "age", "steps", "pinned to"
    );
    for NamedDuty { duty, holder_name, pinned_name, ranked_names, history, .. } in &status.duties {
        let seconds = |ms: u64| ms as f64 / 1000.0;
        let _ = writeln!(
            text,
            "{:24} {:16} {:>9} {:>6.1} s {:>6.1} s {:>6} {:16} {}",
            duty.name,
            holder_name.as_deref().unwrap_or("none"),
            duty.token,
            seconds(duty.left_ms),
            seconds(duty.age_ms),
            duty.step,
            pinned_name.as_deref().unwrap_or("-"),
            ranked_names.join(", ")
        );
        for term in history.iter().take(5) {
            let _ = writeln!(text, "    {term}");
        }
    }
    if status.duties.is_empty() {
        text.push_str("the fleet document defines no duty\n");
    }
    let vote = match status.vote {
        VoteStatus::Voting => "voting",
        VoteStatus::Checking => "checking with the other voters whether its state folder is the latest",
        VoteStatus::Silent => "silent until promises that it may have lost no longer matter",
        VoteStatus::Recovering => "recovering promises that it may have lost from the other voters",
        VoteStatus::NonVoter => "not a voter",
    };
    let _ = writeln!(text, "voter state: {vote}");
    text
}

/// Shows the known waits and outages of destinations, once or periodically.
pub fn knowledge(socket: &Path, watch: bool, json: bool) -> Result<(), Box<dyn Error>> {
    show(socket, "knowledge", watch, json, |answer| Ok(knowledge_text(&serde_json::from_value(answer)?)))
}

fn knowledge_text(status: &KnowledgeStatus) -> String {
    let mut text = format!("{:>11} {:>9} {:>9} reported by\n", "destination", "wait left", "age");
    for NamedWait { wait, origin_name } in &status.waits {
        let seconds = |micros: u64| micros as f64 / 1e6;
        let _ = writeln!(
            text,
            "{:>11} {:>7.1} s {:>7.1} s {}",
            wait.dest,
            seconds(wait.remaining),
            seconds(wait.age),
            origin_name.as_deref().unwrap_or("?")
        );
    }
    if status.waits.is_empty() {
        text.push_str("no destination has asked for a wait\n");
    }
    for NamedOutage { outage, reporter_names, prober_name } in &status.outages {
        let since = outage.since as f64 / 1e6;
        let _ = match outage.capacity_fraction {
            0.0 => writeln!(
                text,
                "{:>11} is down for {since:.1} s, reported by {}, probed by {}",
                outage.dest,
                reporter_names.join(", "),
                prober_name.as_deref().unwrap_or("any member with calls")
            ),
            fraction => {
                writeln!(
                    text,
                    "{:>11} recovered {since:.1} s ago: {fraction:.2} of its limit now",
                    outage.dest
                )
            }
        };
    }
    if status.is_syncing {
        text.push_str("just started: has not received the known waits and outages from another member yet\n");
    }
    if status.rejected > 0 {
        let _ = writeln!(text, "rejected: {} updates", status.rejected);
    }
    text
}

/// Explains why calls to a destination are sent or delayed now, once or periodically.
pub fn explain(socket: &Path, dest: u64, watch: bool, json: bool) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        loop {
            let limits: LimitsStatus = serde_json::from_value(ask(socket, "limits", Value::Null).await?)?;
            let knowledge: KnowledgeStatus =
                serde_json::from_value(ask(socket, "knowledge", Value::Null).await?)?;
            let limit = limits.limits.iter().find(|named| named.limit.limit == dest);
            let waits: Vec<&NamedWait> = knowledge.waits.iter().filter(|w| w.wait.dest == dest).collect();
            let outage = knowledge.outages.iter().find(|o| o.outage.dest == dest);
            if json {
                println!(
                    "{}",
                    serde_json::json!({"dest": dest, "limit": limit, "waits": waits, "outage": outage})
                );
            } else {
                if let Some(NamedOutage { outage, prober_name, .. }) = outage {
                    let prober = prober_name.as_deref().unwrap_or("any member with calls");
                    match outage.capacity_fraction {
                        0.0 => println!("{dest}: down; probed by {prober}, the other members use its result"),
                        fraction => {
                            println!("{dest}: recovered, warming up: {fraction:.2} of its limit now")
                        }
                    }
                }
                print!("{}", explanation(dest, limit, &waits));
            }
            if !watch {
                return Ok(());
            }
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
    })
}

fn explanation(dest: u64, limit: Option<&NamedLimit>, waits: &[&NamedWait]) -> String {
    let mut text = String::new();
    for NamedWait { wait, origin_name } in waits {
        let _ = writeln!(
            text,
            "{dest}: asked {} to wait, received {:.1} s ago; calls are delayed for {:.1} s more, \
             unless it serves a call of this forwarder",
            origin_name.as_deref().unwrap_or("a member"),
            wait.age as f64 / 1e6,
            wait.remaining as f64 / 1e6
        );
    }
    let Some(NamedLimit { limit, coordinator_name }) = limit else {
        let _ = writeln!(text, "{dest}: no shared limit; only the decision module of this forwarder applies");
        return text;
    };
    let LimitStatus {
        calls, right, floor, lent, borrowed, demand, floor_usable_in_ms, begun, delayed, ..
    } = limit;
    let _ = writeln!(
        text,
        "{dest}: {calls:.2} calls/s for the fleet, \
         {right:.2} calls/s for this forwarder, whose demand is {demand:.2} calls/s"
    );
    let _ = writeln!(text, "  {begun} calls started, {delayed} were delayed or never sent");
    if *floor_usable_in_ms > 0 {
        let seconds = *floor_usable_in_ms as f64 / 1000.0;
        let _ = writeln!(
            text,
            "  its floor of {floor:.2} is usable in {seconds:.1} s: an earlier process may have lent it"
        );
    } else if *lent > 0.0 {
        let _ = writeln!(text, "  {lent:.2} of its floor of {floor:.2} is lent");
    }
    if *borrowed > 0.0 {
        let coordinator = coordinator_name.as_deref().unwrap_or("the coordinator");
        let _ = writeln!(text, "  {borrowed:.2} is borrowed, granted by {coordinator}");
    }
    if demand > right {
        let _ = writeln!(text, "  calls are delayed now: the demand exceeds what this forwarder may send");
    }
    text
}

/// Asks one question and prints the answer as JSON, or as `to_text` renders it; with `watch` again each
/// second.
fn show(
    socket: &Path,
    question: &str,
    watch: bool,
    json: bool,
    to_text: impl Fn(Value) -> Result<String, Box<dyn Error>>,
) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        loop {
            let answer = ask(socket, question, Value::Null).await?;
            if json {
                println!("{answer}");
            } else {
                print!("{}", to_text(answer)?);
            }
            if !watch {
                return Ok(());
            }
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
    })
}

fn limits_text(status: &LimitsStatus) -> String {
    let mut text = format!(
        "{:>11} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} coordinator\n",
        "destination", "limit", "may send", "floor", "lent", "borrowed", "demand", "started", "delayed"
    );
    for NamedLimit { limit, coordinator_name } in &status.limits {
        let LimitStatus { calls, right, floor, lent, borrowed, demand, begun, delayed, .. } = limit;
        let _ = write!(
            text,
            "{:>11} {calls:>9.2} {right:>9.2} {floor:>9.2} {lent:>9.2} \
             {borrowed:>9.2} {demand:>9.2} {begun:>9} {delayed:>9} {}",
            limit.limit,
            coordinator_name.as_deref().unwrap_or("-")
        );
        if let Some([granted, pool]) = limit.coordinated {
            let _ = write!(text, ", pool {pool:.2}, granted {granted:.2}");
        }
        if limit.floor_usable_in_ms > 0 {
            let _ = write!(text, ", floor usable in {:.1} s", limit.floor_usable_in_ms as f64 / 1000.0);
        }
        text.push('\n');
    }
    let Refusals { unknown, stale, excessive } = status.refused;
    if status.refused != Refusals::default() {
        let _ = writeln!(
            text,
            "rejected: {unknown} messages about unknown limits, \
             {stale} loans or grants for an earlier process, {excessive} loans above the floor"
        );
    }
    text
}

fn members_text(status: &Status) -> String {
    let Status { name, incarnation, state, view, view_size, roster_size, senders, permits, .. } = status;
    let mut text = format!(
        "{name} ({incarnation}) is {state}: {view_size} of {roster_size} members in view {view}, roster {}\n",
        status.roster_version
    );
    let yes = |may| if may { "yes" } else { "no" };
    let _ = writeln!(
        text,
        "accepts messages {}, sends calls {}, holds duties {}, applies configuration {}, ready {}; \
         limits shared by {senders} senders",
        yes(permits.accept_messages),
        yes(permits.send_calls),
        yes(permits.hold_duty),
        yes(permits.configure),
        yes(permits.ready)
    );
    let _ = writeln!(
        text,
        "{:16} {:8} {:>8} {:9} {:>8} {:>8} {:16} {:>9} in view",
        "member", "zone", "boot", "state", "since", "received", "source", "support"
    );
    status.members.iter().for_each(|member| member_row(&mut text, member));
    let [unknown_senders, updates, support] = status.rejected;
    let [malformed, unknown_addresses] = status.dropped;
    if status.rejected != [0; 3] || status.dropped != [0; 2] {
        let _ = writeln!(
            text,
            "rejected: {unknown_senders} packets from unknown senders, \
             {unknown_addresses} from unknown addresses, {malformed} malformed, \
             {updates} updates, {support} support messages"
        );
    }
    text
}

fn member_row(text: &mut String, member: &MemberStatus) {
    let duration = |ms: u64| match ms {
        0..10_000 => format!("{:.1} s", ms as f64 / 1000.0),
        10_000..600_000 => format!("{} s", ms / 1000),
        _ => format!("{} min", ms / 60_000),
    };
    let MemberStatus { name, zone, incarnation, health, .. } = member;
    let received = member.last_received_ms.map_or("never".to_owned(), duration);
    let support = match (member.votes, member.support_ms) {
        (false, _) => "-".to_owned(),
        (true, 0) => "none".to_owned(),
        (true, ms) => duration(ms),
    };
    let _ = write!(
        text,
        "{name:16} {zone:8} {incarnation:>8} {:9} {:>8} {received:>8} {:16} {support:>9} {}",
        health.name(),
        duration(member.since_ms),
        member.source.as_deref().unwrap_or("-"),
        if member.in_view { "yes" } else { "no" }
    );
    match &member.other_roster {
        Some(roster) => drop(writeln!(text, "  uses roster {roster}")),
        None => text.push('\n'),
    }
}
