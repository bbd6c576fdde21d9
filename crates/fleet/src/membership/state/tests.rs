//! The transitions of a member's state.

use super::*;

const TIMES: TransitionTimes = TransitionTimes {
    now: 100_000_000,
    suspicion_deadline: 104_000_000,
};

fn transition(state: MemberState, evidence: Evidence, refutations: Ordering) -> Transition {
    state.transition(evidence, refutations, TIMES)
}

#[test]
fn a_death_that_another_reports_only_leads_to_a_suspicion() {
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
fn an_old_death_is_taken_back_by_a_report_and_a_recent_one_is_not() {
    let dead_since = |since| {
        let alive = Evidence::Reported(ReportedState::Alive);
        transition(MemberState::Dead { since }, alive, Ordering::Equal)
    };
    assert_eq!(dead_since(40_000_000), Transition::To(MemberState::Alive));
    assert_eq!(dead_since(40_000_001), Transition::Stale);
}

#[test]
fn a_member_that_is_heard_is_alive_unless_it_has_left() {
    let heard = |state| transition(state, Evidence::MessageReceived, Ordering::Equal);
    let alive = Transition::To(MemberState::Alive);
    assert_eq!(heard(MemberState::Suspect { deadline: 1 }), alive);
    assert_eq!(heard(MemberState::Dead { since: 99_999_999 }), alive);
    assert_eq!(heard(MemberState::Left { since: 1 }), Transition::Stale);
    assert_eq!(heard(MemberState::Alive), Transition::Unchanged);
}

#[test]
fn a_refuted_suspicion_changes_nothing() {
    let suspect = Evidence::Reported(ReportedState::Suspect);
    assert_eq!(
        transition(MemberState::Alive, suspect, Ordering::Less),
        Transition::Unchanged
    );
}
