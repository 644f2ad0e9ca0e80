use super::*;
use std::thread::sleep;

/// Time limit of the bodies; one step has an eighth of it.
const TIME_LIMIT: Duration = Duration::from_millis(80);
/// Longer than a step.
const LATE: Duration = Duration::from_millis(15);
const LENGTH: usize = 64 << 10;

fn used(memory: &BodyMemory) -> usize {
    memory.lock().used
}

/// Appends all but the last bytes of a body in pieces of this size.
fn append_most(buffer: &BodyBuffer, piece_bytes: usize) -> Result<(), OutOfMemory> {
    (0..(LENGTH - 1) / piece_bytes).try_for_each(|_| buffer.append(&vec![b'x'; piece_bytes]))
}

#[test]
fn counts_what_has_arrived_whatever_the_size_of_the_pieces() {
    for piece_bytes in [1, 16, 64, 536, 1460, 16 << 10] {
        let memory = BodyMemory::new(2 * LENGTH);
        let buffer = memory.begin(LENGTH, TIME_LIMIT);
        assert_eq!(used(&memory), 0, "announced bytes are counted");
        append_most(&buffer, piece_bytes).expect("there is room");
        assert!(used(&memory) <= LENGTH, "{} of pieces of {piece_bytes}", used(&memory));
        drop(buffer);
        assert_eq!(used(&memory), 0);
    }
}

/// Guards against clients that are refused because others announced long bodies and stopped.
#[test]
fn bodies_that_stop_give_way_to_one_that_arrives() {
    let memory = BodyMemory::new(3 * LENGTH);
    let stopped: Vec<BodyBuffer> = (0..3).map(|_| memory.begin(LENGTH, TIME_LIMIT)).collect();
    for buffer in &stopped {
        append_most(buffer, 1024).expect("there is room");
    }
    sleep(LATE);
    let arriving = memory.begin(LENGTH, TIME_LIMIT);
    append_most(&arriving, 1024).expect("a late body is evicted");
    assert!(used(&memory) <= 3 * LENGTH);
    assert_eq!(stopped[0].append(b"x"), Err(OutOfMemory), "the one that stopped first is evicted");
    assert_eq!(stopped[2].append(b"x"), Ok(()), "no more are evicted than needed");
}

#[tokio::test]
async fn tells_a_body_that_it_was_evicted() {
    let memory = BodyMemory::new(LENGTH);
    let stopped = memory.begin(LENGTH, TIME_LIMIT);
    append_most(&stopped, 1024).expect("there is room");
    sleep(LATE);
    append_most(&memory.begin(LENGTH, TIME_LIMIT), 1024).expect("the late body is evicted");
    tokio::time::timeout(Duration::from_secs(5), stopped.evicted()).await.expect("it is told");
    assert_eq!(stopped.complete().map(|body| body.bytes), Err(OutOfMemory));
}

/// A body that is nearly complete must not give way to one that has just begun: none would ever be complete.
#[test]
fn bodies_that_arrive_in_time_are_not_evicted_for_later_ones() {
    let memory = BodyMemory::new(LENGTH);
    let first = memory.begin(LENGTH, Duration::from_secs(60));
    append_most(&first, 1024).expect("there is room");
    let second = memory.begin(LENGTH, Duration::from_secs(60));
    assert_eq!(append_most(&second, 1024), Err(OutOfMemory));
    assert!(first.append(b"x").is_ok());
    drop((first, second));
    assert_eq!(used(&memory), 0);
}

/// Guards against short messages that are refused while long ones take all memory, complete or not.
#[test]
fn a_short_body_always_has_room() {
    let memory = BodyMemory::new(LENGTH);
    let buffer = memory.begin(LENGTH, TIME_LIMIT);
    buffer.append(&vec![b'x'; LENGTH]).expect("there is room");
    let long = buffer.complete().expect("it is not evicted");
    assert_eq!(used(&memory), LENGTH);
    sleep(LATE);
    let short = memory.begin(FREE_BYTES, TIME_LIMIT);
    short.append(&[b'x'; FREE_BYTES]).expect("a short body needs none of the limit");
    assert_eq!(short.complete().expect("it is not evicted").bytes.len(), FREE_BYTES);
    let other = memory.begin(LENGTH, TIME_LIMIT);
    assert_eq!(append_most(&other, 1024), Err(OutOfMemory), "complete bodies are not evicted");
    drop((long, other));
    assert_eq!(used(&memory), 0);
}
