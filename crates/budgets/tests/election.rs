//! Tests of the state transitions of voters and candidates.

use dewrun_budgets::election::{ActiveTerm, Leadership, Vote, Voter, VoterState};
use dewrun_budgets::{
    Epoch, Incarnation, LeaseDurations, LeaseSettings, Micros, ProcessId, Timestamp,
};

const VOTE_HOLD: Micros = LeaseDurations::DEFAULT.vote_hold;
const LEADERSHIP_TTL: Micros = LeaseDurations::DEFAULT.leadership_ttl;
const VOTERS: usize = 3;

fn epoch(number: u64, process: u64) -> Epoch {
    Epoch {
        number,
        process: ProcessId(process),
        incarnation: Incarnation(process),
    }
}

fn vote(voter: u64, epoch: Epoch, sent_at: Timestamp) -> Vote {
    Vote {
        voter: ProcessId(voter),
        epoch,
        sent_at,
    }
}

/// Returns a voter that has finished its initial wait, and the time at which it finished.
fn free_voter(settings: &LeaseSettings) -> (Voter, Timestamp) {
    let voter = Voter::new(0, settings);
    assert_eq!(voter.state_at(VOTE_HOLD), VoterState::Free);
    (voter, VOTE_HOLD)
}

#[test]
fn a_starting_voter_refuses_until_earlier_votes_have_expired() {
    let settings = LeaseSettings::default();
    let mut voter = Voter::new(0, &settings);
    assert!(!voter.record_vote(VOTE_HOLD - 1, epoch(1, 1), &settings));
    assert!(voter.record_vote(VOTE_HOLD, epoch(1, 1), &settings));
}

#[test]
fn a_promised_vote_goes_to_no_other_candidate_until_it_expires() {
    let settings = LeaseSettings::default();
    let (mut voter, now) = free_voter(&settings);
    assert!(voter.record_vote(now, epoch(5, 1), &settings));
    assert!(!voter.record_vote(now + VOTE_HOLD - 1, epoch(9, 2), &settings));
    assert_eq!(voter.votes_for(now + VOTE_HOLD - 1), Some(epoch(5, 1)));
    assert_eq!(
        voter.highest_term(),
        9,
        "the next response reports the higher term"
    );
    assert_eq!(voter.votes_for(now + VOTE_HOLD), None);
    assert!(voter.record_vote(now + VOTE_HOLD, epoch(9, 2), &settings));
}

#[test]
fn a_promise_is_extended_only_for_its_candidate_and_not_for_an_older_term() {
    let settings = LeaseSettings::default();
    let (mut voter, now) = free_voter(&settings);
    assert!(voter.record_vote(now, epoch(5, 1), &settings));
    assert!(!voter.record_vote(now, epoch(4, 1), &settings));
    assert!(voter.record_vote(now + 1, epoch(6, 1), &settings));
    assert_eq!(voter.votes_for(now + VOTE_HOLD), Some(epoch(6, 1)));
    voter.withdraw_own_vote(ProcessId(2));
    assert_eq!(voter.votes_for(now + 1), Some(epoch(6, 1)));
    voter.withdraw_own_vote(ProcessId(1));
    assert_eq!(voter.state_at(now + 1), VoterState::Free);
}

#[test]
fn a_candidate_is_the_grantor_while_a_majority_votes_for_it() {
    let settings = LeaseSettings::default();
    let mut leadership = Leadership::default();
    let own = leadership.campaign(ProcessId(1), Incarnation(1), 7);
    assert_eq!(own, epoch(8, 1));
    leadership.record_vote(100, vote(1, own, 100), VOTERS, &settings);
    assert!(!leadership.has_majority(), "its own vote alone");
    leadership.record_vote(200, vote(2, epoch(7, 1), 100), VOTERS, &settings);
    assert!(!leadership.has_majority(), "a vote for another term");
    leadership.record_vote(300, vote(2, own, 150), VOTERS, &settings);
    let term = ActiveTerm {
        epoch: own,
        since: 300,
    };
    let expires_at = 100 + LEADERSHIP_TTL;
    assert_eq!(
        leadership.current_term(expires_at - 1, VOTERS, &settings),
        Some(term)
    );
    leadership.record_vote(400, vote(3, own, 350), VOTERS, &settings);
    let expires_at = 150 + LEADERSHIP_TTL;
    assert_eq!(
        leadership.current_term(expires_at - 1, VOTERS, &settings),
        Some(term)
    );
    assert_eq!(leadership.current_term(expires_at, VOTERS, &settings), None);
    let next = leadership.campaign(ProcessId(1), Incarnation(1), 0);
    assert_eq!(next, epoch(9, 1), "an expired term is not revived");
}

#[test]
fn a_candidate_yields_and_a_grantor_does_not() {
    let settings = LeaseSettings::default();
    let mut leadership = Leadership::default();
    let own = leadership.campaign(ProcessId(1), Incarnation(1), 4);
    assert!(
        !leadership.withdraw_for_higher_epoch(epoch(5, 0)),
        "a lower epoch"
    );
    assert!(leadership.withdraw_for_higher_epoch(epoch(6, 2)));
    assert!(
        !leadership.withdraw_for_promised_vote(own, epoch(6, 2)),
        "no longer a candidate"
    );
    let own = leadership.campaign(ProcessId(1), Incarnation(1), 0);
    assert_eq!(own, epoch(7, 1));
    assert!(
        leadership.withdraw_for_promised_vote(own, epoch(3, 2)),
        "a promised vote outweighs a higher own number"
    );
    let own = leadership.campaign(ProcessId(1), Incarnation(1), 0);
    for voter in [1, 2] {
        leadership.record_vote(1, vote(voter, own, 1), VOTERS, &settings);
    }
    assert!(!leadership.withdraw_for_higher_epoch(epoch(99, 2)) && leadership.has_majority());
}
