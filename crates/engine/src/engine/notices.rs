//! Notices to the platform about messages that ended without delivery.

use super::*;

impl<T: Transport> Engine<T> {
    /// Sends pending notices, one batch at a time, and only once the journal is flushed: a client whose
    /// message was handed back to it must never see the same message sent by the next process.
    pub(super) fn send_notices(&mut self) {
        if self.pending_notices.is_empty() || !self.journal.is_flushed() {
            return;
        }
        if let Ok(permit) = self.notice_sender.try_reserve() {
            let batch = self.pending_notices.len().min(MAX_NOTICES_PER_BATCH);
            permit.send(self.pending_notices.drain(..batch).collect());
        }
    }

    /// Records that the platform has acknowledged these notices.
    pub(super) fn notices_acknowledged(&mut self, batch: Vec<Notice>) {
        let unix_ms = unix_now_ms();
        for Notice { message_id, end } in batch {
            let until = self.journal.end_of(&message_id).map_or(0, |(_, until)| until);
            self.journal.enqueue(&Record::Closed(message_id, end.into(), until), unix_ms);
        }
    }
}
