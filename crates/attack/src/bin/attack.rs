//! Attacks by command: seeded schedules, small worlds, figures.

use clap::{Parser, Subcommand};
use hdrhistogram::Histogram;
use std::process::ExitCode;
use yarrowhill_attack::{
    DutyWorld, Ending, Even, IdentityWorld, RightsWorld, Schedule, SupportWorld, Way, measure,
    measure_duties, measure_replaced, measure_return, measure_rights, measure_shares, plain, play,
    play_duties, play_return, play_rights,
};
use yarrowhill_kernel::{SearchResult, search};

/// Attacks the packages without I/O, clocks and chance.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays seeded faults over fleets in virtual time.
    Schedules {
        /// How many.
        #[arg(long, default_value_t = 10_000)]
        seeds: u64,
        /// The first.
        #[arg(long, default_value_t = 0)]
        from: u64,
    },
    /// Prints the faults of a seed and plays it.
    Seed {
        /// Which.
        seed: u64,
    },
    /// Searches small worlds through.
    Search {
        /// States at most.
        #[arg(long, default_value_t = 3_000_000)]
        most: usize,
    },
    /// Plays seeded faults over rights in virtual time.
    Rights {
        /// How many seeds.
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// Members, to be measured.
        #[arg(long, value_delimiter = ',', default_value = "3,30,300")]
        sizes: Vec<usize>,
    },
    /// Plays seeded faults over duties in virtual time, and searches small worlds of them.
    Duties {
        /// How many seeds.
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// The first.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// States at most of each small world; 0 leaves them out.
        #[arg(long, default_value_t = 2_000_000)]
        most: usize,
        /// Members, to be measured.
        #[arg(long, value_delimiter = ',')]
        sizes: Vec<usize>,
    },
    /// Plays a partner of all that is down and comes back, by seeds and as figures.
    Returns {
        /// How many seeds.
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// Members, to be measured.
        #[arg(long, value_delimiter = ',', default_value = "3,30,300")]
        sizes: Vec<usize>,
    },
    /// Measures fleets of these sizes.
    Measure {
        /// Members.
        #[arg(long, value_delimiter = ',', default_value = "3,30,300")]
        sizes: Vec<usize>,
        /// Shares of packets that are lost.
        #[arg(long, value_delimiter = ',', default_value = "0")]
        loss: Vec<f64>,
        /// So many in ten are slow.
        #[arg(long, default_value_t = 0)]
        slow: usize,
        /// Deaths.
        #[arg(long, default_value_t = 10)]
        deaths: usize,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Replaces half of a fleet within ten periods.
    Replaced {
        /// Members.
        #[arg(long, default_value_t = 200)]
        size: usize,
        /// Seeds, from 1 on.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// What members use of a limit while seven in ten are away, and when they return.
    Shares {
        /// Members.
        #[arg(long, value_delimiter = ',', default_value = "10,30,300")]
        sizes: Vec<usize>,
        /// The share of packets that is lost.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// Seeds, from 1 on.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
}

fn main() -> ExitCode {
    let clean = match Cli::parse().command {
        Command::Schedules { seeds, from } => schedules(from..from + seeds),
        Command::Seed { seed } => {
            let schedule = Schedule::draw(seed);
            schedule.faults.iter().for_each(|(at, f)| println!("{:8.3} {f:?}", *at as f64 / 1e6));
            println!("{} members, healed at {:.0} s", schedule.size, schedule.healed as f64 / 1e6);
            let played = play(&schedule);
            played.iter().for_each(|()| println!("held"));
            played.map_err(|b| println!("{b}")).is_ok()
        }
        Command::Search { most } => {
            let one = told("support for views", &search(&SupportWorld::default(), most));
            let two = told("identity over restarts", &search(&IdentityWorld { starts: 2 }, most));
            let fast = RightsWorld { keepers: [11, 11], ..RightsWorld::default() };
            let slow = RightsWorld { keepers: [9, 9], ..RightsWorld::default() };
            let three = told("rights, keepers' clocks fast", &search(&fast, most));
            let four = told("rights, keepers' clocks slow", &search(&slow, most));
            one && two && three && four
        }
        Command::Rights { seeds, sizes } => {
            for size in sizes {
                for even in [Even::Rights, Even::Split] {
                    println!("{size} members, {even:?}: {}", measure_rights(size, even, 1));
                }
            }
            let broken: Vec<_> = (0..seeds).filter_map(|s| play_rights(s).err().map(|b| (s, b))).collect();
            broken.iter().take(10).for_each(|(seed, b)| println!("seed {seed}: {b}"));
            println!("{seeds} schedules of rights, {} broken", broken.len());
            broken.is_empty()
        }
        Command::Duties { seeds, from, most, sizes } => {
            for size in sizes {
                for ending in [Ending::Killed, Ending::Stopped, Ending::Cut, Ending::Asked] {
                    let f = measure_duties(size, ending, 10, 1);
                    let s = |q: f64| f.gap.value_at_quantile(q) as f64 / 1000.0;
                    println!(
                        "{size} members, {ending:?}: nobody holds it for {:.1} / {:.1} / {:.1} s; at rest {:.1} letters, {:.0} bytes a second over all",
                        s(0.5),
                        s(0.9),
                        s(1.0),
                        f.letters,
                        f.bytes
                    );
                }
            }
            let plain = DutyWorld::default();
            let worlds = [
                ("holders slow, voters fast", plain),
                ("holders fast, voters slow", DutyWorld { rates: [11, 9], ..plain }),
                ("steps of progress", DutyWorld { steps: 1, restarts: 0, ..plain }),
                ("an old word", DutyWorld { strays: 1, restarts: 0, renewals: 0, ..plain }),
                ("a folder lost", DutyWorld { wipes: 1, restarts: 0, renewals: 0, ..plain }),
            ];
            let mut clean = true;
            for (what, world) in worlds.into_iter().filter(|_| most > 0) {
                clean &= told(&format!("duties, {what}"), &search(&world, most));
            }
            let broken = over_cores(from..from + seeds, |seed| play_duties(seed).err().map(|b| (seed, b)));
            broken.iter().take(10).for_each(|(seed, b)| println!("seed {seed}: {b}"));
            println!("{seeds} schedules of duties, {} broken", broken.len());
            clean && broken.is_empty()
        }
        Command::Returns { seeds, sizes } => {
            for size in sizes {
                for way in [Way::Together, Way::Apart] {
                    println!("{size} members, {way:?}: {}", measure_return(size, way, 1));
                }
            }
            let broken: Vec<_> = (0..seeds).filter_map(|s| play_return(s).err().map(|b| (s, b))).collect();
            broken.iter().take(10).for_each(|(seed, b)| println!("seed {seed}: {b}"));
            println!("{seeds} schedules of returns, {} broken", broken.len());
            broken.is_empty()
        }
        Command::Measure { sizes, loss, slow, deaths, seed } => {
            for size in sizes {
                for loss in &loss {
                    figures(size, *loss, slow, deaths, seed);
                }
            }
            true
        }
        Command::Replaced { size, seeds } => {
            let spans: Vec<Option<u64>> = (1..=seeds).map(|seed| measure_replaced(size, seed)).collect();
            println!("half of {size} replaced: one view of all after {spans:?} ms");
            spans.iter().all(Option::is_some)
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
    if clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn schedules(seeds: std::ops::Range<u64>) -> bool {
    let count = seeds.end - seeds.start;
    let broken = over_cores(seeds, |seed| play(&Schedule::draw(seed)).err().map(|b| (seed, b)));
    broken.iter().take(20).for_each(|(seed, breach)| println!("seed {seed}: {breach}"));
    println!("{count} schedules, {} broken", broken.len());
    broken.is_empty()
}

/// Plays seeds on all cores; what was found, in the order of the seeds.
fn over_cores<T: Send>(
    seeds: std::ops::Range<u64>,
    play: impl Fn(u64) -> Option<(u64, T)> + Sync,
) -> Vec<(u64, T)> {
    let jobs = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let mut found = Vec::new();
    let (seeds, play) = (&seeds, &play);
    std::thread::scope(|scope| {
        let run = |job| {
            move || seeds.clone().filter(|seed| seed % jobs == job).filter_map(play).collect::<Vec<_>>()
        };
        let threads: Vec<_> = (0..jobs).map(|job| scope.spawn(run(job))).collect();
        for thread in threads {
            found.extend(thread.join().unwrap_or_default());
        }
    });
    found.sort_by_key(|(seed, _)| *seed);
    found
}

fn told<S: std::fmt::Debug>(what: &str, found: &SearchResult<S>) -> bool {
    let SearchResult { states, depth, complete, violation: breach } = found;
    println!("{what}: {states} states, {depth} deep, {}", if *complete { "complete" } else { "cut off" });
    if let Some((way, breach)) = breach {
        println!("  {breach}, by:");
        way.iter().for_each(|step| println!("    {step:?}"));
    }
    breach.is_none()
}

fn figures(size: usize, loss: f64, slow: usize, deaths: usize, seed: u64) {
    let f = measure(size, loss, slow, deaths, seed);
    let at = |h: &Histogram<u64>| {
        let s = |q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        format!("{:.1} / {:.1} / {:.1} s (of {})", s(0.5), s(0.9), s(1.0), h.len())
    };
    println!("{size} members, loss {loss}, {slow} in ten slow; p50 / p90 / most");
    println!("  first to know {}", at(&f.first));
    println!("  all know      {}", at(&f.all));
    println!("  one view      {}", at(&f.agreed));
    println!("  at rest       {:.0} bytes a second a member; wrongly held for dead {:.1}", f.rest, f.wrong);
    if size <= 300 {
        let (all, rest) = plain(size, loss, deaths, seed);
        println!("  plain heartbeats: all know {}, {rest:.0} bytes a second a member", at(&all));
    }
}
