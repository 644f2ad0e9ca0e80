//! The fault rig's command line.

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use yarrowhill_checker::{LimitUse, OutageReport, Rule, vacancies};
use yarrowhill_rig::{
    Bug, Cell, FleetOutcome, FleetScene, Load, RunOutcome, ScratchBuild, Script, Sharing, Sweep, count,
    directed_scenes, duty_scenes, limit_scenes, outage_scenes, patched_files, play_load, play_scenes, sweep,
};

/// Plays scripted faults by seeds against the forwarder and judges the six rules.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays many seeds beside each other.
    Run {
        /// How many.
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        /// The first.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Runs at once.
        #[arg(long, default_value_t = 24)]
        jobs: usize,
        /// Builds the program with this bug planted first.
        #[arg(long, value_parser = bug)]
        bug: Option<Bug>,
        /// The forwarder's shards.
        #[arg(long, default_value_t = 1)]
        shards: usize,
    },
    /// Plays one seed and prints its script and its breaches.
    Seed {
        /// Which.
        seed: u64,
        /// Builds the program with this bug planted first.
        #[arg(long, value_parser = bug)]
        bug: Option<Bug>,
        /// Prints every entry that names this message.
        #[arg(long)]
        message: Option<String>,
        /// The forwarder's shards.
        #[arg(long, default_value_t = 1)]
        shards: usize,
    },
    /// Prints the script of a seed.
    Show {
        /// Which.
        seed: u64,
    },
    /// Plants each bug in turn, in a scratch copy, and tells what catches it.
    Bugs {
        /// Runs of what is made for each.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Runs at once.
        #[arg(long, default_value_t = 20)]
        jobs: usize,
        /// This one alone.
        #[arg(long, value_parser = bug)]
        only: Option<Bug>,
        /// Only looks whether each patch fits.
        #[arg(long)]
        fit: bool,
    },
    /// Counts over the debug logs of many forwarders.
    Count {
        /// Logs, one for each forwarder.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// What rows are for.
        #[arg(long, value_enum, default_value_t = By::Destination)]
        by: By,
        /// Every line about this message, in the order of their times.
        #[arg(long)]
        message: Option<String>,
    },
    /// Plays scenes over several processes that know each other.
    Fleet {
        /// A scene's document.
        #[arg(long)]
        scene: Option<PathBuf>,
        /// The directed scenes, one for each hard case.
        #[arg(long)]
        directed: bool,
        /// The directed scenes under a limit that all share.
        #[arg(long)]
        limited: bool,
        /// The directed scenes of partners that are down and come back.
        #[arg(long)]
        returning: bool,
        /// The directed scenes of duties that one holds at a time.
        #[arg(long)]
        dutiful: bool,
        /// Seeds with duties.
        #[arg(long, default_value_t = 0)]
        dutiful_seeds: u64,
        /// Seeds under a limit that all share.
        #[arg(long, default_value_t = 0)]
        limited_seeds: u64,
        /// Of all these, those with this in their name.
        #[arg(long)]
        only: Option<String>,
        /// Scenes with a limit are played in all three ways to keep to it; those without rights are not judged.
        #[arg(long)]
        compare: bool,
        /// Seeds.
        #[arg(long, default_value_t = 0)]
        seeds: u64,
        /// The first.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Scenes at once.
        #[arg(long, default_value_t = 6)]
        jobs: usize,
        /// Another build of the program, for every second process.
        #[arg(long)]
        beside: Option<PathBuf>,
        /// Prints all that was done and told.
        #[arg(long)]
        ledger: bool,
        /// The folder of the scene, so that others can ask its processes: `FOLDER/0/state` is the first one's state.
        #[arg(long, requires = "scene")]
        folder: Option<PathBuf>,
        /// Prints each act as it is done.
        #[arg(long, requires = "scene")]
        show: bool,
    },
    /// Hands in many messages a second, some of them once more, and counts what ran twice.
    Load(LoadArgs),
}

/// What a row of counts is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum By {
    /// Each destination.
    Destination,
    /// Each forwarder.
    Forwarder,
    /// Each second.
    Second,
    /// All together.
    All,
}

#[derive(Args)]
struct LoadArgs {
    /// Messages a second.
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// For how long (s).
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Clients, each with a connection that it keeps.
    #[arg(long, default_value_t = 32)]
    clients: usize,
    /// Share of the messages that may not be repeated which come once more a second later.
    #[arg(long, default_value_t = 0.1)]
    again: f64,
    /// How long a message may be delivered (ms).
    #[arg(long, default_value_t = 6000)]
    deadline_ms: u64,
    /// SIGKILLs.
    #[arg(long, default_value_t = 0)]
    kills: usize,
    /// The forwarder's disk (MB).
    #[arg(long, default_value_t = 3.0)]
    disk_mb: f64,
    /// The seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The forwarder's shards, one number for each life, with commas between them.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    shards: Vec<usize>,
    /// Destinations.
    #[arg(long, default_value_t = 8)]
    dests: usize,
    /// Builds the program with this bug planted first.
    #[arg(long, value_parser = bug)]
    bug: Option<Bug>,
}

fn bug(name: &str) -> Result<Bug, String> {
    let names: Vec<&str> = Bug::ALL.iter().map(|bug| bug.name()).collect();
    Bug::named(name).ok_or_else(|| format!("one of {}", names.join(", ")))
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

/// The program, which stands beside this one, or one that is built with a bug.
fn program(bug: Option<Bug>) -> io::Result<PathBuf> {
    if let Some(bug) = bug {
        println!("building the program with {} ...", bug.name());
        return ScratchBuild::open().and_then(|scratch| scratch.build(bug)).map_err(io::Error::other);
    }
    let path = std::env::current_exe()?.with_file_name("yarrowhill-faulty");
    match path.exists() {
        true => Ok(path),
        false => {
            Err(io::Error::other("yarrowhill-faulty is not built: cargo build -p yarrowhill-rig --bins"))
        }
    }
}

fn bar(len: u64, what: &str) -> ProgressBar {
    let style = ProgressStyle::with_template("{prefix} [{bar:40}] {pos}/{len} {msg}");
    let bar = ProgressBar::new(len).with_prefix(what.to_owned());
    style.map_or(bar.clone(), |style| bar.with_style(style))
}

async fn command(command: Command) -> io::Result<bool> {
    match command {
        Command::Run { seeds, from, jobs, bug, shards } => run(from..from + seeds, jobs, bug, shards).await,
        Command::Seed { seed, bug, message, shards } => {
            println!("{}", serde_json::to_string_pretty(&Script::draw(seed))?);
            let program = program(bug)?;
            let plan = Sweep {
                program: &program,
                seeds: vec![seed],
                jobs: 1,
                bug: None,
                shards,
                stop_at_first: false,
            };
            let mut clean = true;
            sweep(plan, |_, played| {
                clean = played.is_clean();
                tell(played, message.as_deref());
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
        Command::Count { logs, by, message } => match message {
            Some(message) => follow(&logs, &message),
            None => Ok(counted(&logs, by)),
        },
        Command::Fleet { scene: Some(path), folder: Some(folder), ledger, show, .. } => {
            let text = std::fs::read_to_string(path)?;
            let scene = FleetScene::parse(&text).map_err(io::Error::other)?;
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
            let played = yarrowhill_rig::play_scene(&scene, &[&program(None)?], &folder).await?;
            if ledger {
                for entry in &played.ledger {
                    println!("{:8.1} {}", entry.at, serde_json::to_string(&entry.event).unwrap_or_default());
                }
            }
            if show {
                changes(&played);
            }
            played.breaches.iter().for_each(|b| println!("{b}"));
            played.rule_breaches.iter().for_each(|(n, b)| println!("{n}: {b}"));
            println!("{}: {}", scene.name, if played.is_clean() { "everything held" } else { "not clean" });
            Ok(played.is_clean())
        }
        Command::Fleet {
            scene,
            directed: all,
            limited: limits,
            returning: returns,
            dutiful: duties,
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
                let text = std::fs::read_to_string(path)?;
                scenes.push(FleetScene::parse(&text).map_err(io::Error::other)?);
            }
            if all {
                scenes.extend(directed_scenes());
            }
            scenes.extend((from..from + seeds).map(FleetScene::draw));
            scenes.extend(if limits { limit_scenes() } else { Vec::new() });
            scenes.extend(if returns { outage_scenes() } else { Vec::new() });
            scenes.extend(if duties { duty_scenes() } else { Vec::new() });
            scenes.extend((from..from + dutiful_seeds).map(FleetScene::draw_with_duties));
            scenes.extend((from..from + limited_seeds).map(FleetScene::draw_with_limit));
            if let Some(only) = only {
                scenes.retain(|scene| scene.name.contains(&only));
            }
            if compare {
                let ways = [Sharing::Rights, Sharing::Apart, Sharing::Even, Sharing::Alone];
                let by = |scene: &FleetScene, way| {
                    let (limit, name) = (scene.limit.map(|(calls, _)| (calls, way)), &scene.name);
                    FleetScene { limit, name: format!("{name}, {way:?}"), ..scene.clone() }
                };
                scenes = scenes.iter().flat_map(|scene| ways.map(|way| by(scene, way))).collect();
            }
            fleet(scenes, jobs, ledger, beside).await
        }
    }
}

async fn run(seeds: std::ops::Range<u64>, jobs: usize, bug: Option<Bug>, shards: usize) -> io::Result<bool> {
    let program = program(bug)?;
    let count = seeds.end - seeds.start;
    let bar = bar(count, bug.map_or("seeds", Bug::name));
    let (mut messages, mut late) = (0, 0.0f64);
    let plan =
        Sweep { program: &program, seeds: seeds.collect(), jobs, bug: None, shards, stop_at_first: false };
    let unclean = sweep(plan, |_, played| {
        messages += played.accounts.values().map(|a| a.sent).sum::<usize>();
        late = late.max(played.lateness_ms);
        bar.inc(1);
    })
    .await?;
    bar.finish();
    println!("{count} seeds, {messages} messages, own clocks {late:.0} ms late at most");
    for rule in Rule::ALL {
        let broken = |p: &RunOutcome| p.breaches.iter().any(|b| b.rule == rule);
        println!("{rule:?}: broken by {}", unclean.iter().filter(|(_, p)| broken(p)).count());
    }
    for (seed, played) in &unclean {
        println!("seed {seed}: replay with `rig seed {seed}`");
        played.crashed.iter().for_each(|why| println!("  {why}"));
        played.breaches.iter().take(5).for_each(|b| println!("  {b}"));
    }
    Ok(unclean.is_empty())
}

fn tell(played: &RunOutcome, message: Option<&str>) {
    for entry in &played.ledger {
        let text = serde_json::to_string(&entry.event).unwrap_or_default();
        if message.is_some_and(|m| text.contains(m)) {
            println!("{:8.1} {text}", entry.at);
        }
    }
    played.accounts.iter().for_each(|(class, account)| println!("{class}: {account:?}"));
    println!("own clocks {:.0} ms late at most", played.lateness_ms);
    played.crashed.iter().for_each(|why| println!("{why}"));
    played.breaches.iter().for_each(|b| println!("{b}"));
    played.fleet_breaches.iter().for_each(|b| println!("{b}"));
}

async fn bugs(seeds: u64, jobs: usize, only: Option<Bug>) -> io::Result<bool> {
    let scratch = ScratchBuild::open().map_err(io::Error::other)?;
    let wanted: Vec<Bug> =
        Bug::ALL.iter().copied().filter(|bug| only.is_none_or(|only| only == *bug)).collect();
    let bar = bar(wanted.len() as u64, "bugs");
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
            stop_at_first: true,
        };
        let caught = sweep(plan, |_, _| {}).await?;
        let line = match caught.first() {
            Some((seed, played)) => match (played.breaches.first(), played.fleet_breaches.first()) {
                (Some(b), _) => format!("{:36} seed {seed:3}: {b}", bug.name()),
                (_, Some(b)) => format!("{:36} seed {seed:3}: {b}", bug.name()),
                _ => format!("{:36} seed {seed:3}: {:?}", bug.name(), played.crashed),
            },
            None => {
                all = false;
                format!("{:36} not caught in {seeds} seeds", bug.name())
            }
        };
        if bug.is_in_io_free_package() {
            // What processes show is told at once: the other attack takes its time.
            bar.println(&line);
        }
        let line = match bug.is_in_io_free_package().then(|| scratch.attack(bug)) {
            None => line,
            Some(Ok(Some(told))) => format!("{line}; {told}"),
            Some(Ok(None)) => {
                all = false;
                format!("{line}; not caught without processes")
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
        return Err(io::Error::other("a rate above 0, up to 600 s, a share from 0 to 1, up to 512 clients"));
    }
    let program = program(bug)?;
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
    let bar = bar(0, "load").with_message("playing");
    bar.enable_steady_tick(std::time::Duration::from_millis(200));
    let loaded = play_load(&load, &program, &folder).await;
    bar.finish_and_clear();
    // Left behind, it would be of no use to anybody.
    let _ = std::fs::remove_dir_all(&folder);
    let loaded = loaded?;
    println!("offered     {rate:.0} messages a second for {seconds} s, {kills} SIGKILLs, {disk_mb} MB");
    println!("answered    {:.0} a second", loaded.answered_per_sec);
    println!("sent        {}", loaded.total(|a| a.sent));
    println!("taken on    {}", loaded.total(|a| a.taken_on));
    let delivered = loaded.total(|a| a.delivered);
    println!("delivered   {delivered} ({:.0} a second)", delivered as f64 / seconds);
    println!("refused     {}", loaded.total(|a| a.refused));
    println!("came again  {:?} (status: messages)", loaded.resubmitted);
    println!("doubled     {}", loaded.duplicates());
    println!("own clocks  {:.0} ms late at most", loaded.lateness_ms);
    loaded.crashed.iter().for_each(|why| println!("{why}"));
    loaded.breaches.iter().take(10).for_each(|b| println!("{b}"));
    Ok(loaded.is_clean())
}

/// Every line about a message, over all logs.
fn follow(logs: &[PathBuf], message: &str) -> io::Result<bool> {
    let mut found = Vec::new();
    for log in logs {
        let name = log.file_stem().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
        for line in io::BufRead::split(io::BufReader::new(std::fs::File::open(log)?), b'\n') {
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

fn counted(logs: &[PathBuf], by: By) -> bool {
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
    let head: Vec<String> = Cell::default().columns().iter().map(|(name, _)| format!("{name:>12}")).collect();
    println!("{:12}{}", "", head.concat());
    for (row, cell) in &rows {
        let figures: Vec<String> = cell.columns().iter().map(|(_, n)| format!("{n:>12}")).collect();
        println!("{row:12}{}", figures.concat());
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
    let program = program(None)?;
    let bar = bar(scenes.len() as u64, "scenes");
    let count = scenes.len();
    let (mut unclean, mut taken_on, mut late) = (0, 0, 0.0f64);
    let mut gaps: Vec<f64> = Vec::new();
    let mut tell = |scene: &FleetScene, played: &FleetOutcome| {
        bar.inc(1);
        taken_on += played.taken_on;
        late = late.max(played.lateness_ms);
        if ledger {
            for entry in &played.ledger {
                println!("{:8.1} {}", entry.at, serde_json::to_string(&entry.event).unwrap_or_default());
            }
        }
        if let (Some((limit, way)), Some((at, excess))) = (scene.limit, played.limit_use.excess) {
            let LimitUse { used, calls, .. } = played.limit_use;
            println!(
                "{}: {calls} calls, {used:.2} of what {limit:.1} a second allow; {excess:.1} beyond it at {at:.0} ms",
                scene.name
            );
            for OutageReport {
                dest,
                calls_while_down: tried,
                allowed_while_down: may,
                excess,
                allowed_excess: beyond,
                full_use_ms: full,
                ..
            } in &played.outages
            {
                let full = full.map_or("never".to_owned(), |ms| format!("after {:.1} s", ms / 1000.0));
                println!(
                    "  {dest}: {tried} calls while it was down ({may:.0} may be), {excess:.1} beyond what it bore when it was back ({beyond:.0} may be), full use {full}"
                );
            }
            if way != Sharing::Rights && played.rule_breaches.is_empty() && played.crashed.is_empty() {
                return;
            }
        }
        gaps.extend(vacancies(&played.ledger));
        if !played.is_clean() {
            unclean += 1;
            println!("{} ({:.0} ms late):", scene.name, played.lateness_ms);
            played.breaches.iter().take(3).for_each(|b| println!("  {b}"));
            played.rule_breaches.iter().take(3).for_each(|(n, b)| println!("  {n}: {b}"));
            played.crashed.iter().for_each(|c| println!("  {c}"));
        }
    };
    let mut programs = vec![program.as_path()];
    programs.extend(beside.as_deref());
    play_scenes(scenes, &programs, jobs, &mut tell).await?;
    bar.finish_and_clear();
    gaps.sort_by(f64::total_cmp);
    if let (Some(median), Some(most)) = (gaps.get(gaps.len() / 2), gaps.last()) {
        let terms = gaps.len();
        println!(
            "{terms} changes of a duty's holder: nobody held it for {median:.0} ms in the median, {most:.0} ms at most"
        );
    }
    println!("{count} scenes, {unclean} not clean; {taken_on} messages taken on, {late:.0} ms late at most");
    Ok(unclean == 0)
}

/// When each process's standing, view or part of what all share changed.
fn changes(played: &FleetOutcome) {
    let mut last: BTreeMap<usize, (String, usize, usize)> = BTreeMap::new();
    for entry in &played.ledger {
        let yarrowhill_checker::FleetEvent::Claimed(claim) = &entry.event else { continue };
        let now = (claim.standing.clone(), claim.members.len(), claim.senders);
        if last.get(&claim.process) != Some(&now) {
            let (standing, there, senders) = &now;
            println!(
                "{:7.2} s  {}: {standing}, {there} in its view, limits shared by {senders}",
                entry.at / 1000.0,
                claim.process
            );
            last.insert(claim.process, now);
        }
    }
}
