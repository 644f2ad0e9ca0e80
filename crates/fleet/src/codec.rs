//! Packets as bytes: a mark, a version, and then postcard. A later version adds fields at the end, which this one leaves
//! unread; one that changes what is there takes another number, and is not read.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use yarrowhill_duties as duties;
use yarrowhill_knowledge::{OutageReport, WaitReport};
use yarrowhill_rights::Envelope;

/// No UDP packet is longer (bytes): it fits a frame of Ethernet with room for tunnels.
pub const MAX_PACKET_BYTES: usize = 1400;
/// No whole view is longer (bytes): room for the largest roster.
pub const MAX_FULL_STATE_BYTES: usize = 256 << 10;
/// What a packet of membership begins with,
const MARK: [u8; 3] = *b"yw\x01";
/// and one about shared limits. Builds that know none of these count it as spoilt.
const RIGHTS_MARK: [u8; 3] = *b"yr\x01";
/// And one of news about destinations.
const NEWS_MARK: [u8; 3] = *b"yk\x01";
/// And one of findings about them.
const FINDINGS_MARK: [u8; 3] = *b"yj\x01";
/// And one part of what one that has just started is told.
const TOLD_MARK: [u8; 3] = *b"ya\x01";
/// And a letter about duties.
const DUTY_MARK: [u8; 3] = *b"yd\x01";
/// Words of each kind in such a part.
pub const MAX_PART_REPORTS: usize = 12;
/// Words in a packet of news or of findings: at their longest they fit.
pub const MAX_REPORTS: usize = 24;

/// What members tell each other of destinations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitUpdate {
    /// The sender has just started, and wants to hear all that still holds.
    pub request_snapshot: bool,
    /// At most [`MAX_REPORTS`].
    pub reports: Vec<WaitReport>,
}

/// A part of what one that has just started is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Which part,
    pub part: u8,
    /// of how many.
    pub parts: u8,
    /// Waits, at most [`MAX_PART_REPORTS`].
    pub waits: Vec<WaitReport>,
    /// Findings, at most [`MAX_PART_REPORTS`].
    pub outages: Vec<OutageReport>,
}

impl SnapshotPart {
    /// All parts: one at least, since that nothing holds is to be told too.
    pub fn split(waits: &[WaitReport], outages: &[OutageReport]) -> Vec<SnapshotPart> {
        let parts = waits.len().max(outages.len()).div_ceil(MAX_PART_REPORTS).clamp(1, usize::from(u8::MAX));
        let some =
            |n: usize, len: usize| (n * MAX_PART_REPORTS).min(len)..((n + 1) * MAX_PART_REPORTS).min(len);
        let part = |n: usize| SnapshotPart {
            part: n as u8,
            parts: parts as u8,
            waits: waits[some(n, waits.len())].to_vec(),
            outages: outages[some(n, outages.len())].to_vec(),
        };
        (0..parts).map(part).collect()
    }
}

/// Why bytes are no packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// Longer than it may be.
    #[error("{0} bytes are too many")]
    TooLong(usize),
    /// Not ours, or of another version.
    #[error("not of this version")]
    UnknownFormat,
    /// Cut off or spoilt.
    #[error("cannot be read")]
    Malformed,
}

/// The bytes of a packet.
///
/// # Errors
///
/// It is too long.
pub fn encode<T: Serialize>(packet: &T, most: usize) -> Result<Vec<u8>, CodecError> {
    encode_behind(&MARK, packet, most)
}

/// The bytes of a letter about shared limits.
///
/// # Errors
///
/// It is too long.
pub fn encode_rights(letter: &Envelope) -> Result<Vec<u8>, CodecError> {
    encode_behind(&RIGHTS_MARK, letter, MAX_PACKET_BYTES)
}

fn encode_behind<T: Serialize>(mark: &[u8], packet: &T, most: usize) -> Result<Vec<u8>, CodecError> {
    let bytes = postcard::to_extend(packet, mark.to_vec()).map_err(|_| CodecError::Malformed)?;
    if bytes.len() > most { Err(CodecError::TooLong(bytes.len())) } else { Ok(bytes) }
}

/// The bytes of news.
///
/// # Errors
///
/// They are too long.
pub fn encode_waits(news: &WaitUpdate) -> Result<Vec<u8>, CodecError> {
    encode_behind(&NEWS_MARK, news, MAX_PACKET_BYTES)
}

/// The bytes of findings, at most [`MAX_REPORTS`] of them.
///
/// # Errors
///
/// They are too long.
pub fn encode_outages(findings: &[OutageReport]) -> Result<Vec<u8>, CodecError> {
    encode_behind(&FINDINGS_MARK, &findings, MAX_PACKET_BYTES)
}

/// The bytes of a part of what a newcomer is told.
///
/// # Errors
///
/// They are too long.
pub fn encode_snapshot_part(told: &SnapshotPart) -> Result<Vec<u8>, CodecError> {
    encode_behind(&TOLD_MARK, told, MAX_PACKET_BYTES)
}

/// Whether some bytes are such a part.
pub fn is_snapshot_part(bytes: &[u8]) -> bool {
    bytes.starts_with(&TOLD_MARK)
}

/// The part of some bytes, whatever they are.
///
/// # Errors
///
/// They are none.
pub fn decode_snapshot_part(bytes: &[u8]) -> Result<SnapshotPart, CodecError> {
    decode_behind(&TOLD_MARK, bytes, MAX_PACKET_BYTES)
}

/// The bytes of a letter about duties.
///
/// # Errors
///
/// They are too long.
pub fn encode_duty(letter: &duties::Envelope) -> Result<Vec<u8>, CodecError> {
    encode_behind(&DUTY_MARK, letter, MAX_PACKET_BYTES)
}

/// Whether some bytes are about duties.
pub fn is_duty(bytes: &[u8]) -> bool {
    bytes.starts_with(&DUTY_MARK)
}

/// The letter about duties of some bytes, whatever they are.
///
/// # Errors
///
/// They are none.
pub fn decode_duty(bytes: &[u8]) -> Result<duties::Envelope, CodecError> {
    decode_behind(&DUTY_MARK, bytes, MAX_PACKET_BYTES)
}

/// Whether some bytes are findings.
pub fn is_outages(bytes: &[u8]) -> bool {
    bytes.starts_with(&FINDINGS_MARK)
}

/// The findings of some bytes, whatever they are.
///
/// # Errors
///
/// They are none.
pub fn decode_outages(bytes: &[u8]) -> Result<Vec<OutageReport>, CodecError> {
    decode_behind(&FINDINGS_MARK, bytes, MAX_PACKET_BYTES)
}

/// Whether some bytes are news.
pub fn is_waits(bytes: &[u8]) -> bool {
    bytes.starts_with(&NEWS_MARK)
}

/// The news of some bytes, whatever they are.
///
/// # Errors
///
/// They are none.
pub fn decode_waits(bytes: &[u8]) -> Result<WaitUpdate, CodecError> {
    decode_behind(&NEWS_MARK, bytes, MAX_PACKET_BYTES)
}

/// Whether some bytes are about shared limits.
pub fn is_rights(bytes: &[u8]) -> bool {
    bytes.starts_with(&RIGHTS_MARK)
}

/// The letter of some bytes, whatever they are.
///
/// # Errors
///
/// They are none.
pub fn decode_rights(bytes: &[u8]) -> Result<Envelope, CodecError> {
    decode_behind(&RIGHTS_MARK, bytes, MAX_PACKET_BYTES)
}

/// The packet of some bytes, whatever they are.
///
/// # Errors
///
/// They are none.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], most: usize) -> Result<T, CodecError> {
    decode_behind(&MARK, bytes, most)
}

fn decode_behind<T: DeserializeOwned>(mark: &[u8], bytes: &[u8], most: usize) -> Result<T, CodecError> {
    if bytes.len() > most {
        return Err(CodecError::TooLong(bytes.len()));
    }
    let body = bytes.strip_prefix(mark).ok_or(CodecError::UnknownFormat)?;
    postcard::take_from_bytes(body).map(|(packet, _)| packet).map_err(|_| CodecError::Malformed)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use yarrowhill_membership::*;
    use yarrowhill_rights::{MAX_PAYLOADS, Offer, Payload, Request};

    fn largest() -> Packet {
        let inc = Incarnation { boot: u64::MAX, refutations: u64::MAX };
        let record = Record { incarnation: inc, health: Health::Left, instance: InstanceId(u64::MAX) };
        let update = Update { about: MemberId(u64::MAX), record, by: MemberId(u64::MAX) };
        let roster = RosterRef { version: u64::MAX, hash: u64::MAX };
        let (from, life, view) = (MemberId(u64::MAX), InstanceId(u64::MAX), ViewId(u64::MAX));
        Packet {
            header: Header { from, incarnation: inc, instance: life, roster, view },
            body: Body::SupportGrant { view, at: u64::MAX },
            updates: vec![update; MAX_UPDATES],
        }
    }

    #[test]
    fn the_largest_packet_fits_and_comes_back() {
        let bytes = encode(&largest(), MAX_PACKET_BYTES).expect("fits");
        assert_eq!(decode::<Packet>(&bytes, MAX_PACKET_BYTES), Ok(largest()));
        // What a later version adds at the end is left unread.
        let longer = [bytes.clone(), vec![1, 2, 3]].concat();
        assert_eq!(decode::<Packet>(&longer, MAX_PACKET_BYTES + 3), Ok(largest()));
        let other = [b"yw\x02".as_slice(), &bytes[3..]].concat();
        assert_eq!(decode::<Packet>(&other, MAX_PACKET_BYTES), Err(CodecError::UnknownFormat));
        assert_eq!(decode::<Packet>(&bytes[..40], MAX_PACKET_BYTES), Err(CodecError::Malformed));
    }

    #[test]
    fn the_largest_letter_fits_and_comes_back() {
        let offer = Some(Offer { asked_at: u64::MAX, amount: u64::MAX });
        let want = Request { sent_at: u64::MAX, extra: u64::MAX, offer };
        let words = vec![Payload::Request(u64::MAX, want); MAX_PAYLOADS];
        let letter = Envelope { life: u64::MAX, to_life: Some(u64::MAX), payloads: words };
        let bytes = encode_rights(&letter).expect("fits");
        assert!(
            is_rights(&bytes) && decode::<Packet>(&bytes, MAX_PACKET_BYTES) == Err(CodecError::UnknownFormat)
        );
        assert_eq!(decode_rights(&bytes), Ok(letter));
        assert_eq!(decode_rights(&bytes[..90]), Err(CodecError::Malformed));
        let most = u64::MAX;
        let word = WaitReport { dest: most, origin: most, version: (most, most), remaining: most };
        let news = WaitUpdate { request_snapshot: true, reports: vec![word; MAX_REPORTS] };
        let bytes = encode_waits(&news).expect("fits");
        assert!(is_waits(&bytes) && !is_rights(&bytes));
        assert_eq!(decode_waits(&bytes), Ok(news));
        let finding = yarrowhill_knowledge::Finding::Recovered(most);
        let findings =
            vec![OutageReport { dest: most, origin: most, version: (most, most), finding }; MAX_REPORTS];
        let bytes = encode_outages(&findings).expect("fits");
        assert!(is_outages(&bytes) && !is_waits(&bytes));
        assert_eq!(decode_outages(&bytes), Ok(findings.clone()));
        assert_eq!(decode_outages(&bytes[..50]), Err(CodecError::Malformed));
        let told = SnapshotPart::split(&vec![word; 30], &findings);
        assert_eq!(told.iter().map(|t| (t.part, t.parts)).collect::<Vec<_>>(), [(0, 3), (1, 3), (2, 3)]);
        assert_eq!(told.iter().map(|t| t.waits.len()).sum::<usize>(), 30);
        assert_eq!(decode_snapshot_part(&encode_snapshot_part(&told[0]).expect("fits")), Ok(told[0].clone()));
        assert_eq!(SnapshotPart::split(&[], &[]).len(), 1);
        let life = duties::ProcessId { member: most, instance: most };
        let ballot = duties::Ballot { number: most, proposer: life };
        let value = duties::RegisterValue {
            holder: Some(life),
            token: most,
            reason: duties::Reason::Pinned,
            pinned: Some(most),
            step: most,
            progress: vec![255; duties::MAX_PROGRESS_BYTES],
        };
        let accepted = Some(duties::Accepted { ballot, seq: most, value });
        let register = Some(duties::Register { promised: ballot, accepted });
        let flags = duties::VoterFlags { voting: true, fresh: true };
        let remembers = (Some((most, most)), most);
        let body =
            duties::Payload::RecoveryResponse { nonce: most, flags, remembers, register, part: (254, 255) };
        let letter = duties::Envelope { from: life, duty: most, payload: body };
        let bytes = encode_duty(&letter).expect("fits");
        assert!(is_duty(&bytes) && !is_rights(&bytes));
        assert_eq!(decode_duty(&bytes), Ok(letter));
    }

    proptest! {
        /// Any bytes behind the mark are read or refused, and take no room that they do not have.
        #[test]
        fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
            let bytes = [MARK.as_slice(), &bytes].concat();
            if let Ok(packet) = decode::<Packet>(&bytes, MAX_PACKET_BYTES) {
                prop_assert!(packet.updates.len() < 400);
            }
        }
    }
}
