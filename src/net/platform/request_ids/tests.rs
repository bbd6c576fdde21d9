use super::*;
use dewrun_test_support::Folder;
use std::net::SocketAddr;

/// Begins a request that may run, and whose client leaves.
fn abandon(ids: &Rc<RequestIds>, id: &str) {
    let mut guard = ids.begin(id).expect("a new id");
    guard.claim().expect("an id that is not claimed");
}

/// Returns the ids of two processes that serve at one address.
fn processes_of_one_proxy(folder: &Folder) -> [Rc<RequestIds>; 2] {
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    [(), ()].map(|()| {
        let ids = Rc::<RequestIds>::default();
        ids.share(Rc::new(IdClaims::open(&folder.path(""), address)));
        ids
    })
}

#[test]
fn only_an_id_whose_client_left_while_it_may_have_run_is_kept() {
    let ids = Rc::<RequestIds>::default();
    let open = ids.begin("a").expect("a new id");
    assert!(ids.begin("a").is_err_and(|error| error == IN_USE));
    drop(open);
    assert!(ids.begin("a").is_ok(), "it was not forwarded");
    let mut answered = ids.begin("a").expect("it has ended");
    answered.claim().expect("an id that is not claimed");
    answered.answered();
    drop(answered);
    abandon(&ids, "a");
    assert!(ids.begin("a").is_err_and(|error| error == ABANDONED));
    assert!(ids.begin("b").is_ok());
}

#[test]
fn an_id_that_is_in_use_or_abandoned_at_another_process_is_rejected() {
    let folder = Folder::new();
    let [one, other] = processes_of_one_proxy(&folder);
    let claimed_by_other = |id| other.begin(id).expect("a new id").claim();
    let mut guard = one.begin("a").expect("a new id");
    guard.claim().expect("an id that is not claimed");
    assert!(claimed_by_other("a").is_err_and(|error| error == IN_USE));
    guard.answered();
    drop(guard);
    let mut guard = other.begin("a").expect("a new id");
    guard.claim().expect("an id that is free again");
    guard.answered();
    drop(guard);
    abandon(&one, "b");
    assert!(claimed_by_other("b").is_err_and(|error| error == IN_USE));
    assert!(
        claimed_by_other("b").is_err(),
        "the claim is not the other's to end"
    );
}

#[test]
fn the_number_of_abandoned_ids_is_bounded() {
    let folder = Folder::new();
    let [ids, other] = processes_of_one_proxy(&folder);
    for n in 0..=MAX_ABANDONED_IDS {
        abandon(&ids, &n.to_string());
    }
    assert_eq!(ids.abandoned.borrow().by_age.len(), MAX_ABANDONED_IDS);
    assert_eq!(ids.abandoned.borrow().hashes.len(), MAX_ABANDONED_IDS);
    let mut dropped = other.begin("0").expect("a new id");
    dropped.claim().expect("the oldest is dropped");
    assert!(ids.begin("1").is_err());
}
