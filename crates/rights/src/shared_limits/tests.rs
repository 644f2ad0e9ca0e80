//! Tests of `shared_limits`.

use super::*;

const LIMIT: u64 = 10;

/// Runs two members that exchange messages without delay, and returns the calls per second that each
/// began.
fn run(members: &mut [SharedLimits; 2], now: &mut Micros, duration: Micros, rates: [u64; 2]) -> [u64; 2] {
    let view = [1, 2];
    let mut begun = [0; 2];
    let end = *now + duration;
    while *now < end {
        *now += 1000;
        for n in 0..2 {
            if rates[n] > 0 && (*now).is_multiple_of(1_000_000 / rates[n]) {
                begun[n] += u64::from(members[n].try_begin(*now, &[LIMIT], 1.0, false).is_ok());
            }
            for (to, envelope) in members[n].tick(*now, &view) {
                let to = (to - 1) as usize;
                if let Some(answer) = members[to].handle(*now, n as u64 + 1, &envelope) {
                    members[n].handle(*now, to as u64 + 1, &answer);
                }
            }
        }
    }
    begun.map(|calls| calls * 1_000_000 / duration)
}

fn two_members(calls: u64) -> ([SharedLimits; 2], Micros) {
    let durations = LeaseDurations::new(200_000, 0.01);
    let now = 1_000_000_000;
    let limits = BTreeMap::from([(LIMIT, Limit { calls: calls * CALL, lend: true })]);
    let mut members = [1, 2].map(|id| SharedLimits::new(now, id, id * 77, 2, durations));
    members.iter_mut().for_each(|m| m.set_limits(now, 2, &limits));
    (members, now)
}

#[test]
fn moves_rights_from_an_idle_to_a_busy_member_and_back() {
    let (mut members, mut now) = two_members(100);
    assert_eq!(
        run(&mut members, &mut now, 400_000, [100, 1]),
        [0, 0],
        "after a restart earlier loans are unknown"
    );
    run(&mut members, &mut now, 2_000_000, [100, 1]);
    let [busy, _] = run(&mut members, &mut now, 5_000_000, [125, 1]);
    assert!((85..=100).contains(&busy), "{busy}");
    run(&mut members, &mut now, 3_000_000, [1, 125]);
    let [_, busy] = run(&mut members, &mut now, 5_000_000, [1, 125]);
    assert!((85..=100).contains(&busy), "{busy}");
    let both = run(&mut members, &mut now, 5_000_000, [125, 125]);
    assert!(both[0] + both[1] <= 101 && both.iter().all(|calls| *calls >= 40), "{both:?}");
}

#[test]
fn applies_a_lowered_limit_at_once() {
    let (mut members, mut now) = two_members(100);
    run(&mut members, &mut now, 5_000_000, [125, 1]);
    let limits = BTreeMap::from([(LIMIT, Limit { calls: 10 * CALL, lend: true })]);
    members.iter_mut().for_each(|m| m.set_limits(now, 2, &limits));
    let sum: u64 = members.iter().filter_map(|m| m.right(now, LIMIT)).sum();
    assert!(sum <= 10 * CALL, "{sum}");
    let [busy, _] = run(&mut members, &mut now, 1_000_000, [125, 1]);
    assert!(busy <= 12, "{busy}");
}

/// A call under two limits takes from both or from neither, and a fraction of a right yields that
/// fraction of its calls.
#[test]
fn takes_a_call_from_both_of_its_limits_or_neither() {
    let durations = LeaseDurations::new(200_000, 0.01);
    let mut now = 1_000_000_000;
    let retries = retry_limit_id(LIMIT);
    let limit = |calls| Limit { calls: calls * CALL, lend: false };
    let mut member = SharedLimits::new(now, 1, 77, 1, durations);
    member.set_limits(now, 1, &BTreeMap::from([(LIMIT, limit(100)), (retries, limit(5))]));
    now += 10_000_000;
    let mut begun = [0, 0];
    for n in 0..20_000u64 {
        now += 1000;
        begun[0] += u64::from(member.try_begin(now, &[LIMIT, retries], 1.0, false).is_ok());
        begun[1] += u64::from(n % 2 == 0 && member.try_begin(now, &[LIMIT], 1.0, false).is_ok());
    }
    assert!((95..=105).contains(&begun[0]), "{begun:?}");
    assert!((1880..=2010).contains(&(begun[0] + begun[1])), "{begun:?}");
    let before = now;
    let mut warming = 0;
    while now < before + 10_000_000 {
        now += 1000;
        warming += u64::from(member.try_begin(now, &[LIMIT], 0.2, false).is_ok());
    }
    assert!((195..=212).contains(&warming), "{warming}");
}

#[test]
fn rejects_stale_and_excessive_messages() {
    let (mut members, mut now) = two_members(100);
    run(&mut members, &mut now, 5_000_000, [1, 1]);
    let [member, _] = &mut members;
    let offer = |amount| Some(crate::Offer { asked_at: now, amount });
    let request = |amount| Payload::Request(LIMIT, Request { sent_at: now, extra: 0, offer: offer(amount) });
    let envelope = |to_instance, payload| Envelope { instance: 5, to_instance, payloads: vec![payload] };
    member.handle(now, 2, &envelope(Some(1), request(PARTS / 2)));
    assert_eq!(member.refusals().stale, 1);
    member.handle(now, 2, &envelope(Some(77), request(u64::MAX)));
    assert_eq!(member.refusals().excessive, 1);
    let grant = Grant { requested_at: now, amount: PARTS, asked_at: now };
    member.handle(now, 2, &envelope(None, Payload::Grant(LIMIT, grant)));
    assert_eq!(member.refusals().stale, 2);
    assert!(member.right(now, LIMIT).is_some_and(|right| right <= 50 * CALL));
    member.handle(now, 2, &envelope(Some(77), Payload::Grant(LIMIT + 1, grant)));
    assert_eq!(member.refusals().unknown, 1);
}
