//! Counts how every message ended: accepted = delivered + given up + handed back + over + open.

use crate::ledger::{CallEnd, ClientOutcome, Entry, Event};
use std::collections::{BTreeMap, BTreeSet};

/// Counts of the messages of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Messages submitted, each id counted once.
    pub sent: usize,
    /// Messages refused before they were accepted.
    pub refused: usize,
    /// Messages whose request failed or was never answered before they were accepted.
    pub failed: usize,
    /// Messages accepted.
    pub taken_on: usize,
    /// Accepted messages that were delivered.
    pub delivered: usize,
    /// Accepted messages that a notice gave up and that are not known to be delivered.
    pub given_up: usize,
    /// Accepted messages that a notice handed back.
    pub handed_back: usize,
    /// Accepted messages that the destination declared over.
    pub over: usize,
    /// Accepted messages without any end.
    pub open: usize,
}

/// Counts the messages of a ledger by class.
pub fn accounts(ledger: &[Entry]) -> BTreeMap<String, Account> {
    let mut class_of: BTreeMap<&str, &str> = BTreeMap::new();
    let mut taken: BTreeSet<&str> = BTreeSet::new();
    let mut refused: BTreeSet<&str> = BTreeSet::new();
    let (mut delivered, mut over) = (BTreeSet::new(), BTreeSet::new());
    let (mut given_up, mut handed_back) = (BTreeSet::new(), BTreeSet::new());
    for Entry { event, .. } in ledger {
        let (set, id) = match event {
            Event::Sent { id, class, .. } => {
                class_of.insert(id, class);
                continue;
            }
            Event::ClientDone { id, outcome: ClientOutcome::Status(200 | 202) } => (&mut taken, id),
            Event::ClientDone { id, outcome: ClientOutcome::Status(429 | 503) } => (&mut refused, id),
            Event::Notice { id, handed_back: true, acknowledged: true } => (&mut handed_back, id),
            Event::Notice { id, handed_back: false, acknowledged: true } => (&mut given_up, id),
            Event::Answered { ends, .. } => {
                let of = |end| ends.iter().filter(move |(_, other)| *other == end).map(|(id, _)| id.as_str());
                delivered.extend(of(CallEnd::Delivered));
                over.extend(of(CallEnd::Over));
                continue;
            }
            _ => continue,
        };
        set.insert(id.as_str());
    }
    let mut accounts: BTreeMap<String, Account> = BTreeMap::new();
    for (id, class) in class_of {
        let account = accounts.entry(class.to_owned()).or_default();
        account.sent += 1;
        if !taken.contains(id) {
            *(if refused.contains(id) { &mut account.refused } else { &mut account.failed }) += 1;
            continue;
        }
        account.taken_on += 1;
        let end = if delivered.contains(id) {
            &mut account.delivered
        } else if given_up.contains(id) {
            &mut account.given_up
        } else if handed_back.contains(id) {
            &mut account.handed_back
        } else if over.contains(id) {
            &mut account.over
        } else {
            &mut account.open
        };
        *end += 1;
    }
    accounts
}
