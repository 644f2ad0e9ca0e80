//! The part of a member as a voter.

use super::{Duties, MAX_WRITE_COUNTS};
use crate::ballot::{Micros, ProcessId};
use crate::message::Payload;
use crate::output::{Event, Output};
use crate::proposer::{AcceptedSummary, RegisterSummary};
use crate::register::Register;

impl Duties {
    /// Suspends voting because other members know of a later process of this member than its folder does.
    pub fn suspend_voting(&mut self, now: Micros) {
        if let Some(voter) = &mut self.voter {
            let before = voter.status();
            voter.suspend(now, self.lease);
            if voter.status() != before {
                self.on_voting_suspended();
            }
        }
    }

    /// Handles a request to the local voter.
    pub(super) fn handle_voter_request(&mut self, now: Micros, by: ProcessId, duty: u64, payload: Payload) {
        let lease = self.lease;
        let Some(leased) = self.voter.as_mut().and_then(|voter| voter.register_mut(duty)) else { return };
        let reply = match payload {
            Payload::Query => {
                let (promised, lease) = (leased.register.promised, leased.active_lease(now));
                let accepted = leased.register.accepted.as_ref().map(AcceptedSummary::from_accepted);
                let summary = RegisterSummary { promised, lease, accepted };
                return self.send(by.member, duty, Payload::QueryReply(summary));
            }
            Payload::Prepare(ballot) if ballot.proposer == by => leased.prepare(now, ballot),
            Payload::Accept { ballot, seq, value, write_counts } if ballot.proposer == by => {
                for (voter, write_count) in write_counts.into_iter().take(MAX_WRITE_COUNTS) {
                    if self.voters.contains(voter) {
                        let highest = self.write_counts.entry(voter).or_default();
                        *highest = (*highest).max(write_count);
                    }
                }
                leased.accept(now, lease, ballot, seq, value)
            }
            _ => return,
        };
        let Some(voter) = &mut self.voter else { return };
        // An earlier change that could not be written to a full disk must be persisted too before this
        // response reveals it, even if this request changes nothing.
        if reply.changed || voter.has_unpersisted_write() {
            self.outputs.push(Output::Persist(voter.begin_write()));
        }
        let write_count = voter.write_count();
        self.send(by.member, duty, Payload::Response(reply.response, write_count));
    }

    // ---- Voting ----

    pub(super) fn tick_voter(&mut self, now: Micros) {
        let Some(voter) = &mut self.voter else { return };
        let (nonce, started) = voter.tick(now, self.lease, &self.voters);
        if started {
            self.on_voting_started();
        }
        if let Some(nonce) = nonce {
            for to in self.voters.voters() {
                if to != self.local.member {
                    self.send(to, 0, Payload::RecoveryRequest { nonce });
                }
            }
        }
    }

    pub(super) fn on_voting_started(&mut self) {
        if let Some(voter) = &mut self.voter {
            // The folder records that the voter has started to vote, even if nothing is decided yet.
            self.outputs.push(Output::Persist(voter.begin_write()));
            self.outputs.push(Output::Event(Event::VotingStarted));
        }
    }

    pub(super) fn on_voting_suspended(&mut self) {
        // Goes before all other outputs: the next start must not trust the stored state.
        self.outputs.insert(0, Output::Erase);
        self.outputs.push(Output::Event(Event::VotingSuspended));
    }

    /// Handles a recovery request of another voter that starts, and may have lost promises.
    pub(super) fn handle_recovery_request(&mut self, by: ProcessId, nonce: u64) {
        let Some(voter) = &self.voter else { return };
        let flags = voter.flags();
        let write_count = self.write_counts.get(&by.member).copied().unwrap_or(0);
        let remembers = (self.instances.get(&by.member).copied(), write_count);
        let mut registers: Vec<(u64, Option<Register>)> = if flags.voting {
            voter.registers().into_iter().map(|(d, r)| (d, Some(r))).collect()
        } else {
            Vec::new()
        };
        if registers.is_empty() {
            registers.push((0, None));
        }
        let count = registers.len();
        for (n, (duty, register)) in registers.into_iter().enumerate() {
            let part = (n as u8, count as u8);
            self.send(by.member, duty, Payload::RecoveryResponse { nonce, flags, remembers, register, part });
        }
    }
}
