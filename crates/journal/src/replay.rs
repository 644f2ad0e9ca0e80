//! Reconstruction of the open messages from their records.
//!
//! Effect of a gap in the records on a message, by the record that was lost:
//!
//! | lost record | what is known | result |
//! | --- | --- | --- |
//! | `Accepted` | a later record names the message | orphan: content lost, a `given_up` notice is due |
//! | `Accepted` | nothing | the message is unknown; only the gap is reported |
//! | `Sent` | the message was open at the gap | in doubt: it may have run, at an unknown time |
//! | `Ended` | the attempt has no end | that attempt may have run |
//! | `NoticePending` | the message was open at the gap | in doubt, as for `Sent` |
//! | `Closed` | the message was open at the gap | in doubt, as for `Sent`: not repeated if that is unsafe |

use crate::frame::Entry;
use crate::record::{Accepted, NoticeEnd, Record};
use std::collections::HashMap;

/// An attempt of a recovered message.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Time of sending (Unix ms); 0 if that record is lost.
    pub sent_ms: u64,
    /// Zone of the endpoint.
    pub zone: String,
    /// False only if the attempt is known not to have run.
    pub may_have_run: bool,
}

/// An open message recovered from the journal.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenMessage {
    /// The message as accepted.
    pub accepted: Accepted,
    /// Attempts so far.
    pub attempts: Vec<Attempt>,
    /// The notice that is still to be acknowledged, if the message had ended.
    pub pending_notice: Option<NoticeEnd>,
    /// Whether records were lost while the message was open, so that it may have run in attempts not listed
    /// here.
    pub in_doubt: bool,
}

/// The state of all messages after the records applied so far.
#[derive(Default)]
pub(crate) struct Replay {
    /// Open messages with their position in the order of acceptance.
    open: HashMap<String, (usize, OpenMessage)>,
    /// Messages whose content was lost in a gap, with the end that is due.
    orphans: HashMap<String, NoticeEnd>,
    /// Whether any records have been lost so far.
    gap: bool,
    accepted_count: usize,
    record_count: usize,
}

impl Replay {
    pub(crate) fn apply_entry(&mut self, entry: Entry) {
        match entry {
            Entry::Record { record, .. } => {
                self.record_count += 1;
                self.apply(record);
            }
            Entry::Damaged { .. } => self.apply(Record::Gap),
            // A turn that was not written completely had no effect outside the process.
            Entry::Torn { .. } => {}
        }
    }

    pub(crate) fn record_count(&self) -> usize {
        self.record_count
    }

    pub(crate) fn apply(&mut self, record: Record) {
        // A pending notice of an unknown message makes it an orphan even if the gap itself is no longer in
        // the file: compaction drops gaps that concern no open message.
        if let Some(id) = record.id()
            && (self.gap || matches!(record, Record::NoticePending(..)))
            && !matches!(record, Record::Accepted(_) | Record::Closed(..))
            && !self.open.contains_key(id)
        {
            let end = self.orphans.entry(id.to_owned()).or_insert(NoticeEnd::GivenUp);
            if let Record::NoticePending(_, pending, _) = record {
                *end = pending;
            }
            return;
        }
        match record {
            Record::Accepted(accepted) => {
                self.orphans.remove(&accepted.id);
                let id = accepted.id.clone();
                let open =
                    OpenMessage { accepted, attempts: Vec::new(), pending_notice: None, in_doubt: false };
                // An id that was accepted again after its end takes the position of the last acceptance.
                self.accepted_count += 1;
                self.open.insert(id, (self.accepted_count, open));
            }
            // An attempt without an end may have run: the process ended while it was in flight.
            Record::Sent(id, attempt, sent_ms, zone) => {
                if let Some((_, open)) = self.open.get_mut(&id) {
                    pad_attempts(&mut open.attempts, attempt + 1);
                    if let Some(found) = open.attempts.get_mut(attempt) {
                        *found = Attempt { sent_ms, zone, may_have_run: true };
                    }
                }
            }
            Record::Ended(id, attempt, may_have_run) => {
                if let Some((_, open)) = self.open.get_mut(&id) {
                    if self.gap {
                        pad_attempts(&mut open.attempts, attempt + 1);
                    }
                    if let Some(found) = open.attempts.get_mut(attempt) {
                        found.may_have_run = may_have_run;
                    }
                }
            }
            Record::NoticePending(id, end, _) => {
                if let Some((_, open)) = self.open.get_mut(&id) {
                    open.pending_notice = Some(end);
                }
            }
            Record::Closed(id, ..) => {
                self.open.remove(&id);
                self.orphans.remove(&id);
            }
            Record::Ends(_) => {}
            Record::Gap => {
                self.gap = true;
                self.open.values_mut().for_each(|(_, open)| open.in_doubt = true);
            }
        }
    }

    /// Returns the open messages in the order of acceptance, and the orphans with the ends that are due.
    pub(crate) fn finish(self) -> (Vec<OpenMessage>, Vec<(String, NoticeEnd)>) {
        let mut open: Vec<(usize, OpenMessage)> = self.open.into_values().collect();
        open.sort_unstable_by_key(|(order, _)| *order);
        let open = open.into_iter().map(|(_, open)| open).collect();
        let mut orphans: Vec<(String, NoticeEnd)> = self.orphans.into_iter().collect();
        orphans.sort_by(|a, b| a.0.cmp(&b.0));
        (open, orphans)
    }
}

/// Extends the list to `len` attempts. Attempts whose records are lost may have run. The length is bounded,
/// because a number far above the permitted number of attempts is damage too.
fn pad_attempts(attempts: &mut Vec<Attempt>, len: usize) {
    const MAX_ATTEMPTS: usize = 64;
    while attempts.len() < len.min(MAX_ATTEMPTS) {
        attempts.push(Attempt { sent_ms: 0, zone: String::new(), may_have_run: true });
    }
}
