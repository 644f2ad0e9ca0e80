//! Encoding of packets: a three-byte mark that ends in a version number, followed by a postcard body. A later
//! build may append fields, which this one leaves unread; a change to existing fields needs another version
//! number, and such packets are rejected.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use yarrowhill_duties as duties;
use yarrowhill_knowledge::{OutageReport, WaitReport};
use yarrowhill_membership::Packet;
use yarrowhill_rights::Envelope;

/// Maximum length of a UDP packet: fits an Ethernet frame with room for tunnel headers.
pub const MAX_PACKET_BYTES: usize = 1400;
/// Maximum length of a full membership state: enough for the largest roster.
pub const MAX_FULL_STATE_BYTES: usize = 256 << 10;
/// Mark of a membership packet. Builds that do not know one of the other marks count its packets as
/// malformed.
const MEMBERSHIP_MARK: [u8; 3] = *b"yw\x01";
/// Mark of an envelope about shared limits.
const RIGHTS_MARK: [u8; 3] = *b"yr\x01";
/// Mark of a wait update.
const WAITS_MARK: [u8; 3] = *b"yk\x01";
/// Mark of outage reports.
const OUTAGES_MARK: [u8; 3] = *b"yj\x01";
/// Mark of a snapshot part.
const SNAPSHOT_MARK: [u8; 3] = *b"ya\x01";
/// Mark of an envelope about duties.
const DUTY_MARK: [u8; 3] = *b"yd\x01";
/// Maximum number of reports of each kind in a snapshot part.
pub const MAX_PART_REPORTS: usize = 12;
/// Maximum number of reports in a packet of wait or outage reports. That many fit at their maximum encoded
/// length.
pub const MAX_REPORTS: usize = 24;

/// Wait reports that members pass on to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitUpdate {
    /// Whether the sender has just started and asks for a snapshot of everything that is in force.
    pub request_snapshot: bool,
    /// At most [`MAX_REPORTS`] reports.
    pub reports: Vec<WaitReport>,
}

/// One part of the snapshot that a member sends to a member that has just started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Index of this part, from 0.
    pub part: u8,
    /// Number of parts in the snapshot.
    pub parts: u8,
    /// At most [`MAX_PART_REPORTS`] wait reports.
    pub waits: Vec<WaitReport>,
    /// At most [`MAX_PART_REPORTS`] outage reports.
    pub outages: Vec<OutageReport>,
}

impl SnapshotPart {
    /// Splits reports into parts. Returns at least one part, because the receiver must also learn that there
    /// is nothing to report.
    pub fn split(waits: &[WaitReport], outages: &[OutageReport]) -> Vec<SnapshotPart> {
        let parts = waits.len().max(outages.len()).div_ceil(MAX_PART_REPORTS).clamp(1, usize::from(u8::MAX));
        let range =
            |n: usize, len: usize| (n * MAX_PART_REPORTS).min(len)..((n + 1) * MAX_PART_REPORTS).min(len);
        let part = |n: usize| SnapshotPart {
            part: n as u8,
            parts: parts as u8,
            waits: waits[range(n, waits.len())].to_vec(),
            outages: outages[range(n, outages.len())].to_vec(),
        };
        (0..parts).map(part).collect()
    }
}

/// A failure to encode or decode a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The packet is longer than its kind allows.
    #[error("packet of {0} bytes is too long")]
    TooLong(usize),
    /// The bytes do not begin with the expected mark: another kind of packet, or another version.
    #[error("packet has an unknown mark or version")]
    UnknownFormat,
    /// The body is truncated or corrupt.
    #[error("packet is malformed")]
    Malformed,
}

/// Encodes a membership packet or a full membership state.
///
/// # Errors
///
/// The encoded packet is longer than `max_bytes`.
pub fn encode<T: Serialize>(packet: &T, max_bytes: usize) -> Result<Vec<u8>, CodecError> {
    encode_marked(&MEMBERSHIP_MARK, packet, max_bytes)
}

/// Encodes an envelope about shared limits.
///
/// # Errors
///
/// The encoded packet is too long.
pub fn encode_rights(envelope: &Envelope) -> Result<Vec<u8>, CodecError> {
    encode_marked(&RIGHTS_MARK, envelope, MAX_PACKET_BYTES)
}

fn encode_marked<T: Serialize>(mark: &[u8], packet: &T, max_bytes: usize) -> Result<Vec<u8>, CodecError> {
    let bytes = postcard::to_extend(packet, mark.to_vec()).map_err(|_| CodecError::Malformed)?;
    if bytes.len() > max_bytes { Err(CodecError::TooLong(bytes.len())) } else { Ok(bytes) }
}

/// Encodes a wait update.
///
/// # Errors
///
/// The encoded packet is too long.
pub fn encode_waits(update: &WaitUpdate) -> Result<Vec<u8>, CodecError> {
    encode_marked(&WAITS_MARK, update, MAX_PACKET_BYTES)
}

/// Encodes outage reports, at most [`MAX_REPORTS`] of them.
///
/// # Errors
///
/// The encoded packet is too long.
pub fn encode_outages(reports: &[OutageReport]) -> Result<Vec<u8>, CodecError> {
    encode_marked(&OUTAGES_MARK, &reports, MAX_PACKET_BYTES)
}

/// Encodes a snapshot part.
///
/// # Errors
///
/// The encoded packet is too long.
pub fn encode_snapshot_part(part: &SnapshotPart) -> Result<Vec<u8>, CodecError> {
    encode_marked(&SNAPSHOT_MARK, part, MAX_PACKET_BYTES)
}

/// Decodes a snapshot part from untrusted bytes.
///
/// # Errors
///
/// The bytes are not a snapshot part.
pub fn decode_snapshot_part(bytes: &[u8]) -> Result<SnapshotPart, CodecError> {
    decode_marked(&SNAPSHOT_MARK, bytes, MAX_PACKET_BYTES)
}

/// Encodes an envelope about duties.
///
/// # Errors
///
/// The encoded packet is too long.
pub fn encode_duty(envelope: &duties::Envelope) -> Result<Vec<u8>, CodecError> {
    encode_marked(&DUTY_MARK, envelope, MAX_PACKET_BYTES)
}

/// Decodes an envelope about duties from untrusted bytes.
///
/// # Errors
///
/// The bytes are not an envelope about duties.
pub fn decode_duty(bytes: &[u8]) -> Result<duties::Envelope, CodecError> {
    decode_marked(&DUTY_MARK, bytes, MAX_PACKET_BYTES)
}

/// Decodes outage reports from untrusted bytes.
///
/// # Errors
///
/// The bytes are not outage reports.
pub fn decode_outages(bytes: &[u8]) -> Result<Vec<OutageReport>, CodecError> {
    decode_marked(&OUTAGES_MARK, bytes, MAX_PACKET_BYTES)
}

/// Decodes a wait update from untrusted bytes.
///
/// # Errors
///
/// The bytes are not a wait update.
pub fn decode_waits(bytes: &[u8]) -> Result<WaitUpdate, CodecError> {
    decode_marked(&WAITS_MARK, bytes, MAX_PACKET_BYTES)
}

/// Decodes an envelope about shared limits from untrusted bytes.
///
/// # Errors
///
/// The bytes are not an envelope about shared limits.
pub fn decode_rights(bytes: &[u8]) -> Result<Envelope, CodecError> {
    decode_marked(&RIGHTS_MARK, bytes, MAX_PACKET_BYTES)
}

/// Decodes a membership packet or a full membership state from untrusted bytes.
///
/// # Errors
///
/// The bytes are longer than `max_bytes`, or are not such a packet.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], max_bytes: usize) -> Result<T, CodecError> {
    decode_marked(&MEMBERSHIP_MARK, bytes, max_bytes)
}

/// A decoded UDP packet.
#[derive(Debug)]
pub(crate) enum Datagram {
    /// A packet of the membership protocol.
    Membership(Packet),
    /// An envelope about shared limits.
    Rights(Envelope),
    /// A wait update.
    Waits(WaitUpdate),
    /// Outage reports.
    Outages(Vec<OutageReport>),
    /// A snapshot part.
    SnapshotPart(SnapshotPart),
    /// An envelope about duties.
    Duty(duties::Envelope),
}

impl Datagram {
    /// Decodes a packet of any kind from untrusted bytes.
    ///
    /// # Errors
    ///
    /// The bytes are not a packet of a known kind.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        match bytes.first_chunk() {
            Some(&RIGHTS_MARK) => decode_rights(bytes).map(Datagram::Rights),
            Some(&WAITS_MARK) => decode_waits(bytes).map(Datagram::Waits),
            Some(&OUTAGES_MARK) => decode_outages(bytes).map(Datagram::Outages),
            Some(&SNAPSHOT_MARK) => decode_snapshot_part(bytes).map(Datagram::SnapshotPart),
            Some(&DUTY_MARK) => decode_duty(bytes).map(Datagram::Duty),
            _ => decode(bytes, MAX_PACKET_BYTES).map(Datagram::Membership),
        }
    }
}

fn decode_marked<T: DeserializeOwned>(mark: &[u8], bytes: &[u8], max_bytes: usize) -> Result<T, CodecError> {
    if bytes.len() > max_bytes {
        return Err(CodecError::TooLong(bytes.len()));
    }
    let body = bytes.strip_prefix(mark).ok_or(CodecError::UnknownFormat)?;
    postcard::take_from_bytes(body).map(|(packet, _)| packet).map_err(|_| CodecError::Malformed)
}

#[cfg(test)]
mod tests;
