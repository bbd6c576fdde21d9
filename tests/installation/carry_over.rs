//! What a reload keeps of a pool that it replaces: each kind of change against each kind of state
//! that keeps an order from running twice.

use super::*;

const KEYS: usize = 12;

/// A change of the file that comes with a change of the members.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    Members,
    Tenant,
    Class,
    ClassName,
    Window,
    PoolKey,
    Route,
    Listener,
}

const CHANGES: [Change; 8] = [
    Change::Members,
    Change::Tenant,
    Change::Class,
    Change::ClassName,
    Change::Window,
    Change::PoolKey,
    Change::Route,
    Change::Listener,
];

/// Returns a file of a process of a fleet that has one voter, whose members are those of two cells.
fn file_with(fleet: SocketAddr, members: &str, changed: Option<Change>) -> String {
    file_of(("i0", fleet), fleet, members, changed)
}

/// Returns a file like [`file_with`] of a process with a name and an address in the fleet.
fn file_of(
    (name, own): (&str, SocketAddr),
    voter: SocketAddr,
    members: &str,
    changed: Option<Change>,
) -> String {
    let changed = |change, old: &'static str, new: &'static str| match changed {
        Some(made) if made == change => new,
        _ => old,
    };
    format!(
        "[instance]\nname = \"{name}\"\n[fleet]\nname = \"prairie\"\naddress = \"{own}\"\nmembers = [\"{voter}\"]\n\
         {listener}[[pool]]\nname = \"main\"\nwarm_up = \"0s\"\nattempts = {attempts}\nmembers = [{members}]\n\
         [[class]]\nname = \"{class}\"\neffect = \"keyed\"\nwindow = \"{window}\"\nscope = \"cell\"\naim = \"{aim}\"\n\
         [[tenant]]\nname = \"acme\"\nrate = {rate}\n\
         [[route]]\npool = \"main\"\nclass = \"{class}\"\ntenant = {{ header = \"X-Account\" }}\n{route}",
        listener = changed(
            Change::Listener,
            "",
            "[[listener]]\nname = \"second\"\naddress = \"127.0.0.1:1\"\n"
        ),
        attempts = changed(Change::PoolKey, "3", "2"),
        class = changed(Change::ClassName, "order", "orders"),
        window = changed(Change::Window, "20s", "1s"),
        aim = changed(Change::Class, "500ms", "600ms"),
        rate = changed(Change::Tenant, "200", "250"),
        route = changed(
            Change::Route,
            "",
            "[[route]]\npath = \"/only\"\npool = \"main\"\nclass = \"order\"\n"
        ),
    )
}

fn member(backend: &Backend, cell: usize, is_draining: bool) -> String {
    format!(
        "{{ address = \"{}\", cell = {cell}, draining = {is_draining} }}",
        backend.address
    )
}

/// Starts an installation of a fleet that serves.
fn start_fleet_of_one(fleet: SocketAddr, members: &str) -> Installation {
    let installation = Installation::start(&file_with(fleet, members, None));
    until("it serves", || installation.get("/").status() != 503);
    installation
}

/// Sends the order of each key, and returns how many were served.
fn serve_all_keys(installation: &Installation) -> usize {
    (0..KEYS)
        .filter(|key| {
            let response = installation.call(&post(&format!("Idempotency-Key: k{key}\r\n"), "x"));
            assert!(
                [200, 503].contains(&response.status()),
                "{}",
                response.status()
            );
            response.status() == 200
        })
        .count()
}

/// Returns how many orders with a key have reached an endpoint.
fn order_count(endpoint: &Backend) -> usize {
    let requests = endpoint.requests.lock().unwrap();
    let has_key = |request: &&Message| request.header("idempotency-key").is_some();
    requests.iter().filter(has_key).count()
}

/// Guards against orders that run twice after a reload: the pool that replaced another one did not
/// know that a cell had been lost, and sent its keys to the other cell within their window.
#[test]
fn a_lost_cell_keeps_its_keys_over_a_reload() {
    for change in CHANGES {
        let [lost, other] = [(); 2].map(|()| endpoint_returning(ok("done")));
        let fleet = free_addresses(1)[0];
        let members = |is_draining| {
            let lost = member(&lost, 1, is_draining);
            format!("{lost}, {}", member(&other, 2, false))
        };
        let installation = start_fleet_of_one(fleet, &members(false));
        assert_eq!(serve_all_keys(&installation), KEYS);
        let (kept, served) = (order_count(&lost), order_count(&other));
        assert!(kept > 0 && served > 0, "{kept} and {served}");
        // The second reload changes the file back, without the members.
        for (times, changed) in [(1, Some(change)), (2, None)] {
            installation.reload(&file_with(fleet, &members(true), changed), times);
            assert_eq!(serve_all_keys(&installation), served, "{change:?}");
            let orders = (order_count(&lost), order_count(&other));
            assert_eq!(orders, (kept, served * (1 + times)), "{change:?}, {times}");
        }
    }
}

/// Guards against the same where a cell has come: the keys that move to it have run elsewhere.
#[test]
fn a_new_cell_waits_for_its_keys_over_a_reload() {
    for change in CHANGES {
        let [old, new] = [(); 2].map(|()| endpoint_returning(ok("done")));
        let fleet = free_addresses(1)[0];
        let one = member(&old, 1, false);
        let both = format!("{one}, {}", member(&new, 2, false));
        let installation = start_fleet_of_one(fleet, &one);
        assert_eq!(serve_all_keys(&installation), KEYS);
        for (times, changed) in [(1, Some(change)), (2, None)] {
            installation.reload(&file_with(fleet, &both, changed), times);
            assert!(serve_all_keys(&installation) < KEYS, "{change:?}");
            assert_eq!(order_count(&new), 0, "{change:?}, {times}");
        }
    }
}

/// Guards against a process that rejects everything after a reload: it ignored the reports of another
/// one that most of its members drain, and took them for true before the new pool had its list.
#[test]
fn reports_that_are_ignored_stay_ignored_over_a_reload() {
    let endpoints = [(); 2].map(|()| endpoint_returning(ok("done")));
    let members = |is_draining| {
        let [one, other] = &endpoints;
        let one = member(one, 1, is_draining);
        format!("{one}, {}", member(other, 2, is_draining))
    };
    let addresses = free_addresses(2);
    let installation = start_fleet_of_one(addresses[0], &members(false));
    let other = ("i1", addresses[1]);
    let _reporting = Installation::start(&file_of(other, addresses[0], &members(true), None));
    installation.daemon.wait_for_log("the reports are ignored");
    assert_eq!(serve_all_keys(&installation), KEYS);
    let changed = file_with(addresses[0], &members(false), Some(Change::Tenant));
    installation.reload(&changed, 1);
    assert_eq!(serve_all_keys(&installation), KEYS);
}
