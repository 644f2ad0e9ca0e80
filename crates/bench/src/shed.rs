//! Measures what a submission costs near the cap on held messages, by the number of messages that an earlier
//! process had accepted. It should not grow with them.

use std::error::Error;
use std::time::Instant;
use yarrowhill_policy::Balancer;
use yarrowhill_policy::api::{
    Action, Class, DestKind, Effect, EndpointEntry, Event, Listing, MessageHistory, MessageId, Micros,
    Settings, SubmittedMessage,
};

/// Numbers of recovered messages.
const RECOVERED: [u64; 4] = [100, 1_000, 10_000, 100_000];
/// Number of submissions in a round.
const SUBMISSIONS: u64 = 2_000;
/// Number of rounds. The fastest counts, since disturbances only add time.
const ROUNDS: u64 = 5;
/// Time that every message has (microseconds).
const TIME_LEFT: Micros = 3_600_000_000;

fn settings(max_held_messages: usize) -> Settings {
    let class = Class {
        effect: Effect::Unsafe,
        target_latency: 3_000_000,
        deadline: TIME_LEFT,
        value: 1.0,
        deadline_value_share: 0.5,
        ordered: false,
    };
    Settings {
        classes: vec![class],
        kinds: vec![DestKind { independent_endpoints: false, max_batch: 20 }],
        slots: 16,
        max_held_messages,
        max_attempts: 6,
        ..Settings::default()
    }
}

fn submission(id: MessageId, was_accepted: bool) -> Event {
    let history = MessageHistory { was_accepted, ..MessageHistory::default() };
    Event::Submit(SubmittedMessage {
        id,
        class: 0,
        tenant: None,
        key: None,
        expires_at: TIME_LEFT,
        dest: 1,
        history,
    })
}

/// Returns the time per submission (microseconds) while this many recovered messages are held, one less than
/// the cap. Each submission is shed at once.
fn measure_submission(recovered: u64) -> Result<f64, Box<dyn Error>> {
    let mut balancer = Balancer::new(settings(recovered as usize + 1), 1);
    let mut actions = Vec::new();
    let draining =
        EndpointEntry { endpoint: 1, dest: 1, zone: 0, kind: 0, listing: Listing::Draining, weight: 0.0 };
    balancer.on_event(0, Event::FullList(vec![draining]), &mut actions);
    for id in 0..recovered {
        balancer.on_event(0, submission(id, true), &mut actions);
    }
    let mut fastest = f64::INFINITY;
    for round in 0..ROUNDS {
        let first = recovered + round * SUBMISSIONS;
        actions.clear();
        let start = Instant::now();
        for id in first..first + SUBMISSIONS {
            balancer.on_event(0, submission(id, false), &mut actions);
        }
        fastest = fastest.min(start.elapsed().as_secs_f64() * 1e6 / SUBMISSIONS as f64);
        let refused = actions.iter().filter(|a| matches!(a, Action::Refuse { id, .. } if *id >= first));
        if refused.count() as u64 != SUBMISSIONS {
            return Err(format!("invalid run: not every submission was shed with {recovered} held").into());
        }
    }
    Ok(fastest)
}

/// Measures and prints the cost for each number of recovered messages, and its ratio to the first.
pub(crate) fn measure() -> Result<(), Box<dyn Error>> {
    let smallest = measure_submission(RECOVERED[0])?;
    for recovered in RECOVERED {
        let cost = measure_submission(recovered)?;
        println!("{recovered:>7} recovered  {cost:8.3} us per submission  ratio {:.2}", cost / smallest);
    }
    Ok(())
}
