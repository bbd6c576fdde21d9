use super::*;

/// Begins a request that may run, and whose client leaves.
fn abandon(ids: &Rc<RequestIds>, id: &str) {
    let mut guard = ids.begin(id).expect("a new id");
    guard.forwarded();
}

#[test]
fn only_an_id_whose_client_left_while_it_may_have_run_is_kept() {
    let ids = Rc::<RequestIds>::default();
    let open = ids.begin("a").expect("a new id");
    assert!(ids.begin("a").is_err_and(|error| error == IN_USE));
    drop(open);
    assert!(ids.begin("a").is_ok(), "it was not forwarded");
    let mut answered = ids.begin("a").expect("it has ended");
    answered.forwarded();
    answered.answered();
    drop(answered);
    abandon(&ids, "a");
    assert!(ids.begin("a").is_err_and(|error| error == ABANDONED));
    assert!(ids.begin("b").is_ok());
}

#[test]
fn an_id_that_is_abandoned_at_another_process_is_rejected_and_not_passed_on() {
    let [one, other] = [Rc::<RequestIds>::default(), Rc::<RequestIds>::default()];
    abandon(&one, "a");
    other.record_abandoned_elsewhere(&one.abandoned());
    assert!(other.begin("a").is_err_and(|error| error == ABANDONED));
    assert!(other.abandoned().is_empty());
}

#[test]
fn the_number_of_abandoned_ids_is_bounded() {
    let ids = Rc::<RequestIds>::default();
    for n in 0..=MAX_ABANDONED_IDS {
        abandon(&ids, &n.to_string());
    }
    assert_eq!(ids.abandoned().len(), MAX_ABANDONED_IDS);
    assert!(ids.begin("0").is_ok(), "the oldest is dropped");
    assert!(ids.begin("1").is_err());
}
