//! A partner fails most of its calls quickly for 15 s and is cold afterwards. Two forwarders send it their usual
//! load; the calls that reach it after its return are counted against what it bears.

#[path = "../standin.rs"]
mod standin;

use standin::*;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

/// The rule in figures (BRIEF, "The rules in figures").
const MULTIPLE: f64 = 2.0;
const PERIOD_MS: f64 = 3000.0;
const START_SHARE: f64 = 0.17;
const WARM_MS: f64 = 13_000.0;
/// Before the trouble; the trouble (7.2 to 17 s); after it.
const BEFORE_MS: f64 = 10_000.0;
const TROUBLE_MS: f64 = 15_000.0;
const AFTER_MS: f64 = 14_000.0;
/// Share of the calls that fail (52 to 96 %).
const FAIL_SHARE: f64 = 0.52;
/// The partner: calls served at once, time of each, calls that wait at most (0.96 s of its capacity), capacity over
/// its limit.
const WORKERS: f64 = 12.0;
const SERVICE_MS: f64 = 285.0;
const QUEUE: usize = 40;
const SPARE: f64 = 1.2;
const PARTNER: u64 = 7;
/// Messages a second to the partner: 91 % of its limit, which is its full load. And to all other partners together.
const RATE: f64 = 32.0;
const OTHER_RATE: f64 = 200.0;
const FORWARDERS: usize = 2;
const SLOTS: usize = 80;

const CAPACITY: f64 = WORKERS * 1000.0 / SERVICE_MS;
const LIMIT: f64 = CAPACITY / SPARE;

#[derive(Default)]
struct State {
    random: u64,
    /// Allowance of the plain rate, and when it was last filled up.
    tokens: f64,
    filled_at: f64,
    /// When the partner can take up the next call.
    next_at: f64,
    /// When each call that waits or is served ends.
    busy: Vec<f64>,
    fails: bool,
    /// Calls that failed in the trouble, by forwarder.
    failed: [usize; FORWARDERS],
    /// All calls in the trouble.
    calls_in_trouble: usize,
    returned_at: Option<f64>,
    /// Calls since the return: time and forwarder.
    arrivals: Vec<(f64, usize)>,
    /// The first fall, with its account.
    fell: Option<(f64, String, bool)>,
    full: usize,
}

impl State {
    /// The share of its capacity that the partner has.
    fn share(&self, at: f64) -> f64 {
        let since = self.returned_at.map_or(WARM_MS, |r| at - r);
        (START_SHARE + (1.0 - START_SHARE) * since / WARM_MS).clamp(START_SHARE, 1.0)
    }

    /// Counts the calls of the last period and returns an account, and whether the rule is broken, if they overload
    /// the partner.
    fn overload(&self) -> Option<(String, bool)> {
        let (returned, (last, _)) = (self.returned_at?, *self.arrivals.last()?);
        if last > returned + WARM_MS {
            return None;
        }
        let calls: Vec<usize> =
            self.arrivals.iter().filter(|(at, _)| *at > last - PERIOD_MS).map(|(_, n)| *n).collect();
        let middle = (last - PERIOD_MS / 2.0).max(returned);
        let n = MULTIPLE * self.share(middle) * CAPACITY * PERIOD_MS / 1000.0;
        let bearable = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        let told = calls.iter().filter(|n| self.failed[**n] > 0).count();
        let text = format!(
            "{} calls within {PERIOD_MS} ms, N = {n:.1}, bearable {bearable:.1}; {told} of them from forwarders that saw calls fail there",
            calls.len()
        );
        (calls.len() as f64 > bearable).then(|| (text, told * 3 > calls.len() * 2))
    }
}

enum Reaction {
    Fail,
    Full,
    Serve(f64),
    Down,
}

fn react(s: &mut State, at: f64, forwarder: usize) -> (Reaction, String) {
    if s.returned_at.is_some() {
        s.arrivals.push((at, forwarder));
        if s.fell.is_none()
            && let Some((text, is_broken)) = s.overload()
        {
            let text = format!("{text}; {:.0} ms after the return", at - s.returned_at.unwrap());
            record(&format!("FALLS OVER: {text}"));
            s.fell = Some((at, text, is_broken));
        }
    }
    s.busy.retain(|end| *end > at);
    s.tokens = (s.tokens + (at - s.filled_at) / 1000.0 * LIMIT).min(LIMIT * 0.6);
    s.filled_at = at;
    let is_over_limit = s.tokens < 1.0;
    s.tokens -= if is_over_limit { 0.0 } else { 1.0 };
    let report = format!("Srv-Load: x0={:.2},x1={LIMIT:.2}\r\n", s.tokens.max(0.0) / (LIMIT * 0.6));
    let mut random = Random(s.random);
    let drawn = random.unit();
    s.random = random.0;
    s.calls_in_trouble += usize::from(s.fails);
    let reaction = if s.fell.is_some() {
        Reaction::Down
    } else if s.fails && drawn < FAIL_SHARE {
        s.failed[forwarder] += 1;
        Reaction::Fail
    } else if is_over_limit || s.busy.len() >= WORKERS as usize + QUEUE {
        s.full += 1;
        Reaction::Full
    } else {
        // What it can do at this moment: so many calls a second, as many at once as it has workers when warm.
        let start = s.next_at.max(at - (WORKERS - 1.0) * 1000.0 / CAPACITY);
        s.next_at = start + 1000.0 / (CAPACITY * s.share(at));
        let end = start.max(at) + SERVICE_MS;
        s.busy.push(end);
        Reaction::Serve(end)
    };
    (reaction, report)
}

fn serve_partner(state: &Mutex<State>, mut stream: TcpStream) {
    let mut unread = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut unread) {
        let id = request.header("req-id").to_owned();
        // The clients of each forwarder give their messages ids of their own.
        let forwarder = usize::from(id.starts_with('1'));
        let at = record(&format!("call {id} from n{forwarder}"));
        let (reaction, report) = react(&mut state.lock().unwrap(), at, forwarder);
        let (status, word) = match reaction {
            Reaction::Fail => {
                sleep_ms(5.0);
                ("500 Internal Server Error", "failed")
            }
            Reaction::Full => ("503 Service Unavailable", "full"),
            Reaction::Serve(end) => {
                sleep_until(end);
                ("200 OK", "served")
            }
            Reaction::Down => {
                record(&format!("down {id}"));
                wait_closed(&mut stream, 60_000.0);
                return;
            }
        };
        record(&format!("{word} {id}"));
        if !answer(&mut stream, status, &report, "") {
            return;
        }
    }
}

fn serve_other(mut stream: TcpStream, dest: u64) {
    let mut unread = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut unread) {
        let id = request.header("req-id").to_owned();
        record(&format!("other {dest} call {id}"));
        sleep_ms(SERVICE_MS);
        record(&format!("other {dest} served {id}"));
        if !answer(&mut stream, "200 OK", "Srv-Load: x0=0.50,x1=120.0\r\n", "") {
            return;
        }
    }
}

fn settings(number: usize) -> String {
    format!(
        r#"{{"me":{number},"peersTotal":{FORWARDERS},"classes":[
        {{"name":"auth-notice","idempotency":"token","dedupScope":"all","keyTtl":15000.0,"goalTime":3000.0,"deadline":28000.0,"worth":1.0,"lateShare":0.5,"streamed":false}},
        {{"name":"settle-order","idempotency":"side_effect","dedupScope":"all","keyTtl":5000.0,"goalTime":3000.0,"deadline":16000.0,"worth":1.0,"lateShare":0.3,"streamed":false}}],
        "kinds":["card-issuer","small-partner"],"zone":"hall-a","zones":["hall-a","hall-b"],"round":5.0,"weights":"rough","discovery":"push",
        "realms":[{{"name":"vidzemes-stacijas","quotaRps":300.0,"share":1.0}}],"overShareWorth":0.1,"report":{{"how":"inline","fields":["x0","x1"]}},
        "familyInfo":{{"batchByKind":[20,1],"kindApart":[false,false],"slots":{SLOTS},"decay":"halves"}},
        "limits":{{"maxAttempts":6,"openCap":900,"connectTimeout":1000.0,"idleClose":5000.0,"retryAfter":true,"maxRetryAfter":3000.0,"cancel":true,"mayDuplicate":true,"probes":true,"peers":true,"maxStreams":1}},
        "guarantees":{{"fallMultiple":{MULTIPLE},"overloadFor":{PERIOD_MS},"startCapacity":{START_SHARE},"warmAfter":{WARM_MS},"stopSendingWithin":2000.0,"graceToAnswer":20.0}}}}"#
    )
}

fn main() {
    let root = std::env::current_dir().expect("a folder");
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    open_record(&folder.join("record.txt"));
    let temporary = temporary_folder();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let state = Arc::new(Mutex::new(State { random: 0, ..State::default() }));
    let shared = state.clone();
    let address = listen(any, Arc::new(AtomicBool::new(false)), move |stream| serve_partner(&shared, stream));
    let mut lines =
        vec![Line { hint: LIMIT, ..Line::new("s-7a", address, PARTNER, "small-partner", "hall-a") }];
    for dest in 1..=4 {
        let address = listen(any, Arc::new(AtomicBool::new(false)), move |stream| serve_other(stream, dest));
        lines.push(Line {
            hint: 120.0,
            ..Line::new(&format!("s-{dest}a"), address, dest, "small-partner", "hall-a")
        });
    }
    let (mut forwarders, mut clients, mut agents) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..FORWARDERS {
        let name = format!("n{number}");
        let agent = Agent::start(&name, lines.clone());
        let mut forwarder = Forwarder::new(&name, &root, &temporary.join(&name));
        let (rev, list) = agent.list();
        forwarder.configure(agent.address, &list_json(rev, true, &list), &settings(number));
        if !forwarder.start() {
            println!("a forwarder does not become ready");
            drop((forwarder, forwarders));
            exit(2);
        }
        clients.push(Clients::new(forwarder.address, &number.to_string()));
        forwarders.push(forwarder);
        agents.push(agent);
    }
    let begin = now();
    let (from, until) = (begin + BEFORE_MS, begin + BEFORE_MS + TROUBLE_MS);
    let end = until + AFTER_MS;
    let traffic = |rate: f64, first: u64, dests: u64, seed: u64| {
        let clients = clients.clone();
        std::thread::spawn(move || {
            let (mut random, mut at) = (Random(seed), begin);
            loop {
                at += random.gap(rate);
                if at >= end {
                    return;
                }
                sleep_until(at);
                let clients = &clients[(random.unit() * FORWARDERS as f64) as usize];
                clients.hand_in(
                    "auth-notice",
                    "vidzemes-stacijas",
                    first + (random.unit() * dests as f64) as u64,
                    28_000,
                );
            }
        })
    };
    let (to_partner, to_others) = (traffic(RATE, PARTNER, 1, 5), traffic(OTHER_RATE, 1, 4, 9));
    if trouble() {
        sleep_until(from);
        record(&format!("TROUBLE begins: {FAIL_SHARE} of the calls fail"));
        state.lock().unwrap().fails = true;
        sleep_until(until);
        let mut s = state.lock().unwrap();
        s.fails = false;
        s.returned_at = Some(record("TROUBLE ends: the partner is cold"));
    }
    let _ = (to_partner.join(), to_others.join());
    let has_crashed = forwarders.iter_mut().any(Forwarder::has_crashed);
    let s = state.lock().unwrap();
    let waits_for_end = s.busy.len();
    let verdict = match &s.fell {
        Some((_, text, true)) => format!("BROKEN: the partner fell over: {text}"),
        Some((_, text, false)) => format!("held: the partner fell over, not by those that were told: {text}"),
        None => "held: the partner did not fall over".to_owned(),
    };
    // The page's limit: 52 to 96 %.
    let share = s.failed.iter().sum::<usize>() as f64 / s.calls_in_trouble.max(1) as f64;
    let is_within_limit = !trouble() || (0.52..=0.96).contains(&share);
    let summary = format!(
        "failed calls seen by n0 and n1 {:?}, a share of {share:.3}; answers 'full' {}, calls since the return {}, calls open at the end {waits_for_end}, crashed {has_crashed}",
        s.failed,
        s.full,
        s.arrivals.len()
    );
    record(&summary);
    record(&verdict);
    println!("{summary}\n{verdict}");
    let is_broken = s.fell.as_ref().is_some_and(|f| f.2) || has_crashed;
    drop(s);
    drop(forwarders);
    let _ = std::fs::remove_dir_all(&temporary);
    exit(if is_within_limit { i32::from(is_broken) } else { 2 });
}
