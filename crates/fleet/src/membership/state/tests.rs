//! Tests of the transitions of a member's state.

use super::*;

const TIMES: TransitionTimes = TransitionTimes {
    now: 100_000_000,
    suspicion_deadline: 104_000_000,
};

fn transition(state: MemberState, evidence: Evidence, refutations: Ordering) -> Transition {
    state.transition(evidence, refutations, TIMES)
}

#[test]
fn a_reported_death_leads_only_to_a_suspicion() {
    let reported = Evidence::Reported(ReportedState::Dead);
    let suspected = Transition::To(MemberState::Suspect {
        deadline: 102_000_000,
    });
    for refutations in [Ordering::Equal, Ordering::Greater] {
        assert_eq!(
            transition(MemberState::Alive, reported, refutations),
            suspected
        );
    }
}

#[test]
fn a_report_of_an_alive_member_reverts_an_old_death_but_not_a_recent_one() {
    let dead_since = |since| {
        let alive = Evidence::Reported(ReportedState::Alive);
        transition(MemberState::Dead { since }, alive, Ordering::Equal)
    };
    assert_eq!(dead_since(40_000_000), Transition::To(MemberState::Alive));
    assert_eq!(dead_since(40_000_001), Transition::Stale);
}

#[test]
fn a_message_revives_its_sender_unless_the_sender_has_left() {
    let after_message = |state| transition(state, Evidence::MessageReceived, Ordering::Equal);
    let alive = Transition::To(MemberState::Alive);
    assert_eq!(after_message(MemberState::Suspect { deadline: 1 }), alive);
    assert_eq!(
        after_message(MemberState::Dead { since: 99_999_999 }),
        alive
    );
    assert_eq!(
        after_message(MemberState::Left { since: 1 }),
        Transition::Stale
    );
    assert_eq!(after_message(MemberState::Alive), Transition::Unchanged);
}

#[test]
fn a_refuted_suspicion_changes_nothing() {
    let suspect = Evidence::Reported(ReportedState::Suspect);
    assert_eq!(
        transition(MemberState::Alive, suspect, Ordering::Less),
        Transition::Unchanged
    );
}
