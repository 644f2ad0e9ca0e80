//! Tests in virtual time when notices are due.

use super::*;
use crate::attempts::Attempts;
use tokio::time::advance;
use yarrowhill_engine::NoticeEnd;

fn with_notices(count: usize) -> UnacknowledgedNotices {
    let mut notices = UnacknowledgedNotices::default();
    let notice = |number| Notice { message_id: format!("m{number}"), end: NoticeEnd::GivenUp };
    notices.add((0..count).map(notice).collect());
    notices
}

/// Returns the identifiers of two attempts.
fn two_attempts() -> [AttemptId; 2] {
    let mut attempts = Attempts::new(2);
    [attempts.start(async {}), attempts.start(async {})]
}

#[tokio::test(start_paused = true)]
async fn a_notice_of_an_open_attempt_is_due_again_when_that_is_late() {
    let mut notices = with_notices(2);
    let [first, _] = two_attempts();
    notices.record_attempt(&[0], first);
    assert_eq!(notices.due(), [1]);
    advance(RETRY_TIMEOUT - Duration::from_millis(1)).await;
    assert_eq!(notices.due(), [1]);
    advance(Duration::from_millis(1)).await;
    assert_eq!(notices.due(), [0, 1]);
}

#[tokio::test(start_paused = true)]
async fn a_failed_attempt_makes_its_notices_due_but_those_of_a_later_one() {
    let mut notices = with_notices(2);
    let [first, second] = two_attempts();
    notices.record_attempt(&[0, 1], first);
    notices.record_attempt(&[1], second);
    notices.record_failure(&[0, 1], first);
    assert!(notices.due().is_empty());
    advance(RETRY_DELAY).await;
    assert_eq!(notices.due(), [0]);
}

#[tokio::test(start_paused = true)]
async fn a_notice_is_acknowledged_once() {
    let mut notices = with_notices(3);
    assert_eq!(notices.acknowledge(&[0, 2]).len(), 2);
    assert_eq!(notices.all(), [1]);
    assert_eq!(notices.acknowledge(&[0, 1, 2]).len(), 1);
    assert!(notices.is_empty() && notices.next_due_at().is_none());
}
