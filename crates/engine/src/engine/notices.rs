//! Ends that are owed to the platform.

use super::*;

impl<T: Transport> Engine<T> {
    /// One batch at a time, and only what stands in the journal: a client that was told to come again must
    /// never meet the same message sent by the next process.
    pub(super) fn pass_on_notices(&mut self) {
        if self.owed.is_empty() || !self.journal.is_flushed() {
            return;
        }
        if let Ok(room) = self.notices.try_reserve() {
            room.send(self.owed.drain(..self.owed.len().min(NOTICES_MOST)).collect());
        }
    }

    pub(super) fn noticed(&mut self, batch: Vec<Notice>) {
        let unix = unix_now_ms();
        for Notice { message_id, end } in batch {
            let until = self.journal.end_of(&message_id).map_or(0, |(_, until)| until);
            self.journal.enqueue(&Record::Closed(message_id, end.into(), until), unix);
        }
    }
}
