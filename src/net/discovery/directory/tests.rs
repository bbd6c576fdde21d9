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
fn ids_are_fixed_by_the_name_and_outlive_a_restart() {
    let mut directory = Directory::default();
    let infos = directory
        .apply(&list(true, &[("s-5be2a07c", "127.0.0.1:1", "ready")]))
        .endpoints;
    let id = infos[0].id;
    // Changing the hash would give backends other ids at proxies of another version.
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
fn gone_backends_are_forgotten_once_out_of_use() {
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
    assert_eq!(directory.records.len(), 1, "an attempt is still out");
}

#[test]
fn two_names_with_one_hash_get_two_ids() {
    let mut directory = Directory::default();
    let id = directory.id("a");
    directory.ids.clear();
    assert_eq!(directory.id("a"), id.wrapping_add(1));
}

#[test]
fn an_unheard_status_is_not_sent_to() {
    let infos = Directory::default()
        .apply(&list(true, &[("a", "127.0.0.1:1", "resting")]))
        .endpoints;
    assert_eq!(infos[0].state, EndpointState::Draining);
}
