//! Tests attempts in virtual time.

use super::*;
use tokio::time::{sleep, timeout};

/// Time between two attempts.
const INTERVAL: Duration = Duration::from_millis(1400);

/// Starts an attempt each interval until one is answered, each of which is answered after `answer_time`, but for
/// the first `unanswered`. Returns how long that takes, and the number of open attempts at most.
async fn time_to_answer(
    attempts: &mut Attempts<()>,
    answer_time: Duration,
    unanswered: usize,
) -> (Duration, usize) {
    let (begin, mut most_open) = (Instant::now(), 0);
    for number in 0.. {
        attempts.start(async move {
            match number < unanswered {
                true => std::future::pending().await,
                false => sleep(answer_time).await,
            }
        });
        most_open = most_open.max(attempts.open_count());
        if let Ok(ended) = timeout(INTERVAL, attempts.next_ended()).await {
            attempts.answered(ended.started_at.elapsed());
            break;
        }
    }
    (begin.elapsed(), most_open)
}

/// Guards against a timeout that cannot grow: a peer that always takes longer would never be heard.
#[tokio::test(start_paused = true)]
async fn any_peer_that_answers_is_heard_however_slow_it_is() {
    for max_open in [2, 4] {
        for answer_secs in [1, 2, 4, 7, 9, 20, 100, 1000] {
            for unanswered in [0, 1, 2] {
                let answer_time = Duration::from_secs(answer_secs);
                let mut attempts = Attempts::new(max_open);
                let (time, most_open) = time_to_answer(&mut attempts, answer_time, unanswered).await;
                assert!(most_open <= max_open, "{most_open} open");
                // The time for which the oldest attempt stays open doubles until it is long enough.
                let bound = (answer_time * 5).max(Duration::from_secs(24));
                assert!(time < bound, "{answer_time:?}, {unanswered} unanswered: heard after {time:?}");
                // From then on it is known.
                let (time, _) = time_to_answer(&mut attempts, answer_time, 0).await;
                assert!(time <= answer_time + INTERVAL, "{answer_time:?}: heard again after {time:?}");
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn the_oldest_attempt_and_the_newest_ones_stay_open() {
    let mut attempts = Attempts::new(3);
    let ids: Vec<AttemptId> = (1..=5).map(|secs| attempts.start(sleep(Duration::from_secs(secs)))).collect();
    assert_eq!(attempts.open_count(), 3);
    let mut ended = Vec::new();
    while attempts.open_count() > 0 {
        ended.push(attempts.next_ended().await.id);
    }
    assert_eq!(ended, [ids[0], ids[3], ids[4]]);
}

#[tokio::test(start_paused = true)]
async fn an_attempt_that_was_given_up_does_not_end() {
    let mut attempts = Attempts::new(2);
    attempts.start(async {});
    attempts.give_up_all();
    assert_eq!(attempts.open_count(), 0);
    assert!(timeout(INTERVAL, attempts.next_ended()).await.is_err());
}
