//! Puts the messages together again from their records.
//!
//! What a gap in the records means, message by message:
//!
//! | lost | known of it | what is made of the message |
//! | --- | --- | --- |
//! | `Accepted` | a later record names it | it is owed the end `given_up`: its content is gone |
//! | `Accepted` | nothing | it can't be told of; the gap is |
//! | `Sent` | it was open at the gap | in doubt: it may have run, at no known time |
//! | `Ended` | its attempt has no end | that attempt may have run |
//! | `Owed` | it was open at the gap | in doubt, as for `Sent` |
//! | `Closed` | it was open at the gap | in doubt, as for `Sent`: nothing that must not run twice is sent again |

use crate::frame::Piece;
use crate::record::{Accepted, NoticeEnd, Record};
use std::collections::HashMap;

/// An attempt found in the journal.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// When it was sent (Unix ms); 0 where the record of that is lost.
    pub sent_ms: u64,
    /// The zone of its endpoint.
    pub zone: String,
    /// False only where it is known that it never ran.
    pub may_have_run: bool,
}

/// An open message found in the journal.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenMessage {
    /// The message.
    pub accepted: Accepted,
    /// Its attempts so far.
    pub attempts: Vec<Attempt>,
    /// The notice that is owed for it, where the module had given it up.
    pub pending_notice: Option<NoticeEnd>,
    /// Records were lost while it was open: it may have run beside what its attempts tell.
    pub in_doubt: bool,
}

/// The state of all messages after the records so far.
#[derive(Default)]
pub(crate) struct Replay {
    /// With the number of the record by which each was taken on.
    open: HashMap<String, (usize, OpenMessage)>,
    /// Messages named behind a gap whose content is lost, and their end where it is known.
    orphans: HashMap<String, NoticeEnd>,
    gap: bool,
    taken: usize,
    records: usize,
}

impl Replay {
    pub(crate) fn take(&mut self, piece: Piece) {
        match piece {
            Piece::Record { record, .. } => {
                self.records += 1;
                self.apply(record);
            }
            Piece::Damaged { .. } => self.apply(Record::Gap),
            // Nothing of a turn that was not written whole had been acted upon.
            Piece::Torn { .. } => {}
        }
    }

    pub(crate) fn records(&self) -> usize {
        self.records
    }

    pub(crate) fn apply(&mut self, record: Record) {
        // An end that is owed stays owed, also where the gap that brought it about is past.
        if let Some(id) = record.id()
            && (self.gap || matches!(record, Record::NoticePending(..)))
            && !matches!(record, Record::Accepted(_) | Record::Closed(..))
            && !self.open.contains_key(id)
        {
            let end = self.orphans.entry(id.to_owned()).or_insert(NoticeEnd::GivenUp);
            if let Record::NoticePending(_, owed, _) = record {
                *end = owed;
            }
            return;
        }
        match record {
            Record::Accepted(accepted) => {
                self.orphans.remove(&accepted.id);
                let id = accepted.id.clone();
                let open =
                    OpenMessage { accepted, attempts: Vec::new(), pending_notice: None, in_doubt: false };
                // An id that came again after its end stands where it was taken on last.
                self.taken += 1;
                self.open.insert(id, (self.taken, open));
            }
            // Without an end it may have run: the process ended while it was out.
            Record::Sent(id, attempt, sent, zone) => {
                if let Some((_, open)) = self.open.get_mut(&id) {
                    fill(&mut open.attempts, attempt + 1);
                    if let Some(a) = open.attempts.get_mut(attempt) {
                        *a = Attempt { sent_ms: sent, zone, may_have_run: true };
                    }
                }
            }
            Record::Ended(id, attempt, may_have_run) => {
                if let Some((_, open)) = self.open.get_mut(&id) {
                    if self.gap {
                        fill(&mut open.attempts, attempt + 1);
                    }
                    if let Some(a) = open.attempts.get_mut(attempt) {
                        a.may_have_run = may_have_run;
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

    /// The open messages in the order taken, and the ends owed for those whose content is lost.
    pub(crate) fn finish(self) -> (Vec<OpenMessage>, Vec<(String, NoticeEnd)>) {
        let mut open: Vec<(usize, OpenMessage)> = self.open.into_values().collect();
        open.sort_unstable_by_key(|(taken, _)| *taken);
        let open = open.into_iter().map(|(_, open)| open).collect();
        let mut orphans: Vec<(String, NoticeEnd)> = self.orphans.into_iter().collect();
        orphans.sort_by(|a, b| a.0.cmp(&b.0));
        (open, orphans)
    }
}

/// Attempts whose records are lost may have run. A number far from any that is allowed is damage too.
fn fill(attempts: &mut Vec<Attempt>, len: usize) {
    const MOST: usize = 64;
    while attempts.len() < len.min(MOST) {
        attempts.push(Attempt { sent_ms: 0, zone: String::new(), may_have_run: true });
    }
}
