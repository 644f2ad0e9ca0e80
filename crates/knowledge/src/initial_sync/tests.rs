//! Tests of `initial_sync`.

use super::*;

#[test]
fn stays_pending_until_one_answer_is_complete() {
    let mut sync = InitialSync::new(100);
    sync.record_part(1, 0, 3);
    sync.record_part(1, 0, 3);
    sync.record_part(2, 2, 3);
    sync.record_part(2, 7, 3);
    assert!(sync.is_pending(99) && !sync.is_pending(100), "parts of two answers do not make one complete");
    sync.record_part(1, 2, 3);
    sync.record_part(1, 1, 3);
    assert!(!sync.is_pending(5));
    let mut crowded = InitialSync::new(100);
    (0..1000).for_each(|from| crowded.record_part(from, 0, 2));
    assert!(crowded.parts.len() <= MAX_MEMBERS);
}
