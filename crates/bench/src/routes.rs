//! Compares rule lookup by the index with a list scan, and address match by the trie with a scan. Also
//! measures the time to read and check a document.

use std::error::Error;
use std::fmt::Write;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};
use yarrowhill_routes::{Message, PrefixSet, Router, parse};

/// Approximate duration of each measurement.
const MEASURE_TIME: Duration = Duration::from_millis(300);

/// Returns the nanoseconds per call of `operation`, which gets the number of the call.
fn nanos_per_iteration(mut operation: impl FnMut(u32)) -> f64 {
    let (start, mut iterations) = (Instant::now(), 0u32);
    while start.elapsed() < MEASURE_TIME {
        for _ in 0..16 {
            operation(iterations);
            iterations = iterations.wrapping_add(1);
        }
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(iterations)
}

/// Returns a document with `rules` rules by partner and owner, five for each partner.
fn document(rules: usize) -> String {
    let mut text = String::new();
    for partner in 0..rules.div_ceil(5) {
        let _ = write!(text, "partner \"p{partner}\" dest={partner} {{\n pool \"a\"\n pool \"b\"\n}}\n");
    }
    for rule in 0..rules {
        let (partner, owner) = (rule / 5, rule % 5);
        let _ = write!(
            text,
            "rule \"r{rule}\" {{\n match partner=\"p{partner}\" owner=\"o{owner}\"\n pool \"a\"\n}}\n"
        );
    }
    text
}

/// Prints the comparison tables.
pub fn compare() -> Result<(), Box<dyn Error>> {
    println!("rule lookup (ns): index, list scan, ratio; reading and checking the document (ms)");
    for rules in [10usize, 1_000, 10_000] {
        let text = document(rules);
        let start = Instant::now();
        let routes = parse(&[("bench.kdl".into(), text)]).map_err(|faults| faults[0].to_string())?;
        let check_ms = start.elapsed().as_secs_f64() * 1e3;
        let router = Router::new(routes);
        let partners = rules.div_ceil(5) as u32;
        let owners = ["o0", "o1", "o2", "o3", "o4"];
        let message = |n: u32| Message {
            class: "settle-order",
            owner: Some(owners[n as usize % 5]),
            dest: u64::from(n.wrapping_mul(2_654_435_761) % partners),
            ..Message::default()
        };
        let index = nanos_per_iteration(|n| {
            black_box(router.route(&message(n)));
        });
        let list = nanos_per_iteration(|n| {
            black_box(router.route_by_scan(&message(n)));
        });
        println!("{rules:7} rules: {index:9.0} {list:9.0} {:7.1}x {check_ms:9.1} ms", list / index);
    }
    println!("address match (ns): trie, scan, ratio");
    for prefixes in [10u32, 1_000, 100_000] {
        let nets: Vec<ipnet::IpNet> = (0..prefixes)
            .map(|n| {
                ipnet::IpNet::new(Ipv4Addr::from(n.wrapping_mul(2_654_435_761)).into(), 24).map(|n| n.trunc())
            })
            .collect::<Result<_, _>>()?;
        let set: PrefixSet = nets.iter().copied().collect();
        let address = |n: u32| IpAddr::V4(Ipv4Addr::from(n.wrapping_mul(0x9e37_79b9)));
        let trie = nanos_per_iteration(|n| {
            black_box(set.contains(address(n)));
        });
        let scan = nanos_per_iteration(|n| {
            black_box(nets.iter().any(|net| net.contains(&address(n))));
        });
        println!("{prefixes:7} prefixes: {trie:9.0} {scan:9.0} {:7.1}x", scan / trie);
    }
    Ok(())
}
