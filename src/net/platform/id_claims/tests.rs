use super::*;
use dewrun_test_support::Folder;

fn claims_in(folder: &Folder) -> IdClaims {
    IdClaims::open(&folder.path(""), SocketAddr::from(([127, 0, 0, 1], 80)))
}

#[test]
fn an_id_is_claimed_by_one_process_at_a_time() {
    let folder = Folder::new();
    let [one, other] = [claims_in(&folder), claims_in(&folder)];
    assert!(one.claim(1) && !other.claim(1) && !one.claim(1));
    assert!(other.claim(2));
    one.release(1);
    assert!(other.claim(1));
}

#[test]
fn only_expired_claims_are_removed() {
    let folder = Folder::new();
    let claims = claims_in(&folder);
    assert!(claims.claim(1));
    claims.remove_older_than(CLAIM_TTL).expect("the directory");
    assert!(!claims.claim(1));
    claims
        .remove_older_than(Duration::ZERO)
        .expect("the directory");
    assert!(claims.claim(1));
}

#[test]
fn requests_are_served_where_no_claim_can_be_made() {
    let folder = Folder::new();
    let claims = claims_in(&folder);
    std::fs::remove_dir_all(&claims.directory).expect("the directory");
    assert!(claims.claim(1) && claims.claim(1));
    assert!(claims.has_logged_error.get());
}
