use super::*;
use std::io::{Read, Write};

fn list(snapshot: bool, entries: &[(&str, &str, &str)]) -> List {
    let endpoints = entries.iter().map(|(name, address, status)| {
        let entry = serde_json::json!({ "name": name, "address": address, "status": status });
        serde_json::from_value(entry).expect("an entry")
    });
    List {
        index: 1,
        snapshot,
        endpoints: endpoints.collect(),
    }
}

#[test]
fn ids_are_fixed_by_the_name_and_outlive_a_restart() {
    let mut directory = Directory::default();
    let (infos, _) = directory.apply(&list(true, &[("s-5be2a07c", "127.0.0.1:1", "ready")]));
    let id = infos[0].id;
    // Changing the hash would give backends other ids at proxies of another version.
    assert_eq!(id, 0x5124_5f7b);
    directory.apply(&list(true, &[]));
    assert_eq!(
        directory.place(id).map(|p| p.state),
        Some(BackendState::Gone)
    );
    let (infos, stale) = directory.apply(&list(false, &[("s-5be2a07c", "127.0.0.1:2", "ready")]));
    assert_eq!((infos[0].id, stale), (id, vec![id]));
}

#[test]
fn gone_backends_are_forgotten_once_out_of_use() {
    let mut directory = Directory::default();
    for n in 0..100 {
        let name = format!("s-{n}");
        let (infos, _) = directory.apply(&list(true, &[(&name, "127.0.0.1:1", "ready")]));
        directory.forget_gone(|id| id != infos[0].id && n % 2 == 0);
    }
    assert_eq!(
        (
            directory.places.len(),
            directory.names.len(),
            directory.ids.len()
        ),
        (1, 1, 1)
    );
    directory.apply(&list(false, &[("s-99", "127.0.0.1:1", "gone")]));
    directory.forget_gone(|_| true);
    assert_eq!(directory.places.len(), 1, "an attempt is still out");
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
    let (infos, _) = Directory::default().apply(&list(true, &[("a", "127.0.0.1:1", "resting")]));
    assert_eq!(infos[0].state, BackendState::Draining);
}

#[test]
fn a_fetched_list_may_run_over_several_lines() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let served = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut asked = [0; 1024];
        let _ = stream.read(&mut asked).expect("a request");
        let list = "{\"index\":41,\n\"snapshot\":true,\n\"endpoints\":[]}\n";
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        )
        .expect("it is sent");
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let got = runtime.block_on(fetch(address)).expect("a list");
    assert_eq!((got.index, got.snapshot), (41, true));
    served.join().expect("it served");
}
