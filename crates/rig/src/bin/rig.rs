//! Command line of the fault-injection rig.

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use yarrowhill_checker::{LimitUse, OutageReport, Rule, vacancies};
use yarrowhill_rig::{
    Bug, Cell, FleetOutcome, FleetScene, Load, RunOutcome, ScratchBuild, Script, Sharing, Sweep, count,
    directed_scenes, duty_scenes, limit_scenes, outage_scenes, patched_files, play_load, play_scenes, sweep,
};

/// Plays seeded fault scripts and fleet scenes against the forwarder, and checks the six rules.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays the scripts of many seeds in parallel.
    Run {
        /// Number of seeds.
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        /// First seed.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Maximum number of concurrent runs.
        #[arg(long, default_value_t = 24)]
        jobs: usize,
        /// Builds the program with this bug planted first.
        #[arg(long, value_parser = bug)]
        bug: Option<Bug>,
        /// Number of shards of the forwarder.
        #[arg(long, default_value_t = 1)]
        shards: usize,
        /// Has all endpoints write answers twice.
        #[arg(long)]
        copies: bool,
    },
    /// Plays one seed and prints its script and its breaches.
    Seed {
        /// The seed.
        seed: u64,
        /// Builds the program with this bug planted first.
        #[arg(long, value_parser = bug)]
        bug: Option<Bug>,
        /// Prints every ledger entry that contains this message id.
        #[arg(long)]
        message: Option<String>,
        /// Number of shards of the forwarder.
        #[arg(long, default_value_t = 1)]
        shards: usize,
        /// Has all endpoints write answers twice.
        #[arg(long)]
        copies: bool,
    },
    /// Prints the script of a seed.
    Show {
        /// The seed.
        seed: u64,
    },
    /// Plants each bug in turn, in a scratch copy, and prints the breach that catches it.
    Bugs {
        /// Maximum number of runs for each bug.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Maximum number of concurrent runs.
        #[arg(long, default_value_t = 20)]
        jobs: usize,
        /// Plants this bug only.
        #[arg(long, value_parser = bug)]
        only: Option<Bug>,
        /// Only checks that each patch applies.
        #[arg(long)]
        fit: bool,
    },
    /// Prints statistics over the debug logs of many forwarders.
    Count {
        /// Debug logs, one for each forwarder.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// What each row is for.
        #[arg(long, value_enum, default_value_t = By::Destination)]
        by: By,
        /// Prints every log line that contains this message id, ordered by time, instead of statistics.
        #[arg(long)]
        message: Option<String>,
        /// Prints for each restart what became of the messages that it found with half of their time left,
        /// instead of statistics.
        #[arg(long, conflicts_with = "message")]
        restarts: bool,
    },
    /// Plays chaos scenes over several processes that form a fleet.
    Fleet {
        /// Plays the scene of this document.
        #[arg(long)]
        scene: Option<PathBuf>,
        /// Plays the directed scenes of membership, one for each hard case.
        #[arg(long)]
        directed: bool,
        /// Plays the directed scenes of a shared limit.
        #[arg(long)]
        limited: bool,
        /// Plays the directed scenes of destinations that are down and recover.
        #[arg(long)]
        returning: bool,
        /// Plays the directed scenes of duties.
        #[arg(long)]
        dutiful: bool,
        /// Number of seeds with duties.
        #[arg(long, default_value_t = 0)]
        dutiful_seeds: u64,
        /// Number of seeds with a shared limit.
        #[arg(long, default_value_t = 0)]
        limited_seeds: u64,
        /// Plays only those scenes whose name contains this text.
        #[arg(long)]
        only: Option<String>,
        /// Plays each scene in all four ways to share a limit; only the one with rights is judged by the
        /// fleet rules.
        #[arg(long)]
        compare: bool,
        /// Number of seeds.
        #[arg(long, default_value_t = 0)]
        seeds: u64,
        /// First seed.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Maximum number of concurrent scenes.
        #[arg(long, default_value_t = 6)]
        jobs: usize,
        /// Another build of the program, for every second process.
        #[arg(long)]
        beside: Option<PathBuf>,
        /// Prints the ledger: all injected faults and reports of the processes.
        #[arg(long)]
        ledger: bool,
        /// Folder of the scene, for access to its processes: `FOLDER/0/state` is the state folder of process
        /// 0.
        #[arg(long, requires = "scene")]
        folder: Option<PathBuf>,
        /// Prints each act when it is due.
        #[arg(long, requires = "scene")]
        show: bool,
    },
    /// Submits many messages per second, some of them again, and counts those that ran twice.
    Load(LoadArgs),
}

/// Rows of the printed statistics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum By {
    /// One row per destination.
    Destination,
    /// One row per forwarder.
    Forwarder,
    /// One row per second.
    Second,
    /// One row for everything.
    All,
}

#[derive(Args)]
struct LoadArgs {
    /// Messages per second.
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// Duration (s).
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Number of clients, each with a persistent connection.
    #[arg(long, default_value_t = 32)]
    clients: usize,
    /// Share of the messages that must not be repeated which are submitted again one second later.
    #[arg(long, default_value_t = 0.1)]
    again: f64,
    /// Time from submission to the deadline of a message (ms).
    #[arg(long, default_value_t = 6000)]
    deadline_ms: u64,
    /// Number of SIGKILLs.
    #[arg(long, default_value_t = 0)]
    kills: usize,
    /// Disk limit of the forwarder (MB).
    #[arg(long, default_value_t = 3.0)]
    disk_mb: f64,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of shards of the forwarder after each of its starts, separated by commas; the last number
    /// applies to further starts.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    shards: Vec<usize>,
    /// Number of destinations.
    #[arg(long, default_value_t = 8)]
    dests: usize,
    /// Builds the program with this bug planted first.
    #[arg(long, value_parser = bug)]
    bug: Option<Bug>,
}

fn bug(name: &str) -> Result<Bug, String> {
    let names: Vec<&str> = Bug::ALL.iter().map(|bug| bug.name()).collect();
    Bug::named(name).ok_or_else(|| format!("must be one of {}", names.join(", ")))
}

fn main() -> ExitCode {
    let run = || -> io::Result<bool> {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        runtime.block_on(command(Cli::parse().command))
    };
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("rig: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the path of the program: the one next to this executable, or a build with a planted bug.
fn program_path(bug: Option<Bug>) -> io::Result<PathBuf> {
    if let Some(bug) = bug {
        println!("building the program with {} ...", bug.name());
        return ScratchBuild::open().and_then(|scratch| scratch.build(bug)).map_err(io::Error::other);
    }
    let path = std::env::current_exe()?.with_file_name("yarrowhill-faulty");
    match path.exists() {
        true => Ok(path),
        false => {
            Err(io::Error::other("yarrowhill-faulty is not built; run cargo build -p yarrowhill-rig --bins"))
        }
    }
}

/// Reads and parses the document of a scene.
fn read_scene(path: &Path) -> io::Result<FleetScene> {
    let text = std::fs::read_to_string(path).map_err(|e| unreadable("scene", path, &e))?;
    let invalid = |e| io::Error::other(format!("invalid scene {}: {e}", path.display()));
    FleetScene::parse(&text).map_err(invalid)
}

/// Adds the path to the error of a file that cannot be read.
fn unreadable(kind: &str, path: &Path, e: &io::Error) -> io::Error {
    io::Error::new(e.kind(), format!("cannot read {kind} {}: {e}", path.display()))
}

fn progress_bar(len: u64, label: &str) -> ProgressBar {
    let style = ProgressStyle::with_template("{prefix} [{bar:40}] {pos}/{len} {msg}");
    let bar = ProgressBar::new(len).with_prefix(label.to_owned());
    style.map_or(bar.clone(), |style| bar.with_style(style))
}

async fn command(command: Command) -> io::Result<bool> {
    match command {
        Command::Run { seeds, from, jobs, bug, shards, copies } => {
            run(from..from + seeds, jobs, bug, shards, copies).await
        }
        Command::Seed { seed, bug, message, shards, copies } => {
            let script = Script::draw(seed);
            let script = if copies { script.with_copied_answers() } else { script };
            println!("{}", serde_json::to_string_pretty(&script)?);
            let program = program_path(bug)?;
            let plan = Sweep {
                program: &program,
                seeds: vec![seed],
                jobs: 1,
                bug: None,
                shards,
                copied_answers: copies,
                stop_at_first: false,
            };
            let mut clean = true;
            sweep(plan, |_, outcome| {
                clean = outcome.is_clean();
                print_outcome(outcome, message.as_deref());
            })
            .await?;
            Ok(clean)
        }
        Command::Show { seed } => {
            println!("{}", serde_json::to_string_pretty(&Script::draw(seed))?);
            Ok(true)
        }
        Command::Bugs { fit: true, .. } => {
            for bug in Bug::ALL {
                let files = patched_files(*bug).map_err(io::Error::other)?;
                println!(
                    "{:36} {}",
                    bug.name(),
                    files.keys().map(|f| f.display().to_string()).collect::<String>()
                );
            }
            Ok(true)
        }
        Command::Bugs { seeds, jobs, only, fit: false } => bugs(seeds, jobs, only).await,
        Command::Load(args) => load(args).await,
        Command::Count { logs, restarts: true, .. } => print_restarts(&logs),
        Command::Count { logs, by, message, .. } => match message {
            Some(message) => print_message_lines(&logs, &message),
            None => Ok(print_counts(&logs, by)),
        },
        Command::Fleet { scene: Some(path), folder: Some(folder), ledger, show, .. } => {
            let scene = read_scene(&path)?;
            let acts = scene.acts.clone();
            if show {
                tokio::spawn(async move {
                    let start = std::time::Instant::now();
                    for (at, act) in acts {
                        let pause = std::time::Duration::from_secs_f64(at / 1000.0);
                        tokio::time::sleep(pause.saturating_sub(start.elapsed())).await;
                        println!("{:6.1} s  {act:?}", at / 1000.0);
                    }
                });
            }
            let _ = std::fs::remove_dir_all(&folder);
            let outcome = yarrowhill_rig::play_scene(&scene, &[&program_path(None)?], &folder).await?;
            if ledger {
                for entry in &outcome.ledger {
                    println!("{:8.1} {}", entry.at, serde_json::to_string(&entry.event).unwrap_or_default());
                }
            }
            if show {
                print_changes(&outcome);
            }
            outcome.breaches.iter().for_each(|b| println!("{b}"));
            outcome.rule_breaches.iter().for_each(|(n, b)| println!("{n}: {b}"));
            println!("{}: {}", scene.name, if outcome.is_clean() { "all rules kept" } else { "not clean" });
            Ok(outcome.is_clean())
        }
        Command::Fleet {
            scene,
            directed,
            limited,
            returning,
            dutiful,
            dutiful_seeds,
            limited_seeds,
            compare,
            only,
            seeds,
            from,
            jobs,
            ledger,
            beside,
            ..
        } => {
            let mut scenes = Vec::new();
            if let Some(path) = scene {
                scenes.push(read_scene(&path)?);
            }
            if directed {
                scenes.extend(directed_scenes());
            }
            scenes.extend((from..from + seeds).map(FleetScene::draw));
            scenes.extend(if limited { limit_scenes() } else { Vec::new() });
            scenes.extend(if returning { outage_scenes() } else { Vec::new() });
            scenes.extend(if dutiful { duty_scenes() } else { Vec::new() });
            scenes.extend((from..from + dutiful_seeds).map(FleetScene::draw_with_duties));
            scenes.extend((from..from + limited_seeds).map(FleetScene::draw_with_limit));
            if let Some(only) = only {
                scenes.retain(|scene| scene.name.contains(&only));
            }
            if compare {
                let sharings = [Sharing::Rights, Sharing::Apart, Sharing::Even, Sharing::Alone];
                let with_sharing = |scene: &FleetScene, sharing| {
                    let (limit, name) = (scene.limit.map(|(calls, _)| (calls, sharing)), &scene.name);
                    FleetScene { limit, name: format!("{name}, {sharing:?}"), ..scene.clone() }
                };
                scenes = scenes
                    .iter()
                    .flat_map(|scene| sharings.map(|sharing| with_sharing(scene, sharing)))
                    .collect();
            }
            fleet(scenes, jobs, ledger, beside).await
        }
    }
}

async fn run(
    seeds: std::ops::Range<u64>,
    jobs: usize,
    bug: Option<Bug>,
    shards: usize,
    copied_answers: bool,
) -> io::Result<bool> {
    let program = program_path(bug)?;
    let count = seeds.end - seeds.start;
    let bar = progress_bar(count, bug.map_or("seeds", Bug::name));
    let (mut messages, mut max_lateness) = (0, 0.0f64);
    let plan = Sweep {
        program: &program,
        seeds: seeds.collect(),
        jobs,
        bug: None,
        shards,
        copied_answers,
        stop_at_first: false,
    };
    let unclean = sweep(plan, |_, outcome| {
        messages += outcome.accounts.values().map(|a| a.sent).sum::<usize>();
        max_lateness = max_lateness.max(outcome.lateness_ms);
        bar.inc(1);
    })
    .await?;
    bar.finish();
    println!("{count} seeds, {messages} messages, rig clocks at most {max_lateness:.0} ms late");
    for rule in Rule::ALL {
        let breaks_rule = |p: &RunOutcome| p.breaches.iter().any(|b| b.rule == rule);
        println!("{rule:?}: broken by {}", unclean.iter().filter(|(_, p)| breaks_rule(p)).count());
    }
    for (seed, outcome) in &unclean {
        println!("seed {seed}: replay with `rig seed {seed}`");
        outcome.crashed.iter().for_each(|why| println!("  {why}"));
        outcome.breaches.iter().take(5).for_each(|b| println!("  {b}"));
    }
    Ok(unclean.is_empty())
}

fn print_outcome(outcome: &RunOutcome, message: Option<&str>) {
    for entry in &outcome.ledger {
        let text = serde_json::to_string(&entry.event).unwrap_or_default();
        if message.is_some_and(|m| text.contains(m)) {
            println!("{:8.1} {text}", entry.at);
        }
    }
    outcome.accounts.iter().for_each(|(class, account)| println!("{class}: {account:?}"));
    println!("rig clocks at most {:.0} ms late", outcome.lateness_ms);
    outcome.crashed.iter().for_each(|why| println!("{why}"));
    outcome.breaches.iter().for_each(|b| println!("{b}"));
    outcome.fleet_breaches.iter().for_each(|b| println!("{b}"));
}

async fn bugs(seeds: u64, jobs: usize, only: Option<Bug>) -> io::Result<bool> {
    let scratch = ScratchBuild::open().map_err(io::Error::other)?;
    let wanted: Vec<Bug> =
        Bug::ALL.iter().copied().filter(|bug| only.is_none_or(|only| only == *bug)).collect();
    let bar = progress_bar(wanted.len() as u64, "bugs");
    let mut all = true;
    for bug in wanted {
        bar.set_message(bug.name());
        let program = scratch.build(bug).map_err(io::Error::other)?;
        let plan = Sweep {
            program: &program,
            seeds: (0..seeds).collect(),
            jobs,
            bug: Some(bug),
            shards: 1,
            copied_answers: false,
            stop_at_first: true,
        };
        let caught = sweep(plan, |_, _| {}).await?;
        let line = match caught.first() {
            Some((seed, outcome)) => match (outcome.breaches.first(), outcome.fleet_breaches.first()) {
                (Some(b), _) => format!("{:36} seed {seed:3}: {b}", bug.name()),
                (_, Some(b)) => format!("{:36} seed {seed:3}: {b}", bug.name()),
                _ => format!("{:36} seed {seed:3}: {:?}", bug.name(), outcome.crashed),
            },
            None => {
                all = false;
                format!("{:36} not caught in {seeds} seeds", bug.name())
            }
        };
        if bug.is_in_io_free_package() {
            // Prints the result of the runs already, as `attack` takes long.
            bar.println(&line);
        }
        let line = match bug.is_in_io_free_package().then(|| scratch.attack(bug)) {
            None => line,
            Some(Ok(Some(breach))) => format!("{line}; {breach}"),
            Some(Ok(None)) => {
                all = false;
                format!("{line}; not caught by attack")
            }
            Some(Err(e)) => return Err(io::Error::other(e)),
        };
        bar.println(&line);
        if bar.is_hidden() {
            println!("{line}");
        }
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok(all)
}

async fn load(args: LoadArgs) -> io::Result<bool> {
    let LoadArgs { rate, seconds, clients, again, deadline_ms, kills, disk_mb, seed, shards, dests, bug } =
        args;
    if !(rate > 0.0 && seconds > 0.0 && seconds <= 600.0 && (0.0..=1.0).contains(&again) && clients <= 512) {
        return Err(io::Error::other(format!(
            "out of range: rate {rate} must be above 0, seconds {seconds} above 0 and at most 600, \
             again {again} from 0 to 1, clients {clients} at most 512"
        )));
    }
    let program = program_path(bug)?;
    let load = Load {
        seed,
        rate,
        duration_secs: seconds,
        clients,
        resubmit_share: again,
        deadline_ms,
        kills,
        disk_mb,
        dests: dests.max(1),
        shards,
    };
    let folder = std::env::temp_dir().join(format!("yarrowhill-load-{}", std::process::id()));
    let bar = progress_bar(0, "load").with_message("playing");
    bar.enable_steady_tick(std::time::Duration::from_millis(200));
    let outcome = play_load(&load, &program, &folder).await;
    bar.finish_and_clear();
    // Best effort: nothing uses the folder after the run.
    let _ = std::fs::remove_dir_all(&folder);
    let outcome = outcome?;
    println!("offered     {rate:.0} messages per second for {seconds} s, {kills} SIGKILLs, {disk_mb} MB");
    println!("answered    {:.0} per second", outcome.answered_per_sec);
    println!("sent        {}", outcome.total(|a| a.sent));
    println!("taken on    {}", outcome.total(|a| a.taken_on));
    let delivered = outcome.total(|a| a.delivered);
    println!("delivered   {delivered} ({:.0} per second)", delivered as f64 / seconds);
    println!("refused     {}", outcome.total(|a| a.refused));
    println!("resubmitted {:?} (status: messages)", outcome.resubmitted);
    println!("duplicates  {}", outcome.duplicates());
    println!("rig clocks  at most {:.0} ms late", outcome.lateness_ms);
    outcome.crashed.iter().for_each(|why| println!("{why}"));
    outcome.breaches.iter().take(10).for_each(|b| println!("{b}"));
    Ok(outcome.is_clean())
}

/// Prints every line about a message over all logs, ordered by time; returns whether there is one.
fn print_message_lines(logs: &[PathBuf], message: &str) -> io::Result<bool> {
    let mut found = Vec::new();
    for log in logs {
        let name = log.file_stem().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
        let file = std::fs::File::open(log).map_err(|e| unreadable("log", log, &e))?;
        for line in io::BufRead::split(io::BufReader::new(file), b'\n') {
            let line = String::from_utf8_lossy(&line?).into_owned();
            if line.contains(message) {
                found.push((line, name.clone()));
            }
        }
    }
    found.sort();
    found.iter().for_each(|(line, name)| println!("{name:8} {line}"));
    Ok(!found.is_empty())
}

/// Prints statistics over logs; returns whether all logs could be read completely.
/// Prints a row for each restart, with the counts of all messages and of unsafe ones.
fn print_restarts(logs: &[PathBuf]) -> io::Result<bool> {
    let columns = "untried  sent  given-up  in-flight  given-up";
    println!("{:24} {:>10}  | all: {columns} | unsafe: {columns}", "log", "at (s)");
    for log in logs {
        for restart in yarrowhill_rig::restarts(log)? {
            let row = |f: &yarrowhill_rig::Found| {
                format!(
                    "{:>7} {:>5} {:>9} {:>10} {:>9}",
                    f.untried, f.untried_sent, f.untried_given_up, f.in_flight, f.in_flight_given_up
                )
            };
            let at = restart.at_us.rem_euclid(3_600_000_000) as f64 / 1e6;
            println!(
                "{:24} {at:>10.3}  |      {} |         {}",
                log.display(),
                row(&restart.all),
                row(&restart.unsafe_only)
            );
        }
    }
    Ok(true)
}

fn print_counts(logs: &[PathBuf], by: By) -> bool {
    let counts = count(logs);
    let mut rows: BTreeMap<String, Cell> = BTreeMap::new();
    let first = counts.cells.keys().map(|(.., second)| *second).min().unwrap_or(0);
    for ((forwarder, dest, second), cell) in &counts.cells {
        let row = match by {
            By::Destination => format!("{dest:>8}"),
            By::Forwarder => counts.forwarders[*forwarder].clone(),
            By::Second => format!("{:>5} s", second - first),
            By::All => "all".to_owned(),
        };
        rows.entry(row).or_default().add(cell);
    }
    let header: Vec<String> =
        Cell::default().columns().iter().map(|(name, _)| format!("{name:>12}")).collect();
    println!("{:12}{}", "", header.concat());
    for (row, cell) in &rows {
        let values: Vec<String> = cell.columns().iter().map(|(_, n)| format!("{n:>12}")).collect();
        println!("{row:12}{}", values.concat());
    }
    println!("{} forwarders, {} messages, {} delivered", logs.len(), counts.messages, counts.delivered);
    counts.suspected_totals.iter().for_each(|(what, n)| println!("{n} {what}"));
    for suspect in counts.suspected_breaches.iter().take(20) {
        let at = suspect.at_us as f64 / 1e6 - first as f64;
        println!(
            "  {} at {at:.3} s in {}: {}",
            suspect.id, counts.forwarders[suspect.forwarder], suspect.rule
        );
    }
    counts.log_errors.iter().for_each(|(path, what)| eprintln!("{}: {what}", path.display()));
    counts.log_errors.is_empty()
}

async fn fleet(
    scenes: Vec<FleetScene>,
    jobs: usize,
    ledger: bool,
    beside: Option<PathBuf>,
) -> io::Result<bool> {
    let program = program_path(None)?;
    let bar = progress_bar(scenes.len() as u64, "scenes");
    let count = scenes.len();
    let (mut unclean, mut taken_on, mut max_lateness) = (0, 0, 0.0f64);
    let mut gaps: Vec<f64> = Vec::new();
    let mut report = |scene: &FleetScene, outcome: &FleetOutcome| {
        bar.inc(1);
        taken_on += outcome.taken_on;
        max_lateness = max_lateness.max(outcome.lateness_ms);
        if ledger {
            for entry in &outcome.ledger {
                println!("{:8.1} {}", entry.at, serde_json::to_string(&entry.event).unwrap_or_default());
            }
        }
        if let (Some((limit, sharing)), Some((at, excess))) = (scene.limit, outcome.limit_use.excess) {
            let LimitUse { used, calls, .. } = outcome.limit_use;
            println!(
                "{}: {calls} calls, {used:.2} of the limit of {limit:.1} per second; \
                 largest excess {excess:.1} at {at:.0} ms",
                scene.name
            );
            for OutageReport {
                dest,
                calls_while_down,
                allowed_while_down,
                excess,
                allowed_excess,
                full_use_ms,
                ..
            } in &outcome.outages
            {
                let full_use =
                    full_use_ms.map_or("never".to_owned(), |ms| format!("after {:.1} s", ms / 1000.0));
                println!(
                    "  {dest}: {calls_while_down} calls while down (allowed {allowed_while_down:.0}), \
                     {excess:.1} beyond its capacity during warm-up (allowed {allowed_excess:.0}), \
                     full use {full_use}"
                );
            }
            if sharing != Sharing::Rights && outcome.rule_breaches.is_empty() && outcome.crashed.is_empty() {
                return;
            }
        }
        gaps.extend(vacancies(&outcome.ledger));
        if !outcome.is_clean() {
            unclean += 1;
            println!("{} ({:.0} ms late):", scene.name, outcome.lateness_ms);
            outcome.breaches.iter().take(3).for_each(|b| println!("  {b}"));
            outcome.rule_breaches.iter().take(3).for_each(|(n, b)| println!("  {n}: {b}"));
            outcome.crashed.iter().for_each(|c| println!("  {c}"));
        }
    };
    let mut programs = vec![program.as_path()];
    programs.extend(beside.as_deref());
    play_scenes(scenes, &programs, jobs, &mut report).await?;
    bar.finish_and_clear();
    gaps.sort_by(f64::total_cmp);
    if let (Some(median), Some(max)) = (gaps.get(gaps.len() / 2), gaps.last()) {
        let changes = gaps.len();
        println!(
            "{changes} changes of a duty's holder: vacant for {median:.0} ms (median), {max:.0} ms (maximum)"
        );
    }
    println!(
        "{count} scenes, {unclean} not clean; {taken_on} messages taken on, \
         rig clocks at most {max_lateness:.0} ms late"
    );
    Ok(unclean == 0)
}

/// Prints when the membership state, the view, or the share of the limits changed at each process.
fn print_changes(outcome: &FleetOutcome) {
    let mut last: BTreeMap<usize, (String, usize, usize)> = BTreeMap::new();
    for entry in &outcome.ledger {
        let yarrowhill_checker::FleetEvent::Claimed(claim) = &entry.event else { continue };
        let now = (claim.membership_state.clone(), claim.members.len(), claim.senders);
        if last.get(&claim.process) != Some(&now) {
            let (state, members, senders) = &now;
            println!(
                "{:7.2} s  {}: {state}, {members} members in its view, limits shared by {senders}",
                entry.at / 1000.0,
                claim.process
            );
            last.insert(claim.process, now);
        }
    }
}
