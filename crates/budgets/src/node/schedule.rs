//! When a process asks for shares, and when a voter claims to be the grantor.

use super::{Node, MS};
use crate::core::{Core, Message};
use crate::{Micros, ProcessId};
use rand::Rng;

/// The longest time from one question to the next, where something is asked for and where nothing
/// is; the shortest is three quarters of it.
const ASK: Micros = 400 * MS;
const ASK_IDLE: Micros = 1_200 * MS;
/// How long an answer is awaited before another process is asked.
const ANSWER_TIMEOUT: Micros = 150 * MS;
/// The longest time from one claim of a grantor to the next; the shortest is half of it.
const CLAIM: Micros = 300 * MS;
/// The same of a voter that knows of no grantor. One that knows of another waits by its place among
/// the voters, so that they do not all claim when its term ends.
const CLAIM_VACANT: Micros = 100 * MS;
/// The last place among the voters that makes a voter wait longer than the one before.
const MAX_CLAIM_PLACE: Micros = 6;
/// The grantor is forgotten each time that so many answers have not arrived, counted over all
/// budgets.
const TIMEOUTS_TO_FORGET: usize = 2;

impl Node {
    /// Does what is due: asks for shares, and claims to be the grantor. To be called every few
    /// milliseconds.
    pub fn tick(&mut self, now: Micros, rng: &mut impl Rng, out: &mut Vec<(ProcessId, Message)>) {
        if self.suspended {
            return;
        }
        self.claim(now, rng, out);
        for (to, ask) in self.questions_due(now, rng) {
            self.send(now, to, ask, out);
        }
    }

    fn questions_due(&mut self, now: Micros, rng: &mut impl Rng) -> Vec<(ProcessId, Message)> {
        let mut questions = Vec::new();
        for account in &mut self.accounts {
            if account
                .waiting_since
                .is_some_and(|since| now >= since + ANSWER_TIMEOUT)
            {
                // Nobody is there, or it was lost on the way.
                account.waiting_since = None;
                account.ask_at = now;
                self.next_voter += 1;
                if self.next_voter % TIMEOUTS_TO_FORGET == 0 {
                    self.core.forget_grantor();
                }
            }
            if now < account.ask_at {
                continue;
            }
            account.demand.sample(now);
            let Some(to) = process_to_ask(&self.core, self.next_voter, now) else {
                continue;
            };
            let wanted = account.wanted();
            let ask = self.core.ask(
                now,
                account.key,
                account.budget.whole(),
                (wanted, account.demand.weight()),
                account.in_use(),
                &self.rules,
            );
            let pause = if wanted > 0 { ASK } else { ASK_IDLE };
            account.ask_at = now + rng.random_range(pause * 3 / 4..pause);
            account.waiting_since = Some(now);
            questions.push((to, ask));
        }
        questions
    }

    /// Sends a message, or takes it in where it is for this process itself.
    fn send(
        &mut self,
        now: Micros,
        to: ProcessId,
        message: Message,
        out: &mut Vec<(ProcessId, Message)>,
    ) {
        if to != self.core.id {
            out.push((to, message));
            return;
        }
        let mut answers = Vec::new();
        self.take(now, to, message, &mut answers);
        for (to, answer) in answers {
            self.send(now, to, answer, out);
        }
    }

    /// Claims to be the grantor, or claims the term it has again, if that is due.
    fn claim(&mut self, now: Micros, rng: &mut impl Rng, out: &mut Vec<(ProcessId, Message)>) {
        if !self.core.is_voter() || now < self.claim_at {
            return;
        }
        let is_grantor = self.core.leadership_epoch(now, &self.rules).is_some();
        let other_is_grantor = self
            .core
            .grantor(now)
            .is_some_and(|epoch| epoch.by != self.core.id);
        if !is_grantor && other_is_grantor {
            // Its vote is given; it claims once that has ended, unless a voter before it does.
            let place = self
                .core
                .voters()
                .iter()
                .position(|id| *id == self.core.id)
                .unwrap_or(0) as Micros;
            let step = CLAIM_VACANT / 2;
            self.claim_at = now + rng.random_range(0..step) + step * place.min(MAX_CLAIM_PLACE);
            return;
        }
        let pause = if is_grantor { CLAIM } else { CLAIM_VACANT };
        self.claim_at = now + rng.random_range(pause / 2..pause);
        if let Some(claim) = self.core.claim(now, self.wall_ms, &self.rules) {
            let others = self.core.voters().iter().filter(|id| **id != self.core.id);
            out.extend(others.map(|id| (*id, claim)));
        }
    }
}

/// The grantor, or the voter that is tried next.
pub(super) fn process_to_ask(core: &Core, next_voter: usize, now: Micros) -> Option<ProcessId> {
    if let Some(epoch) = core.grantor(now) {
        return Some(epoch.by);
    }
    let voters = core.voters();
    voters.get(next_voter % voters.len().max(1)).copied()
}
