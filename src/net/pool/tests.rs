use super::*;

fn member(name: &str, address: &str) -> Member {
    let address = address.parse().expect("an address");
    Member {
        name: name.into(),
        address,
        draining: false,
        weight: 1.0,
        cell: 0,
        started_ms: 0.0,
    }
}

#[test]
fn only_added_or_moved_members_are_cold() {
    let known = RefCell::default();
    let since = |members: &[Member], all_warm| -> Vec<bool> {
        let list = member_list(members, &known, 1, all_warm);
        list.endpoints.iter().map(|e| e.since_ms() > 0.0).collect()
    };
    let (a, b) = (member("a", "127.0.0.1:1"), member("b", "127.0.0.1:2"));
    assert_eq!(since(std::slice::from_ref(&a), true), [false]);
    assert_eq!(since(&[a.clone(), b.clone()], false), [false, true]);
    assert_eq!(
        since(&[member("a", "127.0.0.1:3"), b.clone()], false),
        [true, true]
    );
    since(&[], false);
    assert_eq!(
        since(&[a], false),
        [true],
        "a member that returns counts as just started"
    );
}
