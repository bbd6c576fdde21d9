use super::*;

fn list(snapshot: bool, entries: &[(&str, &str, &str)]) -> EndpointList {
    let endpoints = entries.iter().map(|(name, address, status)| {
        let entry = serde_json::json!({ "name": name, "address": address, "status": status });
        serde_json::from_value(entry).expect("an entry")
    });
    EndpointList {
        index: 1,
        snapshot,
        endpoints: endpoints.collect(),
    }
}

#[test]
fn ids_depend_only_on_the_name_and_survive_a_restart() {
    let mut directory = Directory::default();
    let infos = directory
        .apply(&list(true, &[("s-5be2a07c", "127.0.0.1:1", "ready")]))
        .endpoints;
    let id = infos[0].id;
    // A changed hash would give endpoints different ids in proxies of different versions.
    assert_eq!(id, 0x5124_5f7b);
    directory.apply(&list(true, &[]));
    assert_eq!(
        directory.endpoint(id).map(|record| record.state),
        Some(EndpointState::Removed)
    );
    let DirectoryChange {
        endpoints: infos,
        stale,
    } = directory.apply(&list(false, &[("s-5be2a07c", "127.0.0.1:2", "ready")]));
    assert_eq!((infos[0].id, stale), (id, vec![id]));
}

#[test]
fn removed_endpoints_are_deleted_once_out_of_use() {
    let mut directory = Directory::default();
    for n in 0..100 {
        let name = format!("s-{n}");
        let infos = directory
            .apply(&list(true, &[(&name, "127.0.0.1:1", "ready")]))
            .endpoints;
        directory.forget_gone(|id| id != infos[0].id && n % 2 == 0);
    }
    assert_eq!(
        (
            directory.records.len(),
            directory.names.len(),
            directory.ids.len()
        ),
        (1, 1, 1)
    );
    directory.apply(&list(false, &[("s-99", "127.0.0.1:1", "gone")]));
    directory.forget_gone(|_| true);
    assert_eq!(directory.records.len(), 1, "an attempt is still in flight");
}

#[test]
fn two_names_with_one_hash_get_two_ids() {
    let mut directory = Directory::default();
    let id = directory.id("a");
    directory.ids.clear();
    assert_eq!(directory.id("a"), id.wrapping_add(1));
}

#[test]
fn an_endpoint_with_an_unknown_status_is_draining() {
    let infos = Directory::default()
        .apply(&list(true, &[("a", "127.0.0.1:1", "resting")]))
        .endpoints;
    assert_eq!(infos[0].state, EndpointState::Draining);
}

/// Guards against a pool that rejects everything after a reload: reports of other processes came
/// before its first list, and none of them was too many for a list without endpoints.
#[test]
fn reports_that_come_before_a_list_count_against_that_list() {
    let drains = |names: &[&str]| Drains {
        by_peers: names.iter().map(|name| (name.to_string(), 1.0)).collect(),
        by_operators: DrainedMembers::default(),
    };
    let ready = [("a", "127.0.0.1:1", "ready"), ("b", "127.0.0.1:2", "ready")];
    let states = |change: DirectoryChange| -> Vec<EndpointState> {
        change.endpoints.iter().map(|info| info.state).collect()
    };
    let mut directory = Directory::default();
    directory.enable_drains();
    directory.set_drains(drains(&["a", "b"]));
    let change = directory.apply(&list(true, &ready));
    assert_eq!(states(change), [EndpointState::Ready; 2]);
    let mut directory = Directory::default();
    directory.enable_drains();
    directory.set_drains(drains(&["a"]));
    let change = directory.apply(&list(true, &ready));
    let one_of_two = [EndpointState::Draining, EndpointState::Ready];
    assert_eq!(states(change), one_of_two);
}
