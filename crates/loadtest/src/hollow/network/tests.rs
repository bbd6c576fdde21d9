use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn port(network: &Arc<Network>, own: u16) -> Port {
    let real = Arc::new(HashSet::from([address(1)]));
    Port::new(network.clone(), real, address(own), u64::from(own))
}

#[test]
fn a_cut_parts_both_sides_and_neither_in_itself() {
    let network: Arc<Network> = Arc::default();
    let (inside, outside) = (port(&network, 10), port(&network, 20));
    network.cut(HashSet::from([address(10), address(11)]));
    assert!(!inside.sends(address(20)) && !inside.receives(address(20)));
    assert!(!outside.sends(address(10)) && !outside.receives(address(10)));
    assert!(
        !inside.sends(address(1)) && !inside.receives(address(1)),
        "real ones stand outside"
    );
    assert!(inside.sends(address(11)) && inside.receives(address(11)));
    assert!(outside.sends(address(1)) && outside.receives(address(21)));
    network.mend();
    assert!(inside.sends(address(20)) && outside.receives(address(10)));
}

#[test]
fn a_packet_is_lost_at_one_end_alone() {
    let network: Arc<Network> = Arc::default();
    let hollow = port(&network, 10);
    network.lose(1.0);
    assert!(!hollow.sends(address(20)) && !hollow.sends(address(1)));
    assert!(
        !hollow.receives(address(1)),
        "a real one loses nothing itself"
    );
    assert!(
        hollow.receives(address(20)),
        "its sender would have lost it"
    );
    network.mend();
    assert!(hollow.sends(address(20)) && hollow.receives(address(1)));
}
