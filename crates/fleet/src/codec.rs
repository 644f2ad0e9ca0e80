//! Packets as bytes: a mark, a version, and then postcard. A later version adds fields at the end, which this one leaves
//! unread; one that changes what is there takes another number, and is not read.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use yarrowhill_duties as duties;
use yarrowhill_knowledge::{OutageReport, WaitReport};
use yarrowhill_rights::Envelope;

/// No UDP packet is longer (bytes): it fits a frame of Ethernet with room for tunnels.
pub const PACKET_MOST: usize = 1400;
/// No whole view is longer (bytes): room for the largest roster.
pub const WHOLE_MOST: usize = 256 << 10;
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
pub const TOLD_WORDS: usize = 12;
/// Words in a packet of news or of findings: at their longest they fit.
pub const NEWS_WORDS: usize = 24;

/// What members tell each other of destinations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The sender has just started, and wants to hear all that still holds.
    pub hello: bool,
    /// At most [`NEWS_WORDS`].
    pub words: Vec<WaitReport>,
}

/// A part of what one that has just started is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Which part,
    pub part: u8,
    /// of how many.
    pub parts: u8,
    /// Waits, at most [`TOLD_WORDS`].
    pub waits: Vec<WaitReport>,
    /// Findings, at most [`TOLD_WORDS`].
    pub findings: Vec<OutageReport>,
}

impl Told {
    /// All parts: one at least, since that nothing holds is to be told too.
    pub fn parts(waits: &[WaitReport], findings: &[OutageReport]) -> Vec<Told> {
        let parts = waits.len().max(findings.len()).div_ceil(TOLD_WORDS).clamp(1, usize::from(u8::MAX));
        let some = |n: usize, len: usize| (n * TOLD_WORDS).min(len)..((n + 1) * TOLD_WORDS).min(len);
        let part = |n: usize| Told {
            part: n as u8,
            parts: parts as u8,
            waits: waits[some(n, waits.len())].to_vec(),
            findings: findings[some(n, findings.len())].to_vec(),
        };
        (0..parts).map(part).collect()
    }
}

/// Why bytes are no packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// Longer than it may be.
    #[error("{0} bytes are too many")]
    Long(usize),
    /// Not ours, or of another version.
    #[error("not of this version")]
    Version,
    /// Cut off or spoilt.
    #[error("cannot be read")]
    Spoilt,
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
pub fn encode_letter(letter: &Envelope) -> Result<Vec<u8>, CodecError> {
    encode_behind(&RIGHTS_MARK, letter, PACKET_MOST)
}

fn encode_behind<T: Serialize>(mark: &[u8], packet: &T, most: usize) -> Result<Vec<u8>, CodecError> {
    let bytes = postcard::to_extend(packet, mark.to_vec()).map_err(|_| CodecError::Spoilt)?;
    if bytes.len() > most { Err(CodecError::Long(bytes.len())) } else { Ok(bytes) }
}

/// The bytes of news.
///
/// # Errors
///
/// They are too long.
pub fn encode_news(news: &News) -> Result<Vec<u8>, CodecError> {
    encode_behind(&NEWS_MARK, news, PACKET_MOST)
}

/// The bytes of findings, at most [`NEWS_WORDS`] of them.
///
/// # Errors
///
/// They are too long.
pub fn encode_findings(findings: &[OutageReport]) -> Result<Vec<u8>, CodecError> {
    encode_behind(&FINDINGS_MARK, &findings, PACKET_MOST)
}

/// The bytes of a part of what a newcomer is told.
///
/// # Errors
///
/// They are too long.
pub fn encode_told(told: &Told) -> Result<Vec<u8>, CodecError> {
    encode_behind(&TOLD_MARK, told, PACKET_MOST)
}

/// Whether some bytes are such a part.
pub fn is_told(bytes: &[u8]) -> bool {
    bytes.starts_with(&TOLD_MARK)
}

/// The part of some bytes, whatever they are.
///
/// # Errors
///
/// They are none.
pub fn decode_told(bytes: &[u8]) -> Result<Told, CodecError> {
    decode_behind(&TOLD_MARK, bytes, PACKET_MOST)
}

/// The bytes of a letter about duties.
///
/// # Errors
///
/// They are too long.
pub fn encode_duty(letter: &duties::Envelope) -> Result<Vec<u8>, CodecError> {
    encode_behind(&DUTY_MARK, letter, PACKET_MOST)
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
    decode_behind(&DUTY_MARK, bytes, PACKET_MOST)
}

/// Whether some bytes are findings.
pub fn is_findings(bytes: &[u8]) -> bool {
    bytes.starts_with(&FINDINGS_MARK)
}

/// The findings of some bytes, whatever they are.
///
/// # Errors
///
/// They are none.
pub fn decode_findings(bytes: &[u8]) -> Result<Vec<OutageReport>, CodecError> {
    decode_behind(&FINDINGS_MARK, bytes, PACKET_MOST)
}

/// Whether some bytes are news.
pub fn is_news(bytes: &[u8]) -> bool {
    bytes.starts_with(&NEWS_MARK)
}

/// The news of some bytes, whatever they are.
///
/// # Errors
///
/// They are none.
pub fn decode_news(bytes: &[u8]) -> Result<News, CodecError> {
    decode_behind(&NEWS_MARK, bytes, PACKET_MOST)
}

/// Whether some bytes are about shared limits.
pub fn is_letter(bytes: &[u8]) -> bool {
    bytes.starts_with(&RIGHTS_MARK)
}

/// The letter of some bytes, whatever they are.
///
/// # Errors
///
/// They are none.
pub fn decode_letter(bytes: &[u8]) -> Result<Envelope, CodecError> {
    decode_behind(&RIGHTS_MARK, bytes, PACKET_MOST)
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
        return Err(CodecError::Long(bytes.len()));
    }
    let body = bytes.strip_prefix(mark).ok_or(CodecError::Version)?;
    postcard::take_from_bytes(body).map(|(packet, _)| packet).map_err(|_| CodecError::Spoilt)
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
        let bytes = encode(&largest(), PACKET_MOST).expect("fits");
        assert_eq!(decode::<Packet>(&bytes, PACKET_MOST), Ok(largest()));
        // What a later version adds at the end is left unread.
        let longer = [bytes.clone(), vec![1, 2, 3]].concat();
        assert_eq!(decode::<Packet>(&longer, PACKET_MOST + 3), Ok(largest()));
        let other = [b"yw\x02".as_slice(), &bytes[3..]].concat();
        assert_eq!(decode::<Packet>(&other, PACKET_MOST), Err(CodecError::Version));
        assert_eq!(decode::<Packet>(&bytes[..40], PACKET_MOST), Err(CodecError::Spoilt));
    }

    #[test]
    fn the_largest_letter_fits_and_comes_back() {
        let offer = Some(Offer { asked_at: u64::MAX, amount: u64::MAX });
        let want = Request { sent_at: u64::MAX, extra: u64::MAX, offer };
        let words = vec![Payload::Request(u64::MAX, want); MAX_PAYLOADS];
        let letter = Envelope { life: u64::MAX, to_life: Some(u64::MAX), payloads: words };
        let bytes = encode_letter(&letter).expect("fits");
        assert!(is_letter(&bytes) && decode::<Packet>(&bytes, PACKET_MOST) == Err(CodecError::Version));
        assert_eq!(decode_letter(&bytes), Ok(letter));
        assert_eq!(decode_letter(&bytes[..90]), Err(CodecError::Spoilt));
        let most = u64::MAX;
        let word = WaitReport { dest: most, origin: most, version: (most, most), remaining: most };
        let news = News { hello: true, words: vec![word; NEWS_WORDS] };
        let bytes = encode_news(&news).expect("fits");
        assert!(is_news(&bytes) && !is_letter(&bytes));
        assert_eq!(decode_news(&bytes), Ok(news));
        let finding = yarrowhill_knowledge::Finding::Recovered(most);
        let findings =
            vec![OutageReport { dest: most, origin: most, version: (most, most), finding }; NEWS_WORDS];
        let bytes = encode_findings(&findings).expect("fits");
        assert!(is_findings(&bytes) && !is_news(&bytes));
        assert_eq!(decode_findings(&bytes), Ok(findings.clone()));
        assert_eq!(decode_findings(&bytes[..50]), Err(CodecError::Spoilt));
        let told = Told::parts(&vec![word; 30], &findings);
        assert_eq!(told.iter().map(|t| (t.part, t.parts)).collect::<Vec<_>>(), [(0, 3), (1, 3), (2, 3)]);
        assert_eq!(told.iter().map(|t| t.waits.len()).sum::<usize>(), 30);
        assert_eq!(decode_told(&encode_told(&told[0]).expect("fits")), Ok(told[0].clone()));
        assert_eq!(Told::parts(&[], &[]).len(), 1);
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
        assert!(is_duty(&bytes) && !is_letter(&bytes));
        assert_eq!(decode_duty(&bytes), Ok(letter));
    }

    proptest! {
        /// Any bytes behind the mark are read or refused, and take no room that they do not have.
        #[test]
        fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
            let bytes = [MARK.as_slice(), &bytes].concat();
            if let Ok(packet) = decode::<Packet>(&bytes, PACKET_MOST) {
                prop_assert!(packet.updates.len() < 400);
            }
        }
    }
}
