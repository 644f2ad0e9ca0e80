//! Tests of `codec`.

use super::*;
use proptest::prelude::*;
use yarrowhill_membership::*;
use yarrowhill_rights::{MAX_PAYLOADS, Offer, Payload, Request};

fn largest_packet() -> Packet {
    let incarnation = Incarnation { boot: u64::MAX, refutations: u64::MAX };
    let record = Record { incarnation, health: Health::Left, instance: InstanceId(u64::MAX) };
    let update = Update { about: MemberId(u64::MAX), record, by: MemberId(u64::MAX) };
    let roster = RosterRef { version: u64::MAX, hash: u64::MAX };
    let (from, instance, view) = (MemberId(u64::MAX), InstanceId(u64::MAX), ViewId(u64::MAX));
    Packet {
        header: Header { from, incarnation, instance, roster, view },
        body: Body::SupportGrant { view, at: u64::MAX },
        updates: vec![update; MAX_UPDATES],
    }
}

#[test]
fn fits_and_round_trips_the_largest_membership_packet() {
    let bytes = encode(&largest_packet(), MAX_PACKET_BYTES).expect("fits");
    assert_eq!(decode::<Packet>(&bytes, MAX_PACKET_BYTES), Ok(largest_packet()));
    assert!(matches!(Datagram::decode(&bytes), Ok(Datagram::Membership(_))));
    // Fields that a later build appends are ignored.
    let longer = [bytes.clone(), vec![1, 2, 3]].concat();
    assert_eq!(decode::<Packet>(&longer, MAX_PACKET_BYTES + 3), Ok(largest_packet()));
    let other = [b"yw\x02".as_slice(), &bytes[3..]].concat();
    assert_eq!(decode::<Packet>(&other, MAX_PACKET_BYTES), Err(CodecError::UnknownFormat));
    assert_eq!(decode::<Packet>(&bytes[..40], MAX_PACKET_BYTES), Err(CodecError::Malformed));
}

#[test]
fn fits_and_round_trips_the_largest_packets_of_the_other_kinds() {
    let offer = Some(Offer { asked_at: u64::MAX, amount: u64::MAX });
    let request = Request { sent_at: u64::MAX, extra: u64::MAX, offer };
    let payloads = vec![Payload::Request(u64::MAX, request); MAX_PAYLOADS];
    let envelope = Envelope { instance: u64::MAX, to_instance: Some(u64::MAX), payloads };
    let bytes = encode_rights(&envelope).expect("fits");
    assert!(matches!(Datagram::decode(&bytes), Ok(Datagram::Rights(_))));
    assert_eq!(decode::<Packet>(&bytes, MAX_PACKET_BYTES), Err(CodecError::UnknownFormat));
    assert_eq!(decode_rights(&bytes), Ok(envelope));
    assert_eq!(decode_rights(&bytes[..90]), Err(CodecError::Malformed));
    let max = u64::MAX;
    let report = WaitReport { dest: max, origin: max, version: (max, max), remaining: max };
    let update = WaitUpdate { request_snapshot: true, reports: vec![report; MAX_REPORTS] };
    let bytes = encode_waits(&update).expect("fits");
    assert!(matches!(Datagram::decode(&bytes), Ok(Datagram::Waits(_))));
    assert_eq!(decode_waits(&bytes), Ok(update));
    let finding = yarrowhill_knowledge::Finding::Recovered(max);
    let outages = vec![OutageReport { dest: max, origin: max, version: (max, max), finding }; MAX_REPORTS];
    let bytes = encode_outages(&outages).expect("fits");
    assert!(matches!(Datagram::decode(&bytes), Ok(Datagram::Outages(_))));
    assert_eq!(decode_outages(&bytes), Ok(outages.clone()));
    assert_eq!(decode_outages(&bytes[..50]), Err(CodecError::Malformed));
    let parts = SnapshotPart::split(&vec![report; 30], &outages);
    assert_eq!(parts.iter().map(|p| (p.part, p.parts)).collect::<Vec<_>>(), [(0, 3), (1, 3), (2, 3)]);
    assert_eq!(parts.iter().map(|p| p.waits.len()).sum::<usize>(), 30);
    let bytes = encode_snapshot_part(&parts[0]).expect("fits");
    assert_eq!(decode_snapshot_part(&bytes), Ok(parts[0].clone()));
    assert!(matches!(Datagram::decode(&bytes), Ok(Datagram::SnapshotPart(_))));
    assert_eq!(SnapshotPart::split(&[], &[]).len(), 1);
    let process = duties::ProcessId { member: max, instance: max };
    let ballot = duties::Ballot { number: max, proposer: process };
    let value = duties::RegisterValue {
        holder: Some(process),
        token: max,
        reason: duties::Reason::Pinned,
        pinned: Some(max),
        step: max,
        progress: vec![255; duties::MAX_PROGRESS_BYTES],
    };
    let accepted = Some(duties::Accepted { ballot, seq: max, value });
    let register = Some(duties::Register { promised: ballot, accepted });
    let flags = duties::VoterFlags { voting: true, fresh: true };
    let remembers = (Some((max, max)), max);
    let payload =
        duties::Payload::RecoveryResponse { nonce: max, flags, remembers, register, part: (254, 255) };
    let envelope = duties::Envelope { from: process, duty: max, payload };
    let bytes = encode_duty(&envelope).expect("fits");
    assert!(matches!(Datagram::decode(&bytes), Ok(Datagram::Duty(_))));
    assert_eq!(decode_duty(&bytes), Ok(envelope));
}

proptest! {
    /// Arbitrary bytes behind the mark are decoded or rejected, and decode to no more items than bytes.
    #[test]
    fn decodes_or_rejects_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let bytes = [MEMBERSHIP_MARK.as_slice(), &bytes].concat();
        if let Ok(packet) = decode::<Packet>(&bytes, MAX_PACKET_BYTES) {
            prop_assert!(packet.updates.len() < 400);
        }
    }
}
