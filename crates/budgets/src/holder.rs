//! What one process holds of one whole.

use crate::{Guard, Micros, Rules, Share};
use serde::{Deserialize, Serialize};

/// The answer to a question for a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Grant {
    /// The number of the question.
    pub question: u64,
    /// The share, in place of the one held.
    pub share: Share,
    /// It only renews what was held already.
    pub renewal: bool,
}

/// A holder's side of the leases of one whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Holder {
    question: u64,
    asked_at: Micros,
    answered: bool,
    share: Share,
    until: Micros,
}

impl Holder {
    /// Numbers the next question. It tells what is held: `in_use` may be more than the share for a
    /// moment.
    pub fn ask(&mut self, now: Micros, in_use: Share, rules: &Rules) -> (u64, Share) {
        self.question += 1;
        self.asked_at = now;
        self.answered = false;
        (self.question, self.share(now, rules).max(in_use))
    }

    /// Takes an answer in; false if it does not count. A share holds from when it was asked for, so
    /// that a message that was on its way for long brings none.
    pub fn given(&mut self, now: Micros, given: Grant, rules: &Rules) -> bool {
        let last = given.question == self.question && !self.answered;
        let lives = now < self.until;
        let until = self.asked_at + rules.terms.lease;
        if (!last && rules.guards.stands(Guard::LastQuestion))
            || (given.renewal && !lives && rules.guards.stands(Guard::RenewsTheLiving))
            || now >= until
        {
            return false;
        }
        self.answered = true;
        (self.share, self.until) = (given.share, until);
        true
    }

    /// What may be spent of the whole at this moment. The invariant is about this number.
    pub fn share(&self, now: Micros, rules: &Rules) -> Share {
        let ended = now >= self.until && rules.guards.stands(Guard::LooksAtTheClock);
        if ended {
            Share::default()
        } else {
            self.share
        }
    }

    /// When what is held ends.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Whether an answer to this question would count.
    pub fn waits_for(&self, question: u64) -> bool {
        self.question == question && !self.answered
    }

    /// Gives up what is held.
    pub fn drop_share(&mut self) {
        (self.share, self.until, self.answered) = (Share::default(), 0, true);
    }
}
