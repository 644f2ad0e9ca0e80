//! Command line of the attack package: seeded fault schedules, state-space search, measurements.

use clap::{Parser, Subcommand};
use hdrhistogram::Histogram;
use std::process::ExitCode;
use yarrowhill_attack::{
    DutyWorld, IdentityWorld, LimitDivision, RecoveryMode, RightsWorld, Schedule, SupportWorld, TermEnd,
    measure_detection, measure_duties, measure_heartbeats, measure_replacement, measure_return,
    measure_rights, measure_shares, run_duties_schedule, run_return_schedule, run_rights_schedule,
    run_schedule,
};
use yarrowhill_kernel::{SearchResult, search};

/// Tests the deterministic packages in virtual time.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs seeded fault schedules on membership fleets.
    Schedules {
        /// Number of seeds.
        #[arg(long, default_value_t = 10_000)]
        seeds: u64,
        /// First seed.
        #[arg(long, default_value_t = 0)]
        from: u64,
    },
    /// Prints the fault schedule of a seed and runs it.
    Seed {
        /// The seed.
        seed: u64,
    },
    /// Searches the state spaces of small models of membership and shared limits.
    Search {
        /// Maximum number of states of each model.
        #[arg(long = "most", value_name = "MOST", default_value_t = 3_000_000)]
        max_states: usize,
    },
    /// Measures shared limits and runs seeded fault schedules on them.
    Rights {
        /// Number of seeds.
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// Fleet sizes to measure.
        #[arg(long, value_delimiter = ',', default_value = "3,30,300")]
        sizes: Vec<usize>,
    },
    /// Measures duties, searches the state spaces of small models, and runs seeded fault schedules.
    Duties {
        /// Number of seeds.
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// First seed.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Maximum number of states of each model; 0 skips the search.
        #[arg(long = "most", value_name = "MOST", default_value_t = 2_000_000)]
        max_states: usize,
        /// Fleet sizes to measure.
        #[arg(long, value_delimiter = ',')]
        sizes: Vec<usize>,
    },
    /// Measures the outage and return of a common destination, and runs seeded fault schedules with one.
    Returns {
        /// Number of seeds.
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// Fleet sizes to measure.
        #[arg(long, value_delimiter = ',', default_value = "3,30,300")]
        sizes: Vec<usize>,
    },
    /// Measures failure detection, compared with plain heartbeats.
    Measure {
        /// Fleet sizes.
        #[arg(long, value_delimiter = ',', default_value = "3,30,300")]
        sizes: Vec<usize>,
        /// Fractions of packets that are lost.
        #[arg(long, value_delimiter = ',', default_value = "0")]
        loss: Vec<f64>,
        /// Number of slow members in every ten.
        #[arg(long, default_value_t = 0)]
        slow: usize,
        /// Number of deaths.
        #[arg(long, default_value_t = 10)]
        deaths: usize,
        /// Seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures the replacement of half of a fleet within ten probe periods.
    Replaced {
        /// Fleet size.
        #[arg(long, default_value_t = 200)]
        size: usize,
        /// Number of seeds, from 1 on.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Measures the use of a limit while seven in ten members are absent, and after they return.
    Shares {
        /// Fleet sizes.
        #[arg(long, value_delimiter = ',', default_value = "10,30,300")]
        sizes: Vec<usize>,
        /// Fraction of packets that is lost.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// Number of seeds, from 1 on.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
}

fn main() -> ExitCode {
    let passed = match Cli::parse().command {
        Command::Schedules { seeds, from } => schedules(from..from + seeds),
        Command::Seed { seed } => {
            let schedule = Schedule::from_seed(seed);
            schedule.faults.iter().for_each(|(at, f)| println!("{:8.3} {f:?}", *at as f64 / 1e6));
            println!(
                "{} members, all faults repaired at {:.0} s",
                schedule.size,
                schedule.healed_at as f64 / 1e6
            );
            let result = run_schedule(&schedule);
            result.iter().for_each(|()| println!("held"));
            result.map_err(|violation| println!("{violation}")).is_ok()
        }
        Command::Search { max_states } => {
            let support = report_search("support for views", &search(&SupportWorld::default(), max_states));
            let identity =
                report_search("identity over restarts", &search(&IdentityWorld { restarts: 2 }, max_states));
            let fast = RightsWorld { coordinators: [11, 11], ..RightsWorld::default() };
            let slow = RightsWorld { coordinators: [9, 9], ..RightsWorld::default() };
            let rights_fast = report_search("rights, fast coordinator clocks", &search(&fast, max_states));
            let rights_slow = report_search("rights, slow coordinator clocks", &search(&slow, max_states));
            support && identity && rights_fast && rights_slow
        }
        Command::Rights { seeds, sizes } => {
            for size in sizes {
                for division in [LimitDivision::Lending, LimitDivision::Fixed] {
                    println!("{size} members, {division:?}: {}", measure_rights(size, division, 1));
                }
            }
            let violations: Vec<_> = (0..seeds)
                .filter_map(|s| run_rights_schedule(s).err().map(|violation| (s, violation)))
                .collect();
            violations.iter().take(10).for_each(|(seed, violation)| println!("seed {seed}: {violation}"));
            println!("{seeds} schedules of rights, {} with violations", violations.len());
            violations.is_empty()
        }
        Command::Duties { seeds, from, max_states, sizes } => {
            for size in sizes {
                for term_end in [TermEnd::Killed, TermEnd::Stopped, TermEnd::Cut, TermEnd::Asked] {
                    let f = measure_duties(size, term_end, 10, 1);
                    let s = |q: f64| f.gap.value_at_quantile(q) as f64 / 1000.0;
                    println!(
                        "{size} members, {term_end:?}: no holder for {:.1} / {:.1} / {:.1} s \
                         (p50 / p90 / max), idle traffic {:.1} messages, {:.0} bytes per second",
                        s(0.5),
                        s(0.9),
                        s(1.0),
                        f.messages,
                        f.bytes
                    );
                }
            }
            let base = DutyWorld::default();
            let models = [
                ("slow holders, fast voters", base),
                ("fast holders, slow voters", DutyWorld { rates: [11, 9], ..base }),
                ("steps of progress", DutyWorld { max_step: 1, restarts: 0, ..base }),
                ("a delayed request", DutyWorld { delayed_messages: 1, restarts: 0, renewals: 0, ..base }),
                ("a lost folder", DutyWorld { folder_losses: 1, restarts: 0, renewals: 0, ..base }),
            ];
            let mut passed = true;
            for (name, model) in models.into_iter().filter(|_| max_states > 0) {
                passed &= report_search(&format!("duties, {name}"), &search(&model, max_states));
            }
            let violations = run_seeds(from..from + seeds, |seed| {
                run_duties_schedule(seed).err().map(|violation| (seed, violation))
            });
            violations.iter().take(10).for_each(|(seed, violation)| println!("seed {seed}: {violation}"));
            println!("{seeds} schedules of duties, {} with violations", violations.len());
            passed && violations.is_empty()
        }
        Command::Returns { seeds, sizes } => {
            for size in sizes {
                for mode in [RecoveryMode::Coordinated, RecoveryMode::Independent] {
                    println!("{size} members, {mode:?}: {}", measure_return(size, mode, 1));
                }
            }
            let violations: Vec<_> = (0..seeds)
                .filter_map(|s| run_return_schedule(s).err().map(|violation| (s, violation)))
                .collect();
            violations.iter().take(10).for_each(|(seed, violation)| println!("seed {seed}: {violation}"));
            println!("{seeds} schedules of returns, {} with violations", violations.len());
            violations.is_empty()
        }
        Command::Measure { sizes, loss, slow, deaths, seed } => {
            for size in sizes {
                for loss in &loss {
                    print_detection(size, *loss, slow, deaths, seed);
                }
            }
            true
        }
        Command::Replaced { size, seeds } => {
            let times: Vec<Option<u64>> = (1..=seeds).map(|seed| measure_replacement(size, seed)).collect();
            println!("half of {size} members replaced: common complete view after {times:?} ms");
            times.iter().all(Option::is_some)
        }
        Command::Shares { sizes, loss, seeds } => {
            for size in sizes {
                for seed in 1..=seeds {
                    println!("{size} members, seed {seed}: {:?}", measure_shares(size, loss, true, seed));
                }
            }
            true
        }
    };
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn schedules(seeds: std::ops::Range<u64>) -> bool {
    let count = seeds.end - seeds.start;
    let violations = run_seeds(seeds, |seed| {
        run_schedule(&Schedule::from_seed(seed)).err().map(|violation| (seed, violation))
    });
    violations.iter().take(20).for_each(|(seed, violation)| println!("seed {seed}: {violation}"));
    println!("{count} schedules, {} with violations", violations.len());
    violations.is_empty()
}

/// Runs seeds on all cores and returns the results in the order of the seeds.
fn run_seeds<T: Send>(
    seeds: std::ops::Range<u64>,
    run: impl Fn(u64) -> Option<(u64, T)> + Sync,
) -> Vec<(u64, T)> {
    let jobs = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let mut found = Vec::new();
    let (seeds, run) = (&seeds, &run);
    std::thread::scope(|scope| {
        let worker =
            |job| move || seeds.clone().filter(|seed| seed % jobs == job).filter_map(run).collect::<Vec<_>>();
        let threads: Vec<_> = (0..jobs).map(|job| scope.spawn(worker(job))).collect();
        for thread in threads {
            found.extend(thread.join().unwrap_or_default());
        }
    });
    found.sort_by_key(|(seed, _)| *seed);
    found
}

fn report_search<S: std::fmt::Debug>(name: &str, found: &SearchResult<S>) -> bool {
    let SearchResult { states, depth, complete, violation } = found;
    println!("{name}: {states} states, depth {depth}, {}", if *complete { "complete" } else { "incomplete" });
    if let Some((steps, violation)) = violation {
        println!("  {violation}, by:");
        steps.iter().for_each(|step| println!("    {step:?}"));
    }
    violation.is_none()
}

fn print_detection(size: usize, loss: f64, slow: usize, deaths: usize, seed: u64) {
    let f = measure_detection(size, loss, slow, deaths, seed);
    let at = |h: &Histogram<u64>| {
        let s = |q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        format!("{:.1} / {:.1} / {:.1} s (of {})", s(0.5), s(0.9), s(1.0), h.len())
    };
    println!("{size} members, loss {loss}, {slow} in ten slow; p50 / p90 / max");
    println!("  first detection {}", at(&f.first_detection));
    println!("  full detection  {}", at(&f.full_detection));
    println!("  view agreement  {}", at(&f.view_agreement));
    println!(
        "  idle            {:.0} bytes per second and member; false deaths per hour {:.1}",
        f.idle_bytes, f.false_deaths
    );
    if size <= 300 {
        let (all, idle_bytes) = measure_heartbeats(size, loss, deaths, seed);
        println!(
            "  plain heartbeats: full detection {}, {idle_bytes:.0} bytes per second and member",
            at(&all)
        );
    }
}
