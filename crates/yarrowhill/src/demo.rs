//! `yarrowhill demo`: runs the forwarder as a process of its own between stand-ins on loopback, and shows its
//! progress live.

use rand::{RngExt, SeedableRng};
use std::error::Error;
use std::io::{IsTerminal, Write, stdout};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use yarrowhill_checker::{CallEnd, Effect, Entry, Event, RuleParams, accounts, judge};
use yarrowhill_standins::{
    Class, ClientOptions, ConfigParams, Destination, Discovery, Endpoint, EndpointLine, Faults, Ledger,
    Message, Process, Resources, Rng, Setup, configuration, free_address, submit,
};

const CLASSES: [Class; 2] = [
    Class { name: "auth-notice", idempotency: "token", deadline_ms: 4000 },
    Class { name: "settle-order", idempotency: "side_effect", deadline_ms: 3000 },
];
/// Retention of idempotency keys (ms).
const KEY_TTL_MS: f64 = 2000.0;
/// Time from the recovery of a destination to its full capacity (ms).
const WARM_UP_MS: f64 = 3000.0;
/// Interval between two updates of the display on a terminal. Without a terminal, one line per second shows
/// the progress.
const FRAME_INTERVAL: Duration = Duration::from_millis(200);

/// A destination of the demo.
struct Partner {
    name: &'static str,
    description: &'static str,
    kind: &'static str,
    endpoints: usize,
    latency_ms: f64,
    limit: f64,
    faults: Faults,
}

fn partners() -> Vec<Partner> {
    let no_faults = Faults::default();
    let partner = |name, description, kind, endpoints, latency_ms, limit, faults| Partner {
        name,
        description,
        kind,
        endpoints,
        latency_ms,
        limit,
        faults,
    };
    vec![
        partner("issuer-a", "takes batches, no faults", "several", 2, 60.0, 40.0, no_faults.clone()),
        partner(
            "issuer-b",
            "goes down for a while, recovers cold",
            "several",
            2,
            60.0,
            30.0,
            no_faults.clone(),
        ),
        partner("fleet-c", "no faults", "plain", 2, 40.0, 60.0, no_faults.clone()),
        partner(
            "station-d",
            "errors and malformed responses",
            "plain",
            1,
            50.0,
            40.0,
            Faults { error: 0.08, malformed: 0.12, ..no_faults.clone() },
        ),
        partner(
            "station-e",
            "hangs occasionally",
            "plain",
            1,
            50.0,
            40.0,
            Faults { silent: 0.08, ..no_faults },
        ),
    ]
}

/// Runs the demo. It succeeds only if every message is accounted for and no rule is broken.
pub(crate) fn run(seconds: u64, rate: u64, seed: u64) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(run_async(seconds as f64 * 1000.0, rate as f64, seed))
}

async fn run_async(traffic_ms: f64, rate: f64, seed: u64) -> Result<(), Box<dyn Error>> {
    let ledger = Ledger::default();
    let mut rng = Rng::seed_from_u64(seed);
    let partners = partners();
    let (mut dests, mut endpoints, mut lines) = (Vec::new(), Vec::new(), Vec::new());
    for (n, p) in partners.iter().enumerate() {
        let dest = Destination::new(
            n as u64,
            p.latency_ms,
            p.limit,
            p.faults.clone(),
            Rng::from_rng(&mut rng),
            ledger.clone(),
        );
        for e in 0..p.endpoints {
            let endpoint =
                Endpoint::start(&format!("{}-{e}", p.name), ([127, 0, 0, 1], 0).into(), &dest).await?;
            lines.push(EndpointLine::new(&endpoint.uid, endpoint.addr, n as u64, p.kind, p.limit));
            endpoints.push(endpoint);
        }
        dests.push(dest);
    }
    let discovery = Discovery::start(lines.clone(), ledger.clone()).await?;
    let params = ConfigParams {
        classes: CLASSES.to_vec(),
        key_ttl_ms: KEY_TTL_MS,
        goal_time_ms: 800.0,
        slots: 24,
        fail_back: [2.0, 1000.0, 0.17, WARM_UP_MS],
        seed,
        resources: Resources::default(),
    };
    let config = configuration(&params, free_address()?, discovery.addr, &lines);
    let folder = std::env::temp_dir().join(format!("yarrowhill-demo-{}", std::process::id()));
    let setup = Setup {
        program: std::env::current_exe()?,
        folder: folder.clone(),
        env: Vec::new(),
        max_file_bytes: None,
        max_descriptors: None,
    };
    let mut process = Process::start(setup, &config, &ledger).await?;
    println!("The forwarder listens at {}, between {} stand-ins.", process.addr, endpoints.len());

    let start = Instant::now();
    let clients =
        tokio::spawn(run_clients(process.addr, traffic_ms, rate, rng, dests.clone(), ledger.clone()));
    let outage = [traffic_ms * 0.25, traffic_ms * 0.5];
    let max_deadline = CLASSES.iter().map(|c| c.deadline_ms).max().unwrap_or(0) as f64;
    let end = traffic_ms + max_deadline + 600.0;
    let mut screen = Screen::new();
    let (mut is_down, mut has_recovered) = (false, false);
    loop {
        let now = start.elapsed().as_secs_f64() * 1000.0;
        if !is_down && now >= outage[0] {
            is_down = true;
            dests[1].go_down(true, outage[1] - outage[0]);
        }
        if !has_recovered && now >= outage[1] {
            has_recovered = true;
            dests[1].recover(WARM_UP_MS);
        }
        if let Some(status) = process.try_exit_status()? {
            return Err(format!("the forwarder ended unexpectedly: {status}").into());
        }
        let entries = ledger.entries();
        screen.draw(now, end, &partners, &entries)?;
        let open: usize = accounts(&entries).values().map(|a| a.open).sum();
        if now >= end || (now >= traffic_ms + 600.0 && clients.is_finished() && open == 0) {
            break;
        }
        sleep(FRAME_INTERVAL).await;
    }
    clients.await?;
    let entries = ledger.entries();
    process.signal("TERM").await?;
    process.wait_exit(Duration::from_secs(5)).await?;
    // The temporary folder is of no further use; a failure to remove it is harmless.
    let _ = std::fs::remove_dir_all(&folder);
    print_summary(&entries)
}

async fn run_clients(
    forwarder: std::net::SocketAddr,
    traffic_ms: f64,
    rate: f64,
    mut rng: Rng,
    dests: Vec<Destination>,
    ledger: Ledger,
) {
    let start = Instant::now();
    let (mut at, mut tasks) = (0.0, JoinSet::new());
    for n in 0.. {
        at += -rng.random::<f64>().max(1e-9).ln() * 1000.0 / rate;
        if at > traffic_ms {
            break;
        }
        sleep_until(start + Duration::from_secs_f64(at / 1000.0)).await;
        let class = CLASSES[usize::from(rng.random_bool(0.36))];
        // Orders (`settle-order`) go to the two issuers, notices to all partners.
        let dest = rng.random_range(0..if class.idempotency == "token" { dests.len() as u64 } else { 2 });
        let mut message = Message {
            id: format!("m{n}"),
            class: class.name.to_owned(),
            dest,
            owner: "acme".to_owned(),
            deadline_ms: class.deadline_ms,
            body_bytes: 200,
        };
        let ledger = ledger.clone();
        tasks.spawn(async move {
            let (_, wait) = submit(forwarder, &message, ClientOptions::default(), &ledger).await;
            // A message that is refused with a wait is submitted once more after it.
            if let Some(wait) = wait {
                sleep(Duration::from_secs_f64(wait / 1000.0)).await;
                message.id.push_str("-again");
                submit(forwarder, &message, ClientOptions::default(), &ledger).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

/// Display of the progress, redrawn in place on a terminal.
struct Screen {
    is_terminal: bool,
    /// Number of lines of the last frame.
    lines: usize,
    /// Time of the last progress line without a terminal (ms).
    last_line_at: f64,
}

impl Screen {
    fn new() -> Self {
        Screen { is_terminal: stdout().is_terminal(), lines: 0, last_line_at: -1000.0 }
    }

    fn draw(&mut self, now: f64, end: f64, partners: &[Partner], entries: &[Entry]) -> std::io::Result<()> {
        if !self.is_terminal {
            if now >= self.last_line_at + 1000.0 {
                self.last_line_at = now;
                let sum = |count: fn(&yarrowhill_checker::Account) -> usize| {
                    accounts(entries).values().map(count).sum::<usize>()
                };
                println!(
                    "{:4.1} s: {} accepted, {} delivered, {} open",
                    now / 1000.0,
                    sum(|a| a.taken_on),
                    sum(|a| a.delivered),
                    sum(|a| a.open)
                );
            }
            return Ok(());
        }
        let bar_length = ((now / end).clamp(0.0, 1.0) * 40.0) as usize;
        let mut text = vec![format!("[{:40}] {:4.1} s", "#".repeat(bar_length), now / 1000.0)];
        text.extend(class_table(entries));
        text.push(String::new());
        text.push(format!(
            "{:10} {:>6} {:>9} {:>8} {:>6} {:>8}",
            "partner", "calls", "delivered", "refused", "other", "in flight"
        ));
        for (n, p) in partners.iter().enumerate() {
            let [calls, delivered, refused, other] = count_calls(n as u64, entries);
            let in_flight = calls.saturating_sub(delivered + refused + other);
            text.push(format!(
                "{:10} {calls:6} {delivered:9} {refused:8} {other:6} {in_flight:8}   {}",
                p.name, p.description
            ));
        }
        let mut output = stdout().lock();
        if self.lines > 0 {
            write!(output, "\x1b[{}A", self.lines)?;
        }
        for line in &text {
            writeln!(output, "\x1b[2K{line}")?;
        }
        self.lines = text.len();
        output.flush()
    }
}

/// Returns the lines of a table of the messages by class.
fn class_table(entries: &[Entry]) -> Vec<String> {
    let mut text = vec![format!(
        "{:14} {:>6} {:>7} {:>8} {:>9} {:>8} {:>11} {:>5}",
        "class", "sent", "refused", "accepted", "delivered", "given up", "handed back", "open"
    )];
    for (class, a) in accounts(entries) {
        text.push(format!(
            "{class:14} {:6} {:7} {:8} {:9} {:8} {:11} {:5}",
            a.sent,
            a.refused + a.failed,
            a.taken_on,
            a.delivered,
            a.given_up,
            a.handed_back + a.over,
            a.open
        ));
    }
    text
}

/// Counts the calls to a partner: all, delivered, refused, and ended otherwise.
fn count_calls(partner: u64, entries: &[Entry]) -> [usize; 4] {
    let mut calls = std::collections::BTreeSet::new();
    let mut count = [0; 4];
    for entry in entries {
        match &entry.event {
            Event::Called { call, dest, .. } if *dest == partner => {
                calls.insert(*call);
                count[0] += 1;
            }
            Event::Answered { call, ends, .. } if calls.contains(call) => {
                count[match ends.first() {
                    Some((_, CallEnd::Delivered)) => 1,
                    Some((_, CallEnd::NeverRan)) => 2,
                    _ => 3,
                }] += 1;
            }
            Event::Broke { call } if calls.contains(call) => count[3] += 1,
            _ => {}
        }
    }
    count
}

/// Prints the outcomes. Returns an error if a message is not accounted for or a rule is broken.
fn print_summary(entries: &[Entry]) -> Result<(), Box<dyn Error>> {
    println!("\nOutcomes:");
    class_table(entries).iter().for_each(|line| println!("{line}"));
    let effect =
        |c: &Class| if c.idempotency == "token" { Effect::Keyed(KEY_TTL_MS) } else { Effect::Unsafe };
    let params = RuleParams {
        classes: CLASSES.iter().map(|c| (c.name.to_owned(), effect(c))).collect(),
        overload_for_ms: 1000.0,
        warm_up_ms: WARM_UP_MS,
        ..RuleParams::default()
    };
    let breaches = judge(&params, entries);
    let accounts = accounts(entries);
    let open: usize = accounts.values().map(|a| a.open).sum();
    for (class, a) in &accounts {
        let ends = a.delivered + a.given_up + a.handed_back + a.over + a.open;
        println!(
            "{class}: {} accepted = {} delivered + {} given up + {} handed back + {} over + {} open",
            a.taken_on, a.delivered, a.given_up, a.handed_back, a.over, a.open
        );
        if ends != a.taken_on || a.sent != a.taken_on + a.refused + a.failed {
            return Err(format!(
                "{class}: outcomes do not add up: {} accepted and {ends} ended or open, {} sent",
                a.taken_on, a.sent
            )
            .into());
        }
    }
    breaches.iter().for_each(|b| println!("rule broken: {b}"));
    if open > 0 || !breaches.is_empty() {
        return Err(
            format!("{open} messages not accounted for, {} violations of the rules", breaches.len()).into()
        );
    }
    println!("Every message is accounted for; none of the six rules is broken.");
    Ok(())
}
